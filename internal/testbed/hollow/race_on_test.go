//go:build race

package hollow

const underRace = true
