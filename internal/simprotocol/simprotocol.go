// Package simprotocol implements the simulator's protocol: it decodes input lines into events for package balancer and encodes the
// balancer's actions as output lines. It contains no balancing logic. Types and fields that mirror the protocol keep the simulator's
// names.
package simprotocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"robindrum/balancer"
)

// Batch is one line of input: the events of all instances at one time.
type Batch struct {
	Now   time.Duration `json:"now"` // simulated time
	Nodes []Node        `json:"nodes"`
}

// Node holds the events of one instance.
type Node struct {
	ID       int     `json:"node-id"`
	Happened []Event `json:"happened"`
}

// Event has exactly one field set. The field names are those of the protocol.
type Event struct {
	Boot      *Boot
	Stop      *struct{} // the instance ends
	Inventory *Inventory
	Fleet     *Fleet
	Knock     *Knock
	Started   *Started
	Verdict   *Verdict
	Hangup    *struct { // the client has disconnected
		Call string `json:"call"`
	}
	Ring *struct { // a timer has fired
		Handle uint64 `json:"handle"`
	}
	Sampled *Sampled
	Message *struct { // a message from another node; ignored
		Src  int    `json:"src"`
		Data []byte `json:"data"`
	}
}

// Boot starts an instance, or restarts a running one. Before it, an instance accepts only Inventory and Stop.
type Boot struct {
	Seed uint64 `json:"random-seed"`
	Info Info   `json:"boot-info"`
}

// Info holds the settings of an instance under the simulator's names.
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

// Inventory is a server list. Later Fleet events refer to it by its table number, which may be reused.
type Inventory struct {
	Table   int      `json:"table"`
	Members []Member `json:"members"`
}

// Member is a server of an Inventory.
type Member struct {
	Backend      string        `json:"backend"`
	Zone         string        `json:"region-part"`
	Flavor       string        `json:"flavor"`
	UnitGroup    int           `json:"unit-group"`
	Availability string        `json:"availability"`
	Share        float64       `json:"share"`
	Since        time.Duration `json:"since"`
}

// Fleet is an update of an instance's server list.
type Fleet struct {
	How   string `json:"how"`
	Gen   uint64 `json:"gen"`
	Table int    `json:"table"`
}

// Knock is a request from a client.
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

func (k *Knock) request() balancer.Request {
	return balancer.Request{ID: k.Call, Class: k.Grade, Tenant: string(k.Tenant), TimeLeft: k.Left, Work: k.Hint, Key: k.Key,
		Write: k.Update, Retry: k.Retry}
}

// tenantName is the name of a tenant. At sites without tenants the simulator may send 0 instead of a string, which leaves the name
// empty.
type tenantName string

func (t *tenantName) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, (*string)(t))
	}
	return nil
}

// Started reports that the response to an attempt has started to stream.
type Started struct {
	Call string        `json:"call"`
	Shot int           `json:"shot"`
	Lag  time.Duration `json:"lag"`
}

// Verdict is the result of an attempt.
type Verdict struct {
	Call     string        `json:"call"`
	Shot     int           `json:"shot"`
	Ending   string        `json:"ending"`
	Lag      time.Duration `json:"lag"`
	Finished bool          `json:"finished"`
	Metrics  metrics       `json:"metrics"`
}

// Sampled is the result of a health check.
type Sampled struct {
	Ending  string        `json:"ending"`
	Lag     time.Duration `json:"lag"`
	Backend string        `json:"backend"`
	Metrics metrics       `json:"metrics"`
}

// metrics is a load report. The simulator sends it as an object or as a list of [name, value] pairs; pairs of other types are ignored.
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
	for _, pair := range pairs {
		name, ok := pair[0].(string)
		value, isNumber := pair[1].(float64)
		if ok && isNumber {
			(*m)[name] = value
		}
	}
	return nil
}

// Serve reads batches from in, one per line, and writes a reply line for each to out. It returns nil at the end of the input, and
// stops at the first error.
func Serve(in io.Reader, out io.Writer) error {
	hub, lines := NewHub(), newLineReader(in)
	var reply []byte
	for number := 1; ; number++ {
		line, err := lines.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("batch %d: %w", number, err)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		batch, err := Decode(line)
		if err == nil {
			reply, err = hub.Apply(batch, reply[:0])
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", number, err)
		}
		if _, err = out.Write(append(reply, '\n')); err != nil {
			return err
		}
	}
}
