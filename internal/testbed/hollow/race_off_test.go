//go:build !race

package hollow

const raceEnabled = false
