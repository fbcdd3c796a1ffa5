package quorum

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"robindrum/internal/peer"
)

// TestRejectionOfAnOutdatedFolderIsRecognized tests that isOutdatedFolder recognizes the text that deployed versions send.
func TestRejectionOfAnOutdatedFolderIsRecognized(t *testing.T) {
	const text = "quorum of 10.0.0.1:7600: voter v1.ab: its folder is older than what the fleet knows of it (start 3, known 4)"
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"outdated folder of this voter":    {fmt.Errorf("%w: %s", peer.ErrRemoteRejected, text), true},
		"outdated folder of another voter": {fmt.Errorf("%w: %s", peer.ErrRemoteRejected, strings.ReplaceAll(text, "v1.ab", "v2.cd")), false},
		"another reason":                   {fmt.Errorf("%w: this is fleet x, not y", peer.ErrRemoteRejected), false},
		"not a rejection":                  {errors.New(text), false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := isOutdatedFolder(test.err, "v1.ab"); got != test.want {
				t.Errorf("isOutdatedFolder(%q) = %v, want %v", test.err, got, test.want)
			}
		})
	}
}

// TestInvalidHandshakesAreRejected parses a valid handshake, and then the same handshake with one header invalid or missing.
func TestInvalidHandshakesAreRejected(t *testing.T) {
	valid := handshake{id: "v1.ab", fleet: "f", startCount: 2, starts: []string{"x", "y"}}
	parsed, err := parseHandshake(valid.header())
	if err != nil || parsed.id != valid.id || parsed.fleet != valid.fleet || parsed.latestStart() != (processStart{Number: 2, Nonce: "y"}) {
		t.Errorf("parseHandshake of a valid handshake: got %+v, %v, want %+v", parsed, err, valid)
	}
	for name, change := range map[string]func(http.Header){
		"no ID":                    func(header http.Header) { header.Del(voterIDHeader) },
		"ID too long":              func(header http.Header) { header.Set(voterIDHeader, strings.Repeat("x", maxVoterIDBytes+1)) },
		"no fleet":                 func(header http.Header) { header.Del(fleetIDHeader) },
		"start count 0":            func(header http.Header) { header.Set(startCountHeader, "0") },
		"start count not a number": func(header http.Header) { header.Set(startCountHeader, "two") },
		"no starts":                func(header http.Header) { header.Del(startsHeader) },
		"too many starts":          func(header http.Header) { header.Set(startsHeader, strings.Repeat("x ", maxStarts+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			header := valid.header()
			change(header)
			if _, err := parseHandshake(header); !errors.Is(err, errInvalidHandshake) {
				t.Errorf("parseHandshake returned %v, want %v", err, errInvalidHandshake)
			}
		})
	}
}
