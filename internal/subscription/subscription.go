// Package subscription decides how the gateways of one site share one subscription to the control plane: whose updates a gateway
// accepts, and when it opens a stream to the control plane itself. It has no clock, no I/O and no goroutine; time and chance are
// arguments.
//
// The holder of the site's lease has a stream to the control plane and sends what it accepted to the other gateways, under the lease's
// fencing token and a sequence number. A gateway accepts nothing that is older, by token and then by sequence number, than what it has
// accepted; so no older version replaces a newer one, whoever sends it and however late it arrives.
package subscription

import (
	"time"

	"robindrum/internal/lease"
)

// Options configure a Subscription.
type Options struct {
	// DirectAfter is how long a gateway goes without hearing from a leader before it opens a direct stream.
	DirectAfter time.Duration
	// Spread is up to how much longer it waits, so that not all gateways open their streams at once.
	Spread time.Duration
	// Chance is this gateway's part of Spread, from 0 to 1, drawn once for each process.
	Chance float64
}

// Mode is where a gateway's updates come from.
type Mode string

// Modes of a gateway.
const (
	Waiting   Mode = "waiting"   // just started, no leader has been heard from
	Following Mode = "following" // from the leader, without a direct stream
	Direct    Mode = "own"       // from a direct stream
	Leading   Mode = "holding"   // from a direct stream, and it sends updates to the others
)

// Update is what a leader sends. It serves as a heartbeat also when nothing has changed.
type Update struct {
	Token uint64 `json:"token"`
	// Seq is the number of the last change under the token; 0: the leader does not know yet whether what it has is current.
	Seq uint64 `json:"seq"`
	// Base: the update has what changed since this Seq.
	Base uint64 `json:"base"`
	// Full: the update is a full snapshot, not a delta.
	Full bool `json:"whole"`
	// Digest is of everything that the leader has in use.
	Digest uint64 `json:"digest"`
	// Connected: the leader's stream is open. If not, the update has the control plane's last state.
	Connected bool `json:"connected"`
	// Age is the time since the control plane's last message, in nanoseconds.
	Age time.Duration `json:"age"`
}

// Verdict is what a gateway does with an update.
type Verdict string

// Verdicts on an update.
const (
	Accept       Verdict = "take"    // apply it
	Unchanged    Verdict = "same"    // nothing new in it
	NeedSnapshot Verdict = "need"    // ask for a full snapshot
	Compare      Verdict = "compare" // call Adopt if this full snapshot has everything that is in use here
	Reject       Verdict = "refuse"  // its token is older than the highest seen
	Diverged     Verdict = "alone"   // this gateway has a direct stream, which says something else
)

// noneMissing is the value of Subscription.missingSince while nothing is missing.
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

// Subscription is one gateway's part in its site's subscription. It must not be used concurrently.
type Subscription struct {
	opt       Options
	mode      Mode
	modeSince time.Duration
	fence     lease.Fence
	accepted  version
	// heardAt is when a leader was heard from last, updateAge the Age of its update.
	heardAt   time.Duration
	updateAge time.Duration
	// missingSince is since when a resource is wanted that the leader does not send; noneMissing: none is.
	missingSince time.Duration
	// compared is the version that got the verdict Compare last; nil: none did since the direct stream was opened.
	compared *version
}

// New returns a Subscription in the mode Waiting.
func New(now time.Duration, opt Options) *Subscription {
	return &Subscription{opt: opt, mode: Waiting, modeSince: now, heardAt: now, missingSince: noneMissing}
}

// Mode returns the mode and when it began.
func (s *Subscription) Mode() (Mode, time.Duration) { return s.mode, s.modeSince }

// WantsStream reports whether the gateway needs a direct stream to the control plane.
func (s *Subscription) WantsStream() bool { return s.mode == Direct || s.mode == Leading }

// LastUpdate returns the token and sequence number of the update that was accepted last, how long ago a leader was heard from, and how
// old the control plane's last message was then.
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

// Receive returns what to do with an update. digest is of everything that is in use here.
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
		return Diverged // another gateway leads now; the task here is about to end
	}
	if update.version().olderThan(s.accepted) {
		return Unchanged // it was delayed
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

// receiveWhileDirect follows the leader again once it has the same in use as this gateway. Each version is compared once.
func (s *Subscription) receiveWhileDirect(now time.Duration, update Update, digest uint64) Verdict {
	received := update.version()
	switch {
	case update.Digest == digest:
		s.follow(now, update)
		return Unchanged
	case update.Full:
		s.compared = &received
		return Compare
	case s.compared == nil || *s.compared != received:
		return NeedSnapshot
	}
	return Diverged
}

func (s *Subscription) follow(now time.Duration, update Update) {
	s.accepted = update.version()
	s.setMode(now, Following)
}

// Adopt makes a gateway with a direct stream follow the leader of a full snapshot that got the verdict Compare and has everything that
// is in use here. It returns false where something newer was received in the meantime, or the gateway has no direct stream.
func (s *Subscription) Adopt(now time.Duration, update Update) bool {
	if s.mode != Direct || update.version().olderThan(s.accepted) || update.Token < s.fence.Highest {
		return false
	}
	s.follow(now, update)
	return true
}

// Lead makes this gateway the leader, under a fencing token.
func (s *Subscription) Lead(now time.Duration, token uint64) {
	s.fence.Admit(token)
	s.setMode(now, Leading)
}

// Release ends the leadership. The gateway stays on its direct stream until another leader has the same in use.
func (s *Subscription) Release(now time.Duration) {
	if s.mode == Leading {
		s.heardAt = now
		s.setMode(now, Direct)
	}
}

// SetMissing records whether a resource is wanted that no update has mentioned.
func (s *Subscription) SetMissing(now time.Duration, missing bool) {
	switch {
	case !missing:
		s.missingSince = noneMissing
	case s.missingSince < 0:
		s.missingSince = now
	}
}

// Tick switches to a direct stream when the leader has been silent, or a resource has been missing, for too long. It returns when to
// call it again at the latest; 0: not until the mode has changed.
func (s *Subscription) Tick(now time.Duration) (next time.Duration) {
	if s.WantsStream() {
		return 0
	}
	maxSilence := s.opt.DirectAfter + time.Duration(float64(s.opt.Spread)*s.opt.Chance)
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
