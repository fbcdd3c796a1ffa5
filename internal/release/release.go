// Package release decides how a new configuration goes over a fleet: in waves, each judged by what those that have it show
// against those that have not and against their own past, with a halt and a way back. It is a state machine that the quorum
// applies; it has no clock, no I/O and no goroutine, and times are readings of the leader's clock.
//
// What each gateway is to have is agreed: Want. Who leads tells the gateways, and has agreed what they say; a successor goes on
// from what is agreed, so that no step is taken twice or left out.
package release

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds: texts come from outside, and the book is in every snapshot.
const (
	// MostText bounds a configuration.
	MostText  = 256 << 10
	mostTexts = 8
	mostPast  = 16 // releases that have ended
	mostWord  = 256
)

// Gate is when a wave is good, from what its gateways show.
type Gate struct {
	// Requests that a wave has to have had: below it nothing is known, and it waits.
	Requests int `json:"requests"`
	// Errors that may be more, as a part of all requests: failed or refused.
	Errors float64 `json:"errors"`
	// Slower is the multiple of the mean time of an answer at which it is worse; it counts beyond 5 ms.
	Slower float64 `json:"slower"`
	// Memory is the multiple of what a gateway had before.
	Memory float64 `json:"memory"`
}

// Plan is how a release goes.
type Plan struct {
	ID     string `json:"id"`
	To     string `json:"to"` // the configuration's digest
	Owner  string `json:"owner"`
	Reason string `json:"reason,omitempty"`
	// Soak is how long a wave shows what it does before the next one; the time back is Soak over Faster.
	Soak   time.Duration `json:"soak"`
	Faster int           `json:"faster"`
	Gate   Gate          `json:"gate"`
	// Back: a gate that fails has all go back; else it halts.
	Back bool `json:"back"`
}

// fill sets what was left out.
func (p *Plan) fill() {
	if p.Soak == 0 {
		p.Soak = 30 * time.Second
	}
	p.Faster = cmp.Or(p.Faster, 4)
	p.Gate.Requests, p.Gate.Errors = cmp.Or(p.Gate.Requests, 200), cmp.Or(p.Gate.Errors, 0.01)
	p.Gate.Slower, p.Gate.Memory = cmp.Or(p.Gate.Slower, 1.5), cmp.Or(p.Gate.Memory, 1.5)
}

func (p *Plan) check() error {
	for _, s := range []string{p.ID, p.To, p.Owner, p.Reason} {
		if len(s) > mostWord {
			return fmt.Errorf("a text of %d bytes, %d at most", len(s), mostWord)
		}
	}
	switch {
	case p.ID == "" || p.To == "":
		return errors.New("want an id and a configuration")
	case p.Soak < time.Millisecond || p.Soak > 24*time.Hour:
		return fmt.Errorf("soak: %v, want up to 24h", p.Soak)
	case p.Faster < 1 || p.Faster > 100:
		return fmt.Errorf("faster: %d, want 1 to 100", p.Faster)
	case p.Gate.Requests < 1 || p.Gate.Errors <= 0 || p.Gate.Errors > 1 || p.Gate.Slower <= 1 || p.Gate.Memory <= 1:
		return fmt.Errorf("gate: %+v", p.Gate)
	}
	return nil
}

// Gateway is where one stands, as it said itself in a round.
type Gateway struct {
	Name  string `json:"name"`
	Site  string `json:"site,omitempty"`
	Zone  string `json:"zone,omitempty"`
	Birth uint64 `json:"birth"`
	// Here: it answered in the round.
	Here bool `json:"here"`
	// Has is the digest of the configuration in use; empty: its own file's alone.
	Has string `json:"has,omitempty"`
	// Refused is why what it was told to have is not in use.
	Refused string `json:"refused,omitempty"`
	Figures
}

// Figures are counters since the process's start, and its memory.
type Figures struct {
	Taken   uint64  `json:"taken"`
	Bad     uint64  `json:"bad"`     // failed or refused
	Served  uint64  `json:"served"`  // answered
	Seconds float64 `json:"seconds"` // all answers' time together
	Memory  int64   `json:"memory"`  // bytes, resident
}

