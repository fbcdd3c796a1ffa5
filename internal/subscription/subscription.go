// Package subscription decides how the gateways of one site live on one subscription to the control plane: whose word a gateway
// takes, and when it goes to the control plane itself. It has no clock, no I/O and no goroutine; time and chance are
// arguments.
//
// The holder of the site's lease follows the control plane and hands what it accepted to the others, each time under the
// lease's token and a number that rises. A gateway takes nothing that is older, by token and then by number, than what it
// has taken; so no older version replaces a newer one, whoever sends it and however late it comes.
package subscription

import (
	"time"

	"robindrum/internal/lease"
)

// Options are the times.
type Options struct {
	// DirectAfter is how long a gateway lives on what it took last without word of a holder. Then it goes to the control plane
	// itself, within Spread, at a moment drawn by chance so that not all do at once.
	DirectAfter, Spread time.Duration
	// Chance is from 0 to 1, drawn once for each process.
	Chance float64
}

// Mode is where a gateway's word comes from.
type Mode string

const (
	Waiting   Mode = "waiting"   // just started: for a holder's word
	Following Mode = "following" // on the holder's word, with no stream of its own
	Direct    Mode = "own"       // on a stream of its own
	Leading   Mode = "holding"   // on a stream of its own, for the others as well
)

// Update is what a holder sends. Without news it is a sign of life.
type Update struct {
	Token uint64 `json:"token"`
	Seq   uint64 `json:"seq"`  // of the last change under the token; 0: nothing is known to be current yet
	Base  uint64 `json:"base"` // what comes with it is what changed since
	Full  bool   `json:"whole"`
	// Digest stands for all that the holder has in use.
	Digest uint64 `json:"digest"`
	// Connected: the holder has a stream. Where it has none, its word is the last that the control plane gave.
	Connected bool `json:"connected"`
	// Age is of the control plane's last word, in nanoseconds.
	Age time.Duration `json:"age"`
}

// Verdict is what becomes of a push.
type Verdict string

const (
	Accept       Verdict = "take"    // use what comes with it
	Unchanged    Verdict = "same"    // nothing new in it
	NeedSnapshot Verdict = "need"    // send the whole
	Compare      Verdict = "compare" // a whole that is followed if it has all that is in use here (see Agreed)
	Reject       Verdict = "refuse"  // its token is older than the highest seen
	Diverged     Verdict = "alone"   // this gateway is on its own stream, which says something else
)

// Subscription is one gateway's. It is for one goroutine at a time.
type Subscription struct {
	opt      Options
	mode     Mode
	since    time.Duration
	fence    lease.Fence
	token    uint64 // of what was taken last
	seq      uint64
	heard    time.Duration // a holder's word, the last time
	age      time.Duration // of the control plane's word then
	missing  time.Duration // since when something is asked for that the holder does not give; -1: nothing is
	tried    [2]uint64     // token and number that were compared
	compared bool
}

// New makes one that waits.
func New(now time.Duration, opt Options) *Subscription {
	return &Subscription{opt: opt, mode: Waiting, since: now, heard: now, missing: -1}
}

// Mode is where its word comes from, and since when.
func (s *Subscription) Mode() (Mode, time.Duration) { return s.mode, s.since }

// WantsStream tells whether it wants a stream of its own.
func (s *Subscription) WantsStream() bool { return s.mode == Direct || s.mode == Leading }

// LastUpdate is what it took last, how long ago a holder spoke, and the age of the control plane's word then.
func (s *Subscription) LastUpdate(now time.Duration) (token, seq uint64, heard, age time.Duration) {
	return s.token, s.seq, now - s.heard, s.age
}

// HighestToken is the highest token that it has seen.
func (s *Subscription) HighestToken() uint64 { return s.fence.Highest }

func (s *Subscription) turn(now time.Duration, m Mode) {
	if s.mode != m {
		s.mode, s.since = m, now
	}
}

// Receive takes what a holder sent. digest is of what is in use here.
func (s *Subscription) Receive(now time.Duration, p Update, digest uint64) Verdict {
	if !s.fence.Admit(p.Token) {
		return Reject
	}
	if p.Seq == 0 { // it has the lease, and no word yet that is worth more than what is in use here
		if s.mode != Leading {
			s.heard = now
		}
		return Unchanged
	}
	if s.mode == Leading { // another holds it now: what runs here ends by itself, and then it is a gateway like any other
		return Diverged
	}
	older := p.Token < s.token || p.Token == s.token && p.Seq < s.seq
	if older { // it came late
		return Unchanged
	}
	s.heard, s.age = now, p.Age
	if s.mode == Direct {
		switch {
		case p.Digest == digest:
			s.follow(now, p)
			return Unchanged
		case p.Full:
			s.tried, s.compared = [2]uint64{p.Token, p.Seq}, true
			return Compare
		case !s.compared || s.tried != [2]uint64{p.Token, p.Seq}:
			return NeedSnapshot
		}
		return Diverged
	}
	switch {
	case p.Token == s.token && p.Seq == s.seq && s.mode == Following && !p.Full:
		return Unchanged
	case p.Full, p.Token == s.token && p.Base <= s.seq && s.mode == Following:
		s.follow(now, p)
		return Accept
	}
	return NeedSnapshot
}

func (s *Subscription) follow(now time.Duration, p Update) {
	s.token, s.seq = p.Token, p.Seq
	s.turn(now, Following)
}

// Adopt has a gateway on its own stream follow a whole that was to be compared and has all that is in use here.
func (s *Subscription) Adopt(now time.Duration, p Update) bool {
	if s.mode != Direct || p.Token < s.token || p.Token == s.token && p.Seq < s.seq || p.Token < s.fence.Highest {
		return false
	}
	s.follow(now, p)
	return true
}

// Lead begins and Drop ends a time as the holder. A holder whose duty ends stays on its stream until another's word is the
// same as its own.
func (s *Subscription) Lead(now time.Duration, token uint64) {
	s.fence.Admit(token)
	s.turn(now, Leading)
}

// Release ends it.
func (s *Subscription) Release(now time.Duration) {
	if s.mode == Leading {
		s.heard = now
		s.turn(now, Direct)
	}
}

// SetMissing takes whether something is asked for that nothing has been said of.
func (s *Subscription) SetMissing(now time.Duration, is bool) {
	switch {
	case !is:
		s.missing = -1
	case s.missing < 0:
		s.missing = now
	}
}

// Tick takes what time has done, and gives when to call it again at the latest; 0: never.
func (s *Subscription) Tick(now time.Duration) (next time.Duration) {
	if s.WantsStream() {
		return 0
	}
	spread := time.Duration(float64(s.opt.Spread) * s.opt.Chance)
	at := s.heard + s.opt.DirectAfter + spread
	if s.missing >= 0 && s.mode == Following {
		at = min(at, s.missing+s.opt.DirectAfter+spread)
	}
	if now >= at {
		s.turn(now, Direct)
		s.compared = false
		return 0
	}
	return at
}
