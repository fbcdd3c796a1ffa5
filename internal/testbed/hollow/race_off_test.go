//go:build !race

package hollow

const underRace = false
