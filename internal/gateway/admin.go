package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"robindrum/internal/config"
	"robindrum/internal/locality"
	"robindrum/internal/subscription"
)

// adminServer is the operators' listener.
type adminServer struct {
	listener          net.Listener
	configuredAddress string
	server            *http.Server
	done              chan struct{}
}

func (g *Gateway) listenAdmin(f *config.File) (*adminServer, error) {
	if f.Admin.Address == "none" {
		return nil, nil
	}
	if g.admin != nil && g.admin.configuredAddress == f.Admin.Address {
		return g.admin, nil
	}
	l, err := net.Listen("tcp", f.Admin.Address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return &adminServer{listener: l, configuredAddress: f.Admin.Address, done: make(chan struct{})}, nil
}

func (g *Gateway) replaceAdmin(a *adminServer) {
	if a == g.admin {
		return
	}
	if old := g.admin; old != nil {
		g.background.Go(old.close)
	}
	if g.admin = a; a == nil {
		return
	}
	a.server = &http.Server{Handler: g.Admin(), ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	go func() {
		defer close(a.done)
		_ = a.server.Serve(a.listener) // ends with close
	}()
}

func (a *adminServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		a.server.Close()
	}
	<-a.done
}

// Admin answers the operators: /health/live, /health/ready, /metrics, POST /capture, /status (with ?endpoints=N, at most N endpoints of
// each cluster are named).
func (g *Gateway) Admin() http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(&collector{g}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /health/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: 4}))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		n := 0
		if text := r.URL.Query().Get("endpoints"); text != "" {
			var err error
			if n, err = strconv.Atoi(text); err != nil || n < 0 {
				http.Error(w, "endpoints: want a whole number from 0", http.StatusBadRequest)
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(g.Status(n)) // to one who has left
	})
	mux.HandleFunc("POST /capture", g.serveCapture)
	if g.fleet != nil {
		mux.Handle("/fleet", g.fleet.Handler())
		mux.Handle("/fleet/", g.fleet.Handler())
	}
	return mux
}

// collector reads the gateway's counters when it is asked.
type collector struct{ g *Gateway }

type metric struct {
	*prometheus.Desc
	kind prometheus.ValueType
}

func newMetric(kind prometheus.ValueType, name, help string, labels ...string) metric {
	return metric{prometheus.NewDesc("robindrum_"+name, help, labels, nil), kind}
}

