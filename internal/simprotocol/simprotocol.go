// Package simprotocol speaks the simulator's dialect: it turns lines into events of package balancer and actions of
// package balancer into lines. It decides nothing.
package simprotocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"robindrum/balancer"
)

// Batch is one line of input.
type Batch struct {
	Now   time.Duration `json:"now"`
	Nodes []Node        `json:"nodes"`
}

// Node holds the events of one instance.
type Node struct {
	ID       int     `json:"node-id"`
	Happened []Event `json:"happened"`
}

// Event has one field set, the one of its name.
type Event struct {
	Boot      *Boot
	Stop      *struct{}
	Inventory *Inventory
	Fleet     *Fleet
	Knock     *Knock
	Started   *Started
	Verdict   *Verdict
	Hangup    *struct {
		Call string `json:"call"`
	}
	Ring *struct {
		Handle uint64 `json:"handle"`
	}
	Sampled *Sampled
	Message *struct {
		Src  int    `json:"src"`
		Data []byte `json:"data"`
	}
}

// Boot is the first event of an instance.
type Boot struct {
	Seed uint64 `json:"random-seed"`
	Info Info   `json:"boot-info"`
}

// Info is the settings as the wire words them.
type Info struct {
	AZ       string   `json:"az"`
	AZs      []string `json:"azs"`
	Me       int      `json:"me"`
	Replicas int      `json:"replicas-of-me"`
	Caps     struct {
		Attempts       int           `json:"attempts-cap"`
		ConnIdle       time.Duration `json:"conn-idle"`
		ConnectTimeout time.Duration `json:"connect-timeout"`
		CPUPerRequest  float64       `json:"cpu-us-per-request"`
		CPUPerSecond   float64       `json:"cpu-us-per-s"`
		MaxOpen        int           `json:"max-open"`
		MaxRetryAfter  time.Duration `json:"max-retry-after"`
		MayCancel      bool          `json:"may-cancel"`
		MayTell        bool          `json:"may-tell"`
		Multiplex      int           `json:"multiplex"`
		Parallel       bool          `json:"parallel-tries"`
		Probes         bool          `json:"probes"`
		RetryAfter     bool          `json:"retry-after"`
	} `json:"caps"`
	Clients struct {
		MarksRetry bool `json:"marks-retry"`
	} `json:"clients"`
	Contract struct {
		Cold         time.Duration `json:"cold"`
		ColdShare    float64       `json:"cold-share"`
		DrainGrace   time.Duration `json:"drain-grace"`
		FallMultiple float64       `json:"fall-multiple"`
		Grace        time.Duration `json:"grace-to-answer"`
		MustAskIn    time.Duration `json:"must-ask-in"`
		OverloadFor  time.Duration `json:"overload-for"`
	} `json:"contract"`
	Costs          map[string]float64 `json:"costs"`
	Discovery      string             `json:"discovery"`
	Family         string             `json:"family"`
	FamilyInfo     familyInfo         `json:"family-info"`
	Kinds          []string           `json:"kinds"`
	OverShareWorth float64            `json:"over-share-worth"`
	Profiles       []profile          `json:"profiles"`
	Reporting      struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"reporting"`
	Mix struct {
		Whole  float64 `json:"whole"`
		Class  float64 `json:"worst-class"`
		Tenant float64 `json:"worst-tenant"`
		Window float64 `json:"worst-window"`
	} `json:"scoring-mix"`
	Stage   int           `json:"stage"`
	Step    time.Duration `json:"step"`
	Tenants []struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota-per-s"`
		Fraction float64 `json:"fraction"`
	} `json:"tenants"`
	Tiers        []string `json:"tiers"`
	WeightSource string   `json:"weight-source"`
	WorthBy      string   `json:"worth-by"`
}

type familyInfo struct {
	PassesDeadline bool `json:"passes-deadline"`
	WarmKeys       bool `json:"warm-keys"`
}

type profile struct {
	AimStretch float64       `json:"aim-stretch"`
	SLO        time.Duration `json:"slo"`
	Deadline   time.Duration `json:"deadline"`
	Effect     string        `json:"effect"`
	Group      string        `json:"group"`
	LateValue  float64       `json:"late-value"`
	Name       string        `json:"name"`
	Stream     bool          `json:"stream"`
	Window     time.Duration `json:"window"`
	Gain       float64       `json:"gain"`
}

// Inventory is a list of servers, which later events name by its number.
type Inventory struct {
	Table   int      `json:"table"`
	Members []Member `json:"members"`
}