func (f Figures) minus(o Figures) Figures {
	if f.Taken < o.Taken || f.Served < o.Served { // it was started anew
		return f
	}
	return Figures{f.Taken - o.Taken, f.Bad - min(o.Bad, f.Bad), f.Served - o.Served, f.Seconds - o.Seconds, f.Memory}
}

func (f Figures) plus(o Figures) Figures {
	return Figures{f.Taken + o.Taken, f.Bad + o.Bad, f.Served + o.Served, f.Seconds + o.Seconds, max(f.Memory, o.Memory)}
}

func (f Figures) bad() float64 {
	if f.Taken == 0 {
		return 0
	}
	return float64(f.Bad) / float64(f.Taken)
}

func (f Figures) mean() float64 {
	if f.Served == 0 {
		return 0
	}
	return f.Seconds / float64(f.Served)
}

// State is where a release stands. Done, Gone and Stopped are its ends.
type State string

const (
	Running State = "running"
	Halted  State = "halted" // by hand, or by a gate
	Going   State = "going back"
	Done    State = "done"
	Gone    State = "back"    // every gateway has what it had
	Stopped State = "stopped" // by hand: everyone keeps what it has
)

// Release is one.
type Release struct {
	Plan
	State  State         `json:"state"`
	Why    string        `json:"why,omitempty"`
	Since  time.Duration `json:"since"`
	Waves  [][]string    `json:"waves"`
	Wave   int           `json:"wave"`   // the one under way
	Began  time.Duration `json:"began"`  // of the wave: when all of it had the new one; 0: not yet
	Before string        `json:"before"` // what all had
	// Births and first figures of the wave's gateways, and of the others, when it had the new one.
	Births map[string]uint64  `json:"births"`
	Start  map[string]Figures `json:"start"`
	// Past is what each gateway showed between the release's start and its own turn.
	Past map[string]Figures `json:"past"`
	From map[string]Figures `json:"from"` // at the release's start
}

// Book is the release under way with what it is judged by. A Book is for one goroutine at a time; the same calls give the same book.
type Book struct {
	Version  uint64             `json:"version"` // rises with each change that gateways are to know of
	Now      time.Duration      `json:"now"`
	Texts    map[string]string  `json:"texts"` // configurations by digest
	Order    []string           `json:"order"` // of Texts, the oldest first
	Base     string             `json:"base"`  // what every gateway has where no release is under way
	Current  *Release           `json:"current,omitempty"`
	Ended    []Release          `json:"ended,omitempty"`
	Gateways map[string]Gateway `json:"gateways"`
}

// NewBook makes an empty one.
func NewBook() *Book {
	return &Book{Texts: map[string]string{}, Gateways: map[string]Gateway{}}
}

// Restore reads a book as encoding/json wrote it.
func Restore(text []byte) (*Book, error) {
	b := NewBook()
	if err := json.Unmarshal(text, b); err != nil {
		return nil, fmt.Errorf("releases: %w", err)
	}
	if b.Texts == nil || b.Gateways == nil || len(b.Texts) > mostTexts || len(b.Texts) != len(b.Order) || len(b.Ended) > mostPast {
		return nil, errors.New("releases: not a book")
	}
	if r := b.Current; r != nil && (r.Births == nil || r.Start == nil || r.Past == nil || r.From == nil || len(r.Waves) == 0 || r.Wave < 0 || r.Wave >= len(r.Waves)) {
		return nil, errors.New("releases: not a release")
	}
	return b, nil
}

// What an asker may be told.
var (
	ErrBusy = errors.New("another release is under way")
	ErrNone = errors.New("no release is under way")
	ErrText = errors.New("nobody has this configuration")
)