func metrics() map[string]metric {
	c, v := prometheus.CounterValue, prometheus.GaugeValue
	return map[string]metric{
		"ready":     newMetric(v, "ready", "1 where requests can be served."),
		"refused":   newMetric(v, "config_refused", "1 where the newest configuration is refused and the one before goes on."),
		"clients":   newMetric(v, "client_connections", "Connections of clients."),
		"requests":  newMetric(c, "requests_total", "Requests by how they were answered.", "cluster", "outcome"),
		"inhand":    newMetric(v, "requests_in_hand", "Requests without their answer.", "cluster"),
		"seconds":   newMetric(c, "served_seconds_total", "Time from request to answer, of all served requests together.", "cluster"),
		"attempts":  newMetric(c, "attempts_total", "Attempts by result.", "cluster", "result"),
		"retries":   newMetric(c, "retries_total", "Attempts after a request's first.", "cluster"),
		"dropped":   newMetric(c, "dropped_total", "Requests refused by the control plane's drop_overloads.", "cluster"),
		"endpoints": newMetric(v, "endpoints", "Endpoints by whether they are used, and why not.", "cluster", "state"),
		"age":       newMetric(v, "cluster_last_word_age_seconds", "Since the source last said anything of the cluster's endpoints.", "cluster"),
		"conns":     newMetric(v, "cluster_connections", "Connections to endpoints.", "cluster"),
		"zstate":    newMetric(v, "zone_state", "1 for the state that a zone is in.", "cluster", "zone", "priority", "state"),
		"zshare":    newMetric(v, "zone_share", "Part of the load that a zone gets.", "cluster", "zone", "priority"),
		"zhealth":   newMetric(v, "zone_health", "Part of a zone's endpoints, by weight, that is ready.", "cluster", "zone", "priority"),
		"zroom":     newMetric(v, "zone_room_requests", "Requests at once that a zone may get; -1: no bound.", "cluster", "zone", "priority"),
		"zinflight": newMetric(v, "zone_in_flight", "Attempts out at a zone.", "cluster", "zone", "priority"),
		"zevents": newMetric(c, "zone_events_total", "Attempts sent and of them crossed, retries and probes; requests refused for want of room, "+
			"retries denied, transitions.", "cluster", "zone", "priority", "event"),
		"alimit":    newMetric(v, "admission_limit_requests", "Requests in flight that the cluster may have; -1: no bound.", "cluster"),
		"aactive":   newMetric(v, "admission_in_flight", "Requests that started and have no answer yet.", "cluster"),
		"awaiting":  newMetric(v, "admission_waiting", "Requests that wait to start.", "cluster", "class"),
		"abase":     newMetric(v, "admission_baseline_seconds", "What the quicker answers take where nothing stands before them.", "cluster", "class"),
		"arefused":  newMetric(c, "admission_refused_total", "Requests refused before they started.", "cluster", "reason"),
		"awaited":   newMetric(c, "admission_waited_total", "Requests that started after a wait.", "cluster"),
		"ashort":    newMetric(v, "admission_short", "1 where requests were refused within the last seconds.", "cluster"),
		"aretries":  newMetric(v, "admission_retries_left", "Retries that the cluster's budget has left; -1: as many as may are in flight.", "cluster"),
		"adenied":   newMetric(c, "admission_retries_denied_total", "Retries that the budget did not allow.", "cluster"),
		"ratelimit": newMetric(c, "rate_limit_total", "Requests that fell under a rate limit, by what came of it.", "limit", "result"),
		"connected": newMetric(v, "xds_connected", "1 where a control plane is connected, or a file could be read.", "source"),
		"word":      newMetric(v, "xds_last_word_age_seconds", "Since the source last said anything.", "source"),
		"responses": newMetric(c, "xds_responses_total", "Responses of the source by whether they were accepted.", "source", "type", "result"),
		"held":      newMetric(v, "limit_used", "What is held, or kept for a cluster, of a limit.", "limit"),
		"most":      newMetric(v, "limit_most", "A limit.", "limit"),

		"fmembers":   newMetric(v, "fleet_members", "Members of the fleet by state, as this process sees them.", "state"),
		"fconflicts": newMetric(c, "fleet_name_conflicts_total", "Claims of a member's name by another address."),
		"fcontact":   newMetric(v, "fleet_quorum_contact_age_seconds", "Since the leader last answered this process; negative: never."),
		"fsent":      newMetric(c, "fleet_sent_bytes_total", "Bytes of calls and packets to other members."),
		"fvote":      newMetric(v, "fleet_voter", "1 for the state that this voter is in.", "state"),
		"fduty":      newMetric(v, "fleet_duty_held", "1 where this process holds the duty.", "duty"),
		"fheld":      newMetric(c, "fleet_duty_grants_total", "How often this process was granted the duty.", "duty"),
		"foverdue":   newMetric(c, "fleet_duty_overdue_total", "How often the duty did not end before its lease.", "duty"),
		"fbudget":    newMetric(v, "fleet_budget", "How the budgets of drains stand, by this voter's book: what may be out, and what is.", "budget", "scope", "what"),
		"forders":    newMetric(v, "fleet_orders", "Orders by state, by this voter's book.", "state"),
		"fhalted":    newMetric(v, "fleet_orders_halted", "1 where nothing new is taken out, by this voter's book."),
		"frelease":   newMetric(v, "fleet_release", "1 for the state of the release under way, by this voter's book.", "state"),
		"fmode":      newMetric(v, "fleet_subscription", "1 for where this gateway's word of the control plane comes from.", "mode"),
		"fheard":     newMetric(v, "fleet_subscription_heard_seconds", "Since a holder of the subscription last spoke."),
	}
}

// Describe gives what Collect may give.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, m := range metrics() {
		ch <- m.Desc
	}
}