// Member is a server of an Inventory, as the simulator words it.
type Member struct {
	Backend      string        `json:"backend"`
	Zone         string        `json:"region-part"`
	Flavor       string        `json:"flavor"`
	UnitGroup    int           `json:"unit-group"`
	Availability string        `json:"availability"`
	Share        float64       `json:"share"`
	Since        time.Duration `json:"since"`
}

// Fleet is an update of the list of servers.
type Fleet struct {
	How   string `json:"how"`
	Gen   uint64 `json:"gen"`
	Table int    `json:"table"`
}

// Knock is a client's request.
type Knock struct {
	Call   string        `json:"call"`
	Tenant tenantName    `json:"tenant"`
	Grade  string        `json:"grade"`
	Hint   time.Duration `json:"hint"`
	Left   time.Duration `json:"left"`
	Update bool          `json:"update"`
	Key    string        `json:"name-key"`
	Retry  bool          `json:"retry"`
}

// tenantName reads a name; at sites without tenants a bare 0 may stand in its place.
type tenantName string

func (t *tenantName) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, (*string)(t))
	}
	return nil
}

// Started is the beginning of a streamed answer.
type Started struct {
	Call string        `json:"call"`
	Shot int           `json:"shot"`
	Lag  time.Duration `json:"lag"`
}

// Verdict is the end of an attempt.
type Verdict struct {
	Call     string        `json:"call"`
	Shot     int           `json:"shot"`
	Ending   string        `json:"ending"`
	Lag      time.Duration `json:"lag"`
	Finished bool          `json:"finished"`
	Metrics  metrics       `json:"metrics"`
}

// Sampled is the end of a health check.
type Sampled struct {
	Ending  string        `json:"ending"`
	Lag     time.Duration `json:"lag"`
	Backend string        `json:"backend"`
	Metrics metrics       `json:"metrics"`
}

type metrics map[string]float64

func (m *metrics) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '{' {
		return json.Unmarshal(b, (*map[string]float64)(m))
	}
	var pairs [][2]any
	if err := json.Unmarshal(b, &pairs); err != nil {
		return err
	}
	*m = metrics{}
	for _, p := range pairs {
		k, ok := p[0].(string)
		v, num := p[1].(float64)
		if ok && num {
			(*m)[k] = v
		}
	}
	return nil
}

var (
	effects  = map[string]balancer.Effect{"free": balancer.Idempotent, "guarded": balancer.IdempotentWithKey, "single_shot": balancer.NonIdempotent}
	groups   = map[string]balancer.Group{"": 0, "all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell}
	states   = map[string]balancer.State{"Running": balancer.Running, "Stopping": balancer.Draining, "Deleted": balancer.Removed}
	weights  = map[string]balancer.WeightSource{"off": 0, "nominal": balancer.WeightNominal, "rough": balancer.WeightRough, "live": balancer.WeightLive}
	reports  = map[string]balancer.ReportMode{"off": 0, "inline": balancer.ReportAnswers, "on_probe": balancer.ReportHealthChecks}
	fleets   = map[string]balancer.UpdateKind{"changes": balancer.UpdateDelta, "all": balancer.UpdateSnapshot, "remembered": balancer.UpdateCached, "refused": balancer.UpdateFailed}
	outcomes = map[string]balancer.Result{"served": balancer.Served, "server_error": balancer.ServerError, "turned_away": balancer.Rejected,
		"no_answer": balancer.TimedOut, "no_connection": balancer.NotConnected, "connection_lost": balancer.ConnectionLost,
		"called_off": balancer.Cancelled, "not_sent": balancer.NotSent}
)

// Settings words the wire's settings as the library's.
func (i *Info) Settings() (balancer.Settings, error) {
	c, k := &i.Caps, &i.Contract
	s := balancer.Settings{
		Zone: i.AZ, Zones: i.AZs, Index: i.Me, Proxies: i.Replicas,
		OverQuotaWeight: i.OverShareWorth, WeightByWork: i.WorthBy == "work",
		MaxAttempts: c.Attempts, ParallelAttempts: c.Parallel, MayCancel: c.MayCancel, MayHealthCheck: c.Probes,
		RetryAfter: c.RetryAfter, MaxRetryAfter: c.MaxRetryAfter, ConnectTimeout: c.ConnectTimeout,
		ConnIdle: c.ConnIdle, Multiplex: c.Multiplex, WarmKeys: i.FamilyInfo.WarmKeys,
		Polled: i.Discovery == "on_request", MaxPollInterval: k.MustAskIn,
		AnswerGrace: k.Grace, DrainGrace: k.DrainGrace, WarmUpTime: k.Cold, WarmUpShare: k.ColdShare,
		OverloadMultiple: k.FallMultiple, OverloadWindow: k.OverloadFor,
		Price: balancer.Prices{CrossZone: i.Costs["cross-zone"], Waste: i.Costs["waste"],
			Connection: i.Costs["connection"], Handshake: i.Costs["handshake"], HealthCheck: i.Costs["probe"],
			LateFail: i.Costs["late-fail"], Discovery: i.Costs["discovery"], Gossip: i.Costs["peer"]},
		Weights: weights[i.WeightSource], Report: reports[i.Reporting.How],
	}
	for _, p := range i.Profiles {
		effect, ok := effects[p.Effect]
		if !ok {
			return s, fmt.Errorf("profiles[%q].effect: %q is not known", p.Name, p.Effect)
		}
		group, ok := groups[p.Group]
		if !ok {
			return s, fmt.Errorf("profiles[%q].group: %q is not known", p.Name, p.Group)
		}
		s.Classes = append(s.Classes, balancer.Class{Name: p.Name, LatencyObjective: p.SLO, ObjectiveStretch: p.AimStretch,
			Deadline: p.Deadline, Effect: effect, Group: group, Window: p.Window, PriorityWeight: p.Gain,
			LatePriorityWeight: p.LateValue, Stream: p.Stream})
	}
	for _, t := range i.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Rate: t.Quota, Quota: t.Fraction})
	}
	return s, nil
}

