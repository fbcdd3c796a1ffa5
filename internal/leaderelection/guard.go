//go:build !planted

package leaderelection

// unguarded is whether a holder goes on when its lease is over by its own count. Only a build with the tag planted has it
// so, to show that the campaign's audit finds out.
const unguarded = false
