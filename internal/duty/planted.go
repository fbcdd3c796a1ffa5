//go:build planted

package duty

const unguarded = true
