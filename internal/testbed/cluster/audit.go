package cluster

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/lease"
)

// Act is one post that came.
type Act struct {
	Token      uint64
	Member     string
	Number     int
	JudgedAt   time.Duration // when its holder judged that it may act, on the machine's clock
	ReceivedAt time.Duration // when it came, on the same
	Accepted   bool
}

// Auditor is what the posts of a duty go to. It refuses what is older than the highest token that it has seen, and writes all
// down. Its methods may be called by several goroutines at once.
type Auditor struct {
	ExternalService
	// AcceptAll has it take all, to show that the audit finds out.
	AcceptAll bool

	server *http.Server
	done   chan struct{}

	mu       sync.Mutex
	fence    lease.Fence
	acts     []Act
	accepted chan struct{} // closed and made anew with each act that is accepted
}

// maxActs bounds what is written down.
const maxActs = 1 << 20

// NewAuditor starts one.
func NewAuditor(name string) (*Auditor, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	a := &Auditor{ExternalService: ExternalService{Name: name, Address: l.Addr().String()}, done: make(chan struct{}), accepted: make(chan struct{})}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() {
		defer close(a.done)
		_ = a.server.Serve(l)
	}()
	return a, nil
}

// Close ends it.
func (a *Auditor) Close() {
	_ = a.server.Close()
	<-a.done
}

func (a *Auditor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get(fleet.TokenHeader), 10, 64)
	began, err2 := strconv.ParseInt(r.Header.Get(fleet.JudgedAtHeader), 10, 64)
	number, _ := strconv.Atoi(r.Header.Get(fleet.NumberHeader))
	if err != nil || err2 != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := a.fence.Admit(token) || a.AcceptAll
	if len(a.acts) < maxActs {
		a.acts = append(a.acts, Act{token, r.Header.Get(fleet.MemberHeader), number, time.Duration(began), fleet.Clock(), ok})
	}
	if !ok {
		http.Error(w, "older than the highest token seen", http.StatusConflict)
		return
	}
	close(a.accepted)
	a.accepted = make(chan struct{})
}

// Acts are all that came.
func (a *Auditor) Acts() []Act {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Act(nil), a.acts...)
}

// Last is the last act that was accepted, and a channel that is closed with the next one.
func (a *Auditor) Last() (Act, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.acts) - 1; i >= 0; i-- {
		if a.acts[i].Accepted {
			return a.acts[i], a.accepted
		}
	}
	return Act{}, a.accepted
}

// AuditResult is what an audit says.
type AuditResult struct {
	Acts, Rejected int
	// StaleAccepted: acts accepted behind one with a newer token.
	StaleAccepted int
	// SharedTokens: tokens under which two members acted.
	SharedTokens int
	// AfterLease: acts that their holder began, by the machine's clock, after the holder of a newer token had begun to act: the
	// lease had been given away, and it went on.
	AfterLease int
	// Tokens is how often the duty changed hands.
	Tokens         int
	FirstViolation string // of what is wrong
}

// Violated tells whether it found anything wrong.
func (f *AuditResult) Violated() bool { return f.StaleAccepted+f.SharedTokens+f.AfterLease > 0 }

// Add sums up.
func (f *AuditResult) Add(o AuditResult) {
	f.Acts, f.Rejected, f.StaleAccepted, f.SharedTokens, f.AfterLease, f.Tokens = f.Acts+o.Acts, f.Rejected+o.Rejected, f.StaleAccepted+o.StaleAccepted, f.SharedTokens+o.SharedTokens, f.AfterLease+o.AfterLease, f.Tokens+o.Tokens
	if f.FirstViolation == "" {
		f.FirstViolation = o.FirstViolation
	}
}

// Audit looks at acts in the order in which they came.
func Audit(acts []Act) (f AuditResult) {
	note := func(n *int, format string, args ...any) {
		if *n++; f.FirstViolation == "" {
			f.FirstViolation = fmt.Sprintf(format, args...)
		}
	}
	first := map[uint64]Act{} // the act of each token that began first
	for _, a := range acts {
		if b, ok := first[a.Token]; !ok || a.JudgedAt < b.JudgedAt {
			first[a.Token] = a
		}
	}
	members := map[uint64]string{}
	highest := uint64(0)
	for _, a := range acts {
		f.Acts++
		if !a.Accepted {
			f.Rejected++
		}
		if m, ok := members[a.Token]; ok && m != a.Member {
			note(&f.SharedTokens, "token %d: %s and %s", a.Token, m, a.Member)
		}
		members[a.Token] = a.Member
		if a.Accepted && a.Token < highest {
			note(&f.StaleAccepted, "%s: token %d accepted behind %d", a.Member, a.Token, highest)
		}
		if a.Accepted {
			highest = max(highest, a.Token)
		}
		for token, b := range first {
			if token > a.Token && a.JudgedAt > b.JudgedAt {
				note(&f.AfterLease, "%s began act %d under token %d %v after %s had begun under %d", a.Member, a.Number, a.Token, a.JudgedAt-b.JudgedAt, b.Member, token)
				break
			}
		}
	}
	f.Tokens = len(members)
	return f
}