// Lead begins a term of another leader, whose clock has nothing to do with the one before.
func (b *Book) Lead(now time.Duration) {
	shift := now - b.Now
	b.Now = now
	if r := b.Current; r != nil {
		r.Since += shift
		if r.Began > 0 {
			r.Began = max(r.Began+shift, 1)
		}
	}
}

// Put keeps a configuration under its digest.
func (b *Book) Put(digest, text string) error {
	if len(text) > MostText || len(digest) > mostWord || digest == "" {
		return fmt.Errorf("a configuration of %d bytes, %d at most", len(text), MostText)
	}
	if _, ok := b.Texts[digest]; ok {
		return nil
	}
	for len(b.Order) >= mostTexts {
		i := slices.IndexFunc(b.Order, func(d string) bool {
			return d != b.Base && (b.Current == nil || d != b.Current.To && d != b.Current.Before)
		})
		if i < 0 {
			return errors.New("too many configurations are in use")
		}
		delete(b.Texts, b.Order[i])
		b.Order = slices.Delete(b.Order, i, i+1)
	}
	b.Texts[digest], b.Order = text, append(b.Order, digest)
	return nil
}

// Waves says how a release would go over gateways: one of each site, a tenth, half, all; never two zones of a site in one wave, so
// that a bad one meets one zone at a time.
func Waves(gateways []Gateway) (waves [][]string) {
	left := slices.SortedFunc(slices.Values(gateways), func(x, y Gateway) int {
		return cmp.Or(cmp.Compare(x.Site, y.Site), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Name, y.Name))
	})
	n := len(left)
	take := func(want, perSite int) {
		var wave []string
		zone, count := map[string]string{}, map[string]int{}
		for i := 0; i < len(left) && len(wave) < want; {
			g := left[i]
			if z, ok := zone[g.Site]; ok && z != g.Zone || perSite > 0 && count[g.Site] >= perSite {
				i++
				continue
			}
			zone[g.Site] = g.Zone
			count[g.Site]++
			wave, left = append(wave, g.Name), slices.Delete(left, i, i+1)
		}
		if len(wave) > 0 {
			waves = append(waves, wave)
		}
	}
	take(n, 1) // canaries
	take(n/10-(n-len(left)), 0)
	for n-len(left) < n/2 {
		take(n/2-(n-len(left)), 0)
	}
	for len(left) > 0 {
		take(len(left), 0)
	}
	return waves
}

// Begin starts a release. The same id once more is the same release.
func (b *Book) Begin(now time.Duration, p Plan) error {
	b.Now = max(b.Now, now)
	p.fill()
	if r := b.Current; r != nil {
		if r.ID == p.ID && r.To == p.To {
			return nil
		}
		return fmt.Errorf("%w: %s, %s", ErrBusy, r.ID, r.State)
	}
	if err := p.check(); err != nil {
		return err
	}
	if _, ok := b.Texts[p.To]; !ok {
		return fmt.Errorf("%w: %s", ErrText, p.To)
	}
	if p.To == b.Base {
		return fmt.Errorf("every gateway is to have %s already", p.To)
	}
	all := slices.Collect(maps.Values(b.Gateways))
	if len(all) == 0 {
		return errors.New("no gateway is known yet")
	}
	r := &Release{Plan: p, State: Running, Since: b.Now, Waves: Waves(all), Before: b.Base, Births: map[string]uint64{}, Start: map[string]Figures{}, Past: map[string]Figures{},
		From: map[string]Figures{}}
	for _, g := range all {
		r.From[g.Name] = g.Figures
	}
	b.Current = r
	b.Version++
	b.turn()
	return nil
}

// turn notes what the gateways of the wave showed until now.
func (b *Book) turn() {
	r := b.Current
	r.Began = 0
	clear(r.Births)
	clear(r.Start)
	for _, name := range r.Waves[r.Wave] {
		if g, ok := b.Gateways[name]; ok {
			r.Past[name] = g.minus(r.From[name])
		}
	}
}

func (b *Book) set(s State, why string) {
	r := b.Current
	if r.State != s {
		r.Since = b.Now
		b.Version++
	}
	r.State, r.Why = s, why
}

