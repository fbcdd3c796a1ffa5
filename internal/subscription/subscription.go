// Package subscription decides how the gateways of one site share one subscription to the control plane: which updates a gateway
// accepts, and when it opens its own (direct) stream to the control plane. The package has no clock, I/O or goroutines; the caller
// passes the current time and the random fraction that spreads the opening of streams.
//
// The holder of the site's lease is the leader. It has a stream to the control plane and sends the resources that it accepted to the
// other gateways, with the lease's fencing token and a sequence number. A gateway applies no update that is older than the last one it
// accepted, comparing tokens first and then sequence numbers, so neither a delayed update nor a former leader replaces a newer version.
package subscription

import (
	"time"

	"robindrum/internal/lease"
)

// Options configure a Subscription.
type Options struct {
	// DirectAfter is how long a leader must be silent before a gateway opens a direct stream.
	DirectAfter time.Duration
	// Spread is the maximum additional delay. It keeps the gateways from opening their streams all at once.
	Spread time.Duration
	// SpreadFraction is the fraction of Spread that this gateway waits, from 0 to 1, drawn at random once per process.
	SpreadFraction float64
}

// Mode is the source of a gateway's updates.
type Mode string

// Modes of a gateway.
const (
	Waiting   Mode = "waiting"   // just started, no update was accepted yet
	Following Mode = "following" // updates from the leader, no direct stream
	Direct    Mode = "own"       // updates from a direct stream
	Leading   Mode = "holding"   // updates from a direct stream, which the gateway sends to the others
)

// Update is a message from the leader to the other gateways. It is also the heartbeat, so it is sent even if nothing has changed.
type Update struct {
	Token uint64 `json:"token"`
	// Seq is the sequence number of the last change under the token; 0 while the leader does not know whether its state is current.
	Seq uint64 `json:"seq"`
	// Base is the sequence number that a delta starts from: it contains all changes after Base.
	Base uint64 `json:"base"`
	// Full reports whether the update is a full snapshot rather than a delta.
	Full bool `json:"whole"`
	// Digest is the digest of all resources that the leader has in use.
	Digest uint64 `json:"digest"`
	// Connected reports whether the leader's stream is open. If not, the update contains the last state that the control plane sent.
	Connected bool `json:"connected"`
	// Age is the time since the control plane's last message, in nanoseconds when encoded.
	Age time.Duration `json:"age"`
}

// Verdict is the decision on an update.
type Verdict string

// Verdicts on an update.
const (
	Accept          Verdict = "take"    // apply it
	Unchanged       Verdict = "same"    // nothing new in it
	NeedSnapshot    Verdict = "need"    // ask for a full snapshot
	CompareSnapshot Verdict = "compare" // call Adopt if this full snapshot contains all resources in use here
	Reject          Verdict = "refuse"  // its token is lower than the highest seen
	Diverged        Verdict = "alone"   // this gateway has a direct stream, whose state differs
)

// noneMissing is the value of Subscription.missingSince while no resource is missing.
const noneMissing = -1

// version orders updates: by token, then by sequence number.
type version struct {
	token uint64
	seq   uint64
}

func (v version) olderThan(other version) bool {
	return v.token < other.token || v.token == other.token && v.seq < other.seq
}

func (u Update) version() version { return version{token: u.Token, seq: u.Seq} }

// Subscription is the state of one gateway in its site's shared subscription. It must not be used concurrently.
type Subscription struct {
	opt       Options
	mode      Mode
	modeSince time.Duration
	fence     lease.Fence
	accepted  version
	// heardAt is when a leader was last heard from. updateAge is the Age of the last update that was neither
	// rejected, delayed nor a heartbeat with Seq 0.
	heardAt   time.Duration
	updateAge time.Duration
	// missingSince is when a resource that this gateway wants began to be missing from the updates; noneMissing if none is missing.
	missingSince time.Duration
	// compared is the last version that got the verdict CompareSnapshot; nil if none did since Tick last opened a direct stream.
	compared *version
}

// New returns a Subscription in mode Waiting.
func New(now time.Duration, opt Options) *Subscription {
	return &Subscription{opt: opt, mode: Waiting, modeSince: now, heardAt: now, missingSince: noneMissing}
}

// Mode returns the mode and when it began.
func (s *Subscription) Mode() (Mode, time.Duration) { return s.mode, s.modeSince }