// Collect reads the counters.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	m := metrics()
	put := func(name string, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(m[name].Desc, m[name].kind, v, labels...)
	}
	yes := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	s, listings := c.g.status()
	put("ready", yes(s.Ready))
	put("refused", yes(s.Config.Rejection != ""))
	put("clients", float64(s.Limits.ClientConnections))
	for i, cl := range s.Clusters {
		for state, n := range listings[i].CountBy(endpointState) {
			put("endpoints", float64(n), cl.Name, state)
		}
		for _, z := range cl.Zones {
			at := []string{cl.Name, z.Zone, strconv.Itoa(z.Priority)}
			for _, state := range []locality.State{locality.Up, locality.Failing, locality.Dark, locality.Returning} {
				put("zstate", yes(z.State == state.String()), append(at, state.String())...)
			}
			put("zshare", z.Share, at...)
			put("zhealth", z.Health, at...)
			room := z.MaxInFlight
			if room == 0 {
				room = -1
			}
			put("zroom", room, at...)
			put("zinflight", float64(z.InFlight), at...)
			for event, n := range map[string]uint64{"sent": z.Sent, "crossed": z.Crossed, "refused": z.RejectedNoCapacity, "retry": z.Retries,
				"retry_denied": z.RetriesDenied, "probe": z.Probes, "transition": z.Transitions} {
				put("zevents", float64(n), append(at, event)...)
			}
		}
		a := cl.Admission
		bound := float64(a.Limit)
		if a.Limit == 0 {
			bound = -1
		}
		put("alimit", bound, cl.Name)
		put("aactive", float64(a.InFlight), cl.Name)
		put("awaited", float64(a.StartedAfterWait), cl.Name)
		put("ashort", yes(a.Overloaded), cl.Name)
		put("aretries", float64(a.RetriesLeft), cl.Name)
		put("adenied", float64(a.RetriesDenied), cl.Name)
		for why, n := range a.Rejected {
			put("arefused", float64(n), cl.Name, why)
		}
		for _, k := range a.Classes {
			put("awaiting", float64(k.Waiting), cl.Name, k.Name)
			put("abase", k.Baseline/1000, cl.Name, k.Name)
		}
		r := cl.Requests
		for outcome, n := range map[string]uint64{"served": r.Served, "refused": r.Rejected, "failed": r.Failed, "client_left": r.ClientLeft} {
			put("requests", float64(n), cl.Name, outcome)
		}
		for result, n := range r.Attempts {
			put("attempts", float64(n), cl.Name, result)
		}
		put("retries", float64(r.Retries), cl.Name)
		put("inhand", float64(cl.InFlight+cl.InFlightRetired), cl.Name)
		put("seconds", r.MeanMS*float64(r.Served)/1000, cl.Name)
		put("dropped", float64(cl.Dropped), cl.Name)
		put("conns", float64(cl.Usage.Descriptors), cl.Name)
		if cl.UpdateAge != nil {
			put("age", *cl.UpdateAge, cl.Name)
		}
	}
	if s.Fleet != nil {
		collectFleet(s.Fleet, put)
	}
	if sub := s.Subscription; sub != nil {
		for _, mode := range []subscription.Mode{subscription.Waiting, subscription.Following, subscription.Direct, subscription.Leading} {
			put("fmode", yes(sub.Mode == mode), string(mode))
		}
		put("fheard", sub.LastPushAge)
	}
	for _, src := range s.Sources {
		put("connected", yes(src.Connected != ""), src.Name)
		if src.LastResponseAge != nil {
			put("word", *src.LastResponseAge, src.Name)
		}
		for _, t := range src.Types {
			put("responses", float64(t.Accepted), src.Name, t.Type, "accepted")
			put("responses", float64(t.Rejected), src.Name, t.Type, "rejected")
		}
	}
	for _, r := range s.RateLimits {
		put("ratelimit", float64(r.Allowed), r.Name, "allowed")
		put("ratelimit", float64(r.Rejected), r.Name, "refused")
		put("ratelimit", float64(r.CountedTogether), r.Name, "counted_together")
	}
	l := s.Limits
	for name, v := range map[string][2]float64{"descriptors": {float64(l.Descriptors), float64(l.MaxDescriptors)},
		"memory_bytes": {float64(l.Memory), float64(l.MaxMemory)}, "requests": {float64(l.Requests), float64(l.MaxRequests)}} {
		put("held", v[0], name)
		put("most", v[1], name)
	}
}