// end puts a release away.
func (b *Book) end(s State, why string) {
	b.set(s, why)
	if s == Done {
		b.Base = b.Current.To
	}
	b.Ended = append(b.Ended, *b.Current)
	b.Ended = b.Ended[max(0, len(b.Ended)-mostPast):]
	b.Current = nil
}

// Halt, Resume, Back and Stop are by hand, at any moment. Done twice, nothing changes.
func (b *Book) Halt(now time.Duration, why string) error {
	b.Now = max(b.Now, now)
	switch r := b.Current; {
	case r == nil:
		return ErrNone
	case r.State == Running || r.State == Going:
		b.set(Halted, why)
	}
	return nil
}

// Resume goes on with a wave that was halted; its soak begins anew.
func (b *Book) Resume(now time.Duration) error {
	b.Now = max(b.Now, now)
	switch r := b.Current; {
	case r == nil:
		return ErrNone
	case r.State == Halted:
		b.set(Running, "")
		r.Began = 0
	}
	return nil
}

// Back has every gateway go back to what it had.
func (b *Book) Back(now time.Duration, why string) error {
	b.Now = max(b.Now, now)
	switch r := b.Current; {
	case r == nil:
		return ErrNone
	case r.State != Going:
		b.set(Going, why)
		r.Began = 0
	}
	return nil
}

// Stop ends a release where it stands: everyone keeps what it has, and the book says who has what.
func (b *Book) Stop(now time.Duration, why string) error {
	b.Now = max(b.Now, now)
	if b.Current == nil {
		return ErrNone
	}
	if b.Current.State == Running || b.Current.State == Going {
		return fmt.Errorf("it is %s: halt it first", b.Current.State)
	}
	b.end(Stopped, why)
	return nil
}

// Want is what a gateway is to have: the digest, empty for its own file alone.
func (b *Book) Want(name string) string {
	r := b.Current
	if r == nil {
		for i := len(b.Ended) - 1; i >= 0 && b.Ended[i].State == Stopped; i-- { // where it was stopped
			if b.Ended[i].released(name) {
				return b.Ended[i].To
			}
		}
		return b.Base
	}
	if r.released(name) {
		return r.To
	}
	return r.Before
}

// released tells whether a gateway's turn has come and was not taken back.
func (r *Release) released(name string) bool {
	for i, w := range r.Waves {
		if i > r.Wave || i == r.Wave && r.State == Going {
			return false
		}
		if slices.Contains(w, name) {
			return true
		}
	}
	return false
}

// See takes what every gateway said in a round, and goes on: a wave that has the new one soaks, is judged all the while, and the
// next one follows.
func (b *Book) See(now time.Duration, all []Gateway) {
	b.Now = max(b.Now, now)
	clear(b.Gateways)
	for _, g := range all {
		b.Gateways[g.Name] = g
	}
	r := b.Current
	if r == nil {
		return
	}
	switch r.State {
	case Running:
		b.forward(r)
	case Going:
		b.backward(r)
	}
}

func (b *Book) forward(r *Release) {
	wave := r.Waves[r.Wave]
	ready := true
	for _, name := range wave {
		g, ok := b.Gateways[name]
		switch {
		case !ok: // it has left: the next one that comes under its name is told what it is to have
		case g.Refused != "":
			b.fail(fmt.Sprintf("%s refuses it: %s", name, g.Refused))
			return
		case !g.Here:
			ready = false
			if r.Began > 0 {
				b.fail(fmt.Sprintf("%s does not answer any more", name))
				return
			}
		case g.Has != r.To:
			ready = false
		case r.Began > 0 && r.Births[name] != 0 && g.Birth != r.Births[name]:
			b.fail(fmt.Sprintf("%s was started anew while it had it", name))
			return
		}
	}
	if !ready {
		return
	}
	if r.Began == 0 {
		r.Began = max(b.Now, 1)
		for name, g := range b.Gateways {
			r.Start[name], r.Births[name] = g.Figures, g.Birth
		}
		return
	}
	verdict, why := b.judge(r)
	switch {
	case verdict == bad:
		b.fail(why)
	case b.Now-r.Began < r.Soak:
	case verdict == unknown:
		r.Why = why
	case r.Wave+1 < len(r.Waves):
		r.Wave++
		r.Why = ""
		b.Version++
		b.turn()
	default:
		b.end(Done, "")
	}
}

