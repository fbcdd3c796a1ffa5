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

// Post is a request of a post task that an Auditor received.
type Post struct {
	Token          uint64
	Member         string
	Number         int           // counts the posts under the token from 0
	LeaseCheckedAt time.Duration // reading of fleet.Clock at which the sender found its lease valid
	ReceivedAt     time.Duration // reading of fleet.Clock
	Accepted       bool
}

// Auditor is an external service that receives the requests of a post task. It rejects requests with a token lower than the highest
// token that it has accepted, and records all requests. Its methods are safe for concurrent use.
type Auditor struct {
	ExternalService
	// AcceptAll makes the auditor accept stale tokens, to test that Audit detects them. It must be set before the first post.
	AcceptAll bool

	server *http.Server
	done   chan struct{} // closed when the server has stopped

	mu       sync.Mutex
	fence    lease.Fence
	posts    []Post
	accepted chan struct{} // closed and replaced with each post that is accepted
}

const (
	// maxPosts limits the recorded posts. Later ones are still accepted or rejected, but not recorded.
	maxPosts = 1 << 20

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

// Close closes all connections and waits until the server has stopped.
func (a *Auditor) Close() {
	_ = a.server.Close()
	<-a.done
}

// ServeHTTP records a post. It answers 400 if the headers of the token or of the lease check are missing or invalid, and 409 if the
// token is stale.
func (a *Auditor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	post, err := readPost(r.Header)
	if err != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	if !a.record(post) {
		http.Error(w, "older than the highest token seen", http.StatusConflict)
	}
}

func readPost(header http.Header) (Post, error) {
	token, err := strconv.ParseUint(header.Get(fleet.TokenHeader), 10, 64)
	if err != nil {
		return Post{}, fmt.Errorf("token: %w", err)
	}
	leaseCheckedAt, err := strconv.ParseInt(header.Get(fleet.LeaseCheckedAtHeader), 10, 64)
	if err != nil {
		return Post{}, fmt.Errorf("time of the lease check: %w", err)
	}
	number, _ := strconv.Atoi(header.Get(fleet.NumberHeader))
	return Post{Token: token, Member: header.Get(fleet.MemberHeader), Number: number, LeaseCheckedAt: time.Duration(leaseCheckedAt)}, nil
}

// record stores a post and reports whether it is accepted.
func (a *Auditor) record(post Post) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	post.Accepted = a.fence.Admit(post.Token) || a.AcceptAll
	post.ReceivedAt = fleet.Clock()
	if len(a.posts) < maxPosts {
		a.posts = append(a.posts, post)
	}
	if post.Accepted {
		close(a.accepted)
		a.accepted = make(chan struct{})
	}
	return post.Accepted
}

// Posts returns all recorded posts in the order in which they were received.
func (a *Auditor) Posts() []Post {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.posts)
}

// Last returns the last accepted post, or the zero Post if there is none, and a channel that is closed when the next one is accepted.
func (a *Auditor) Last() (Post, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, post := range slices.Backward(a.posts) {
		if post.Accepted {
			return post, a.accepted
		}
	}
	return Post{}, a.accepted
}

// AuditResult counts posts and the violations of guarantees that Audit found in them.
type AuditResult struct {
	Posts    int
	Rejected int
	// Tokens is the number of different tokens: how many times the lease was granted and then used.
	Tokens int
	// StaleAccepted counts posts that were accepted after a post with a newer token.
	StaleAccepted int
	// SharedTokens counts changes of the sending member under one token.
	SharedTokens int
	// AfterLease counts posts whose sender found its lease valid later than the sender of a post under a newer token did: by then the
	// lease had been granted to another holder.
	AfterLease int
	// FirstViolation describes the first violation; empty: there is none.
	FirstViolation string
}

// Violated reports whether a guarantee was violated.
func (r *AuditResult) Violated() bool { return r.StaleAccepted+r.SharedTokens+r.AfterLease > 0 }

// Add adds the counts of another result.
func (r *AuditResult) Add(other AuditResult) {
	r.Posts += other.Posts
	r.Rejected += other.Rejected
	r.Tokens += other.Tokens
	r.StaleAccepted += other.StaleAccepted
	r.SharedTokens += other.SharedTokens
	r.AfterLease += other.AfterLease
	if r.FirstViolation == "" {
		r.FirstViolation = other.FirstViolation
	}
}

// violation increments count, and records the description if the violation is the first.
func (r *AuditResult) violation(count *int, format string, arguments ...any) {
	*count++
	if r.FirstViolation == "" {
		r.FirstViolation = fmt.Sprintf(format, arguments...)
	}
}

// Audit checks posts, which must be in the order in which they were received.
func Audit(posts []Post) AuditResult {
	var result AuditResult
	earliest := earliestPosts(posts)
	members := map[uint64]string{}
	highest := uint64(0)
	for _, post := range posts {
		result.Posts++
		if !post.Accepted {
			result.Rejected++
		}
		if member, ok := members[post.Token]; ok && member != post.Member {
			result.violation(&result.SharedTokens, "token %d: %s and %s", post.Token, member, post.Member)
		}
		members[post.Token] = post.Member
		if post.Accepted && post.Token < highest {
			result.violation(&result.StaleAccepted, "%s: token %d accepted after %d", post.Member, post.Token, highest)
		}
		if post.Accepted {
			highest = max(highest, post.Token)
		}
		if newer, ok := newerBefore(post, earliest); ok {
			result.violation(&result.AfterLease, "%s sent post %d under token %d, checked %v after %s had checked its lease under token %d",
				post.Member, post.Number, post.Token, post.LeaseCheckedAt-newer.LeaseCheckedAt, newer.Member, newer.Token)
		}
	}
	result.Tokens = len(members)
	return result
}

// earliestPosts returns for each token the post whose sender was the first to find its lease valid.
func earliestPosts(posts []Post) map[uint64]Post {
	earliest := map[uint64]Post{}
	for _, post := range posts {
		if e, ok := earliest[post.Token]; !ok || post.LeaseCheckedAt < e.LeaseCheckedAt {
			earliest[post.Token] = post
		}
	}
	return earliest
}

// newerBefore returns a post under a newer token whose sender found its lease valid before the sender of this post did.
func newerBefore(post Post, earliest map[uint64]Post) (Post, bool) {
	for token, newer := range earliest {
		if token > post.Token && post.LeaseCheckedAt > newer.LeaseCheckedAt {
			return newer, true
		}
	}
	return Post{}, false
}