// WantsStream reports whether the gateway needs a direct stream to the control plane.
func (s *Subscription) WantsStream() bool { return s.mode == Direct || s.mode == Leading }

// LastUpdate returns the token and sequence number of the last accepted update, the time since a leader was last heard from, and the
// age that the control plane's last message had in the last update.
func (s *Subscription) LastUpdate(now time.Duration) (token, seq uint64, heard, age time.Duration) {
	return s.accepted.token, s.accepted.seq, now - s.heardAt, s.updateAge
}

// HighestToken returns the highest fencing token seen.
func (s *Subscription) HighestToken() uint64 { return s.fence.Highest }

func (s *Subscription) setMode(now time.Duration, mode Mode) {
	if s.mode != mode {
		s.mode = mode
		s.modeSince = now
	}
}

// Receive records an update and returns what to do with it. digest is the digest of all resources in use here.
func (s *Subscription) Receive(now time.Duration, update Update, digest uint64) Verdict {
	if !s.fence.Admit(update.Token) {
		return Reject
	}
	if update.Seq == 0 {
		if s.mode != Leading {
			s.heardAt = now
		}
		return Unchanged
	}
	if s.mode == Leading {
		return Diverged // another gateway leads now, so this gateway's leader-only task is about to end
	}
	if update.version().olderThan(s.accepted) {
		return Unchanged // delayed
	}
	s.heardAt = now
	s.updateAge = update.Age
	if s.mode == Direct {
		return s.receiveWhileDirect(now, update, digest)
	}
	sameVersion := update.version() == s.accepted
	sameToken := update.Token == s.accepted.token
	following := s.mode == Following
	switch {
	case sameVersion && following && !update.Full:
		return Unchanged
	case update.Full, sameToken && update.Base <= s.accepted.seq && following:
		s.follow(now, update)
		return Accept
	}
	return NeedSnapshot
}

// receiveWhileDirect handles an update while a direct stream is open. The gateway follows the leader again once both have the same
// resources in use. It requests no snapshot of a version that was compared already.
func (s *Subscription) receiveWhileDirect(now time.Duration, update Update, digest uint64) Verdict {
	received := update.version()
	switch {
	case update.Digest == digest:
		s.follow(now, update)
		return Unchanged
	case update.Full:
		s.compared = &received
		return CompareSnapshot
	case s.compared == nil || *s.compared != received:
		return NeedSnapshot
	}
	return Diverged
}

func (s *Subscription) follow(now time.Duration, update Update) {
	s.accepted = update.version()
	s.setMode(now, Following)
}

// Adopt makes the gateway follow the leader without applying update, a full snapshot that got the verdict CompareSnapshot and contains
// all resources in use here. It returns false if a newer update was received in the meantime or the mode is not Direct.
func (s *Subscription) Adopt(now time.Duration, update Update) bool {
	if s.mode != Direct || update.version().olderThan(s.accepted) || update.Token < s.fence.Highest {
		return false
	}
	s.follow(now, update)
	return true
}

// Lead makes this gateway the leader under a fencing token.
func (s *Subscription) Lead(now time.Duration, token uint64) {
	s.fence.Admit(token)
	s.setMode(now, Leading)
}

// Release ends the leadership. The gateway keeps its direct stream until another leader has the same resources in use.
func (s *Subscription) Release(now time.Duration) {
	if s.mode == Leading {
		s.heardAt = now
		s.setMode(now, Direct)
	}
}

// SetMissing records whether a resource that this gateway wants has not been received yet.
func (s *Subscription) SetMissing(now time.Duration, missing bool) {
	switch {
	case !missing:
		s.missingSince = noneMissing
	case s.missingSince < 0:
		s.missingSince = now
	}
}

// Tick switches to a direct stream if the leader has been silent, or a resource has been missing, for too long. It returns the time by
// which it must be called again; 0 means that no call is needed until the mode has changed.
func (s *Subscription) Tick(now time.Duration) (next time.Duration) {
	if s.WantsStream() {
		return 0
	}
	maxSilence := s.opt.DirectAfter + time.Duration(float64(s.opt.Spread)*s.opt.SpreadFraction)
	directAt := s.heardAt + maxSilence
	if s.missingSince >= 0 && s.mode == Following {
		directAt = min(directAt, s.missingSince+maxSilence)
	}
	if now >= directAt {
		s.setMode(now, Direct)
		s.compared = nil
		return 0
	}
	return directAt
}