// fail is a gate's: halt, or back.
func (b *Book) fail(why string) {
	if b.Current.Plan.Back {
		b.set(Going, why)
		b.Current.Began = 0
	} else {
		b.set(Halted, why)
	}
}

// backward takes the waves back, the last one first, each with a part of the soak, until all have what they had.
func (b *Book) backward(r *Release) {
	for _, name := range r.Waves[r.Wave] {
		if g, ok := b.Gateways[name]; ok && g.Here && g.Has != r.Before {
			return
		}
	}
	if r.Began == 0 {
		r.Began = max(b.Now, 1)
	}
	if r.Wave == 0 {
		b.end(Gone, r.Why)
		return
	}
	if b.Now-r.Began >= r.Soak/time.Duration(r.Faster) {
		r.Wave--
		r.Began = 0
		b.Version++
	}
}

type verdict int

const (
	good verdict = iota
	unknown
	bad
)

// slack is what a mean may be longer whatever it was, in seconds.
const slack = 0.005

// judge holds what those that have the new one show since the wave began against the others over the same time, and against their
// own past.
func (b *Book) judge(r *Release) (verdict, string) {
	var with, without, past Figures
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		g := b.Gateways[name]
		start, ok := r.Start[name]
		if !ok || !g.Here {
			continue
		}
		d := g.minus(start)
		if !r.released(name) {
			without = without.plus(d)
			continue
		}
		if slices.Contains(r.Waves[r.Wave], name) {
			with = with.plus(d)
			past = past.plus(r.Past[name])
			if before := r.Past[name].Memory; before > 0 && float64(g.Memory) > r.Gate.Memory*float64(before)+32<<20 {
				return bad, fmt.Sprintf("%s has %d MiB, it had %d", name, g.Memory>>20, before>>20)
			}
		}
	}
	// A handful of requests is enough for what is plainly bad, and for nothing else.
	least := uint64(r.Gate.Requests)
	if with.Taken >= max(least/10, 20) {
		limit := max(without.bad(), past.bad()) + r.Gate.Errors
		few := 0.0
		if with.Taken < least {
			few = 0.25
		}
		if with.bad() > limit+few {
			return bad, fmt.Sprintf("%.1f%% of %d requests failed or were refused; of the others %.1f%%, before %.1f%%", 100*with.bad(), with.Taken, 100*without.bad(), 100*past.bad())
		}
	}
	if with.Taken < least {
		return unknown, fmt.Sprintf("too little is known: %d requests of %d", with.Taken, least)
	}
	if was := max(without.mean(), past.mean()); was > 0 && with.mean() > r.Gate.Slower*was+slack {
		return bad, fmt.Sprintf("an answer takes %.1f ms; of the others %.1f, before %.1f", 1000*with.mean(), 1000*without.mean(), 1000*past.mean())
	}
	return good, ""
}

// String says how a release stands.
func (r *Release) String() string {
	s := fmt.Sprintf("release %s to %s: %s", r.ID, short(r.To), r.State)
	if r.State == Running || r.State == Halted || r.State == Going {
		s += fmt.Sprintf(", wave %d of %d (%s)", r.Wave+1, len(r.Waves), strings.Join(some(r.Waves[r.Wave]), " "))
	}
	if r.Why != "" {
		s += ": " + r.Why
	}
	return s
}

func short(digest string) string { return digest[:min(len(digest), 12)] }

func some(l []string) []string {
	if len(l) > 5 {
		return append(slices.Clone(l[:5]), "...")
	}
	return l
}
