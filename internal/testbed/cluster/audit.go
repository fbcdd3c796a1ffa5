package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"robindrum/internal/fleet"
	"robindrum/internal/lease"
)

// Act is a post that an Auditor received.
type Act struct {
	Token      uint64
	Member     string
	Number     int
	JudgedAt   time.Duration // when the sender found its lease valid, by fleet.Clock
	ReceivedAt time.Duration // by fleet.Clock
	Accepted   bool
}

// Auditor is an external service that receives the posts of a leader-only task. It rejects those with a token lower than the
// highest that it has accepted, and records all. Its methods may be called by several goroutines at once.
type Auditor struct {
	ExternalService
	// AcceptAll turns the fence off, to show that Audit finds what it prevents. Set it before the first post.
	AcceptAll bool

	server *http.Server
	done   chan struct{} // closed when the server has ended

	mu       sync.Mutex
	fence    lease.Fence
	acts     []Act
	accepted chan struct{} // closed and replaced with each act that is accepted
}

const (
	// maxActs bounds the recorded acts; later ones are judged all the same.
	maxActs = 1 << 20

	auditorHeaderTimeout = time.Minute
)

// NewAuditor starts an auditor on a loopback address. Close must be called.
func NewAuditor(name string) (*Auditor, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	a := &Auditor{
		ExternalService: ExternalService{Name: name, Address: listener.Addr().String()},
		done:            make(chan struct{}),
		accepted:        make(chan struct{}),
	}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: auditorHeaderTimeout}
	go func() {
		defer close(a.done)
		_ = a.server.Serve(listener)
	}()
	return a, nil
}

// Close closes all connections and waits for the server's end.
func (a *Auditor) Close() {
	_ = a.server.Close()
	<-a.done
}

// ServeHTTP records a post. It answers 400 without a token and 409 if the token is stale.
func (a *Auditor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	act, err := readAct(r.Header)
	if err != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	if !a.record(act) {
		http.Error(w, "older than the highest token seen", http.StatusConflict)
	}
}

func readAct(header http.Header) (Act, error) {
	token, err := strconv.ParseUint(header.Get(fleet.TokenHeader), 10, 64)
	if err != nil {
		return Act{}, fmt.Errorf("token: %w", err)
	}
	judgedAt, err := strconv.ParseInt(header.Get(fleet.JudgedAtHeader), 10, 64)
	if err != nil {
		return Act{}, fmt.Errorf("time of judgement: %w", err)
	}
	number, _ := strconv.Atoi(header.Get(fleet.NumberHeader))
	return Act{Token: token, Member: header.Get(fleet.MemberHeader), Number: number, JudgedAt: time.Duration(judgedAt)}, nil
}

// record stores an act and reports whether it is accepted.
func (a *Auditor) record(act Act) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	act.Accepted = a.fence.Admit(act.Token) || a.AcceptAll
	act.ReceivedAt = fleet.Clock()
	if len(a.acts) < maxActs {
		a.acts = append(a.acts, act)
	}
	if act.Accepted {
		close(a.accepted)
		a.accepted = make(chan struct{})
	}
	return act.Accepted
}

// Acts returns all recorded acts in the order in which they were received.
func (a *Auditor) Acts() []Act {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.acts)
}

// Last returns the last act that was accepted, the zero Act if there is none, and a channel that is closed with the next one.
func (a *Auditor) Last() (Act, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, act := range slices.Backward(a.acts) {
		if act.Accepted {
			return act, a.accepted
		}
	}
	return Act{}, a.accepted
}

// AuditResult counts the acts of a history and what is wrong with them.
type AuditResult struct {
	Acts     int
	Rejected int
	// Tokens is how many there were: how often the lease was granted and used.
	Tokens int
	// StaleAccepted counts acts that were accepted after one with a newer token.
	StaleAccepted int
	// SharedTokens counts changes of the member under one token.
	SharedTokens int
	// AfterLease counts acts that were judged valid after an act under a newer token: the lease had been granted to another
	// holder by then.
	AfterLease int
	// FirstViolation describes the first of them; empty: there is none.
	FirstViolation string
}

// Violated reports whether anything is wrong.
func (r *AuditResult) Violated() bool { return r.StaleAccepted+r.SharedTokens+r.AfterLease > 0 }

// Add adds the counts of another result.
func (r *AuditResult) Add(other AuditResult) {
	r.Acts += other.Acts
	r.Rejected += other.Rejected
	r.Tokens += other.Tokens
	r.StaleAccepted += other.StaleAccepted
	r.SharedTokens += other.SharedTokens
	r.AfterLease += other.AfterLease
	if r.FirstViolation == "" {
		r.FirstViolation = other.FirstViolation
	}
}

// violation counts one and describes it if it is the first.
func (r *AuditResult) violation(count *int, format string, arguments ...any) {
	*count++
	if r.FirstViolation == "" {
		r.FirstViolation = fmt.Sprintf(format, arguments...)
	}
}

// Audit checks acts, which must be in the order in which they were received.
func Audit(acts []Act) AuditResult {
	var result AuditResult
	earliest := earliestActs(acts)
	members := map[uint64]string{}
	highest := uint64(0)
	for _, act := range acts {
		result.Acts++
		if !act.Accepted {
			result.Rejected++
		}
		if member, ok := members[act.Token]; ok && member != act.Member {
			result.violation(&result.SharedTokens, "token %d: %s and %s", act.Token, member, act.Member)
		}
		members[act.Token] = act.Member
		if act.Accepted && act.Token < highest {
			result.violation(&result.StaleAccepted, "%s: token %d accepted behind %d", act.Member, act.Token, highest)
		}
		if act.Accepted {
			highest = max(highest, act.Token)
		}
		if newer, ok := newerBefore(act, earliest); ok {
			result.violation(&result.AfterLease, "%s began act %d under token %d %v after %s had begun under %d",
				act.Member, act.Number, act.Token, act.JudgedAt-newer.JudgedAt, newer.Member, newer.Token)
		}
	}
	result.Tokens = len(members)
	return result
}

// earliestActs returns the act of each token that was judged valid first.
func earliestActs(acts []Act) map[uint64]Act {
	earliest := map[uint64]Act{}
	for _, act := range acts {
		if e, ok := earliest[act.Token]; !ok || act.JudgedAt < e.JudgedAt {
			earliest[act.Token] = act
		}
	}
	return earliest
}

// newerBefore returns an act under a newer token that was judged valid before this one.
func newerBefore(act Act, earliest map[uint64]Act) (Act, bool) {
	for token, newer := range earliest {
		if token > act.Token && act.JudgedAt > newer.JudgedAt {
			return newer, true
		}
	}
	return Act{}, false
}