// outbox writes the actions of one instance as they are taken.
type outbox struct{ buf []byte }

func (o *outbox) open(name, field, value string) *outbox {
	if len(o.buf) > 0 {
		o.buf = append(o.buf, ',')
	}
	o.buf = append(append(append(o.buf, `{"`...), name...), `":{`...)
	if field != "" {
		o.text(field, value)
	}
	return o
}

func (o *outbox) name(field string) {
	if o.buf[len(o.buf)-1] != '{' {
		o.buf = append(o.buf, ',')
	}
	o.buf = append(append(append(o.buf, '"'), field...), `":`...)
}

func (o *outbox) text(field, value string) {
	o.name(field)
	q, _ := json.Marshal(value) // a string always marshals
	o.buf = append(o.buf, q...)
}

func (o *outbox) num(field string, v int64) *outbox {
	o.name(field)
	o.buf = strconv.AppendInt(o.buf, v, 10)
	return o
}

func (o *outbox) shut() { o.buf = append(o.buf, "}}"...) }

func (o *outbox) Send(id, server string, expire time.Duration) {
	o.open("Assign", "call", id).text("backend", server)
	if expire > 0 {
		o.num("expire-at", int64(expire))
	}
	o.shut()
}

func (o *outbox) Reject(id string, after time.Duration) {
	o.open("SayNo", "call", id)
	if after > 0 {
		o.num("come-back", int64(after))
	}
	o.shut()
}

func (o *outbox) Fail(id string) { o.open("FinishError", "call", id).shut() }
func (o *outbox) Cancel(id string, n int) {
	o.open("StopAttempt", "call", id).num("shot", int64(n)).shut()
}
func (o *outbox) HealthCheck(server string) { o.open("Touch", "backend", server).shut() }
func (o *outbox) CloseIdle(server string)   { o.open("LetGo", "backend", server).shut() }
func (o *outbox) Fetch()                    { o.open("Lookup", "", "").shut() }
func (o *outbox) Log(text string)           { o.open("JournalLine", "body-text", text).shut() }
func (o *outbox) fatal(text string)         { o.open("Fatal", "body-text", text).shut() }

func (o *outbox) SetTimer(token uint64, after time.Duration) {
	const longest = 70 * time.Minute // the wire takes 71
	after = min(max(after, 1), longest)
	o.open("Schedule", "", "").num("handle", int64(token)).num("span", int64(after)).shut()
}

func (o *outbox) Watch(on bool) {
	o.open("Follow", "", "").name("enable")
	o.buf = strconv.AppendBool(o.buf, on)
	o.shut()
}

// instance is one node's Balancer with its outbox. Instances share nothing but the table of lists.
type instance struct {
	lb  *balancer.Balancer
	out outbox
}

// Hub routes events to the instances of one process.
type Hub struct {
	nodes map[int]*instance
	lists map[int][]balancer.Server
}

// NewHub makes an empty hub.
func NewHub() *Hub { return &Hub{nodes: map[int]*instance{}, lists: map[int][]balancer.Server{}} }

// Decode reads one line.
func Decode(line []byte) (*Batch, error) {
	var b struct {
		Now   *time.Duration `json:"now"`
		Nodes *[]Node        `json:"nodes"`
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("not the wire's JSON: %w", err)
	}
	if b.Now == nil || b.Nodes == nil {
		return nil, errors.New("not a batch: now or nodes is missing")
	}
	return &Batch{*b.Now, *b.Nodes}, nil
}

