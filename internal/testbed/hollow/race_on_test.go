//go:build race

package hollow

const raceEnabled = true
