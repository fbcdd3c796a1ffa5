//go:build planted

package leaderelection

const unguarded = true