// Do carries out a batch and appends the reply, without a line end, to dst.
func (h *Hub) Do(b *Batch, dst []byte) ([]byte, error) {
	dst = append(dst, `{"nodes":[`...)
	first := true
	for i := range b.Nodes {
		n := &b.Nodes[i]
		in := h.nodes[n.ID]
		if in == nil {
			in = &instance{}
			h.nodes[n.ID] = in
		}
		for k := range n.Happened {
			if err := h.event(b.Now, in, &n.Happened[k]); err != nil {
				return nil, fmt.Errorf("node %d, event %d: %w", n.ID, k, err)
			}
		}
		if len(in.out.buf) == 0 {
			continue
		}
		if !first {
			dst = append(dst, ',')
		}
		first = false
		dst = append(strconv.AppendInt(append(dst, `{"node-id":`...), int64(n.ID), 10), `,"outbox":[`...)
		dst = append(append(dst, in.out.buf...), "]}"...)
		in.out.buf = in.out.buf[:0]
	}
	return append(dst, "]}"...), nil
}

func (h *Hub) event(now time.Duration, in *instance, e *Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			in.out.fatal(fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case e.Inventory != nil:
		list := make([]balancer.Server, 0, len(e.Inventory.Members))
		for _, m := range e.Inventory.Members {
			state, ok := states[m.Availability]
			if !ok {
				return fmt.Errorf("Inventory: availability %q is not known", m.Availability)
			}
			list = append(list, balancer.Server{ID: m.Backend, Zone: m.Zone, Kind: m.Flavor, Cell: m.UnitGroup,
				State: state, Weight: m.Share, Since: m.Since})
		}
		h.lists[e.Inventory.Table] = list
		return nil
	case e.Boot != nil:
		s, err := e.Boot.Info.Settings()
		if err != nil {
			return fmt.Errorf("Boot: %w", err)
		}
		in.out.buf = in.out.buf[:0]
		if in.lb, err = balancer.New(s, e.Boot.Seed, &in.out); err != nil {
			return fmt.Errorf("Boot: %w", err)
		}
		return nil
	case e.Stop != nil:
		in.lb, in.out.buf = nil, in.out.buf[:0]
		return nil
	}
	if *e == (Event{}) {
		return errors.New("an event with no known name")
	}
	if in.lb == nil {
		return errors.New("an event before Boot")
	}
	switch {
	case e.Fleet != nil:
		kind, ok := fleets[e.Fleet.How]
		if !ok {
			return fmt.Errorf("Fleet: how %q is not known", e.Fleet.How)
		}
		u := balancer.EndpointUpdate{Kind: kind}
		if kind != balancer.UpdateFailed {
			if u.Servers, ok = h.lists[e.Fleet.Table]; !ok {
				return fmt.Errorf("Fleet: table %d was never sent", e.Fleet.Table)
			}
		}
		in.lb.UpdateEndpoints(now, u)
	case e.Knock != nil:
		k := e.Knock
		in.lb.Request(now, balancer.Request{ID: k.Call, Class: k.Grade, Tenant: string(k.Tenant), TimeLeft: k.Left,
			Work: k.Hint, Key: k.Key, Write: k.Update, Retry: k.Retry})
	case e.Started != nil:
		in.lb.Started(now, e.Started.Call, e.Started.Shot)
	case e.Verdict != nil:
		v := e.Verdict
		result, ok := outcomes[v.Ending]
		if !ok {
			return fmt.Errorf("Verdict: ending %q is not known", v.Ending)
		}
		in.lb.Outcome(now, balancer.Outcome{ID: v.Call, Attempt: v.Shot, Result: result, Latency: v.Lag,
			Final: v.Finished, LoadReport: v.Metrics})
	case e.Hangup != nil:
		in.lb.ClientGone(now, e.Hangup.Call)
	case e.Ring != nil:
		in.lb.Timer(now, e.Ring.Handle)
	case e.Sampled != nil:
		result, ok := outcomes[e.Sampled.Ending]
		if !ok {
			return fmt.Errorf("Sampled: ending %q is not known", e.Sampled.Ending)
		}
		in.lb.HealthChecked(now, balancer.HealthCheckResult{Server: e.Sampled.Backend, Result: result, Latency: e.Sampled.Lag,
			LoadReport: e.Sampled.Metrics})
	case e.Message != nil: // proxies share nothing
	}
	return nil
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h, r := NewHub(), newLineReader(in)
	var reply []byte
	for n := 1; ; n++ {
		line, err := r.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		b, err := Decode(line)
		if err == nil {
			reply, err = h.Do(b, reply[:0])
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if _, err = out.Write(append(reply, '\n')); err != nil {
			return err
		}
	}
}
