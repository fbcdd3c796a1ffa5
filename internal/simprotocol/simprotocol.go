// Package simprotocol is the simulator's protocol: it decodes lines into events of package balancer and encodes its actions
// as lines. It decides nothing. Types and fields that mirror the wire keep its names.
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

// Event has exactly one field set. The field names are those of the wire.
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

func (k *Knock) request() balancer.Request {
	return balancer.Request{ID: k.Call, Class: k.Grade, Tenant: string(k.Tenant), TimeLeft: k.Left, Work: k.Hint, Key: k.Key,
		Write: k.Update, Retry: k.Retry}
}

// tenantName is a name; at sites without tenants the wire may have 0 in its place.
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
