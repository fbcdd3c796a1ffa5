package quorum

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"robindrum/internal/peer"
)

// TestRejectionOfAnOutdatedFolderIsRecognized tests the text that voters in service send.
func TestRejectionOfAnOutdatedFolderIsRecognized(t *testing.T) {
	const text = "quorum of 10.0.0.1:7600: voter v1.ab: its folder is older than what the fleet knows of it (start 3, known 4)"
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"of this voter":    {fmt.Errorf("%w: %s", peer.ErrRemoteRejected, text), true},
		"of another voter": {fmt.Errorf("%w: %s", peer.ErrRemoteRejected, strings.ReplaceAll(text, "v1.ab", "v2.cd")), false},
		"another reason":   {fmt.Errorf("%w: this is fleet x, not y", peer.ErrRemoteRejected), false},
		"not a rejection":  {errors.New(text), false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := isOutdatedFolder(test.err, "v1.ab"); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// TestInvalidHandshakesAreRejected tests a handshake that is valid, and then with one header changed.
func TestInvalidHandshakesAreRejected(t *testing.T) {
	valid := handshake{id: "v1.ab", fleet: "f", startCount: 2, starts: []string{"x", "y"}}
	parsed, err := parseHandshake(valid.header())
	if err != nil || parsed.id != valid.id || parsed.fleet != valid.fleet || parsed.latestStart() != (start{Number: 2, Nonce: "y"}) {
		t.Errorf("%+v came back as %+v, %v", valid, parsed, err)
	}
	for name, change := range map[string]func(http.Header){
		"no ID":              func(header http.Header) { header.Del(voterIDHeader) },
		"ID too long":        func(header http.Header) { header.Set(voterIDHeader, strings.Repeat("x", maxVoterIDBytes+1)) },
		"no fleet":           func(header http.Header) { header.Del(fleetIDHeader) },
		"start count 0":      func(header http.Header) { header.Set(startCountHeader, "0") },
		"start count a word": func(header http.Header) { header.Set(startCountHeader, "two") },
		"no starts":          func(header http.Header) { header.Del(startsHeader) },
		"too many starts":    func(header http.Header) { header.Set(startsHeader, strings.Repeat("x ", maxStarts+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			header := valid.header()
			change(header)
			if _, err := parseHandshake(header); !errors.Is(err, errNoHandshake) {
				t.Errorf("%v, want %v", err, errNoHandshake)
			}
		})
	}
}
