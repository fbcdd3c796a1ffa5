package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"runtime/debug"
)

const (
	maxVersionBytes    = 48
	configVersionBytes = 6 // of the digest
)

// Version returns the version of this program, from its build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version[:min(len(info.Main.Version), maxVersionBytes)]
}

// ConfigVersion returns a short identifier of a configuration's contents, as members announce it.
func ConfigVersion(text []byte) string {
	digest := sha256.Sum256(text)
	return hex.EncodeToString(digest[:configVersionBytes])
}

// ConfigDigest returns the digest that identifies a released configuration in the voters' state.
func ConfigDigest(text []byte) string {
	digest := sha256.Sum256(text)
	return hex.EncodeToString(digest[:])
}
