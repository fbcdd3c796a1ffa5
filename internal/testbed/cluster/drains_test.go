package cluster

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
	"robindrum/internal/release"
	"robindrum/internal/testbed"
)

// TestDrainsStayWithinBudget drains gateways and endpoints under load: with concurrent drain requests at four gateways, with a dead
// gateway, while a drained gateway is killed and restarted, with a partitioned gateway, and without a quorum.
func TestDrainsStayWithinBudget(t *testing.T) {
	testbed.Leaks(t)
	site, err := NewSite(t.Context(), SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 5, Lease: testLease, Budgets: `[{name: g, most: 2}, {name: e, cluster: "*", most: 1}]`})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(20)
	defer load.Stop()
	defer func() {
		if t.Failed() {
			for _, n := range site.Nodes {
				answer, err := n.DrainRequests()
				status, err2 := n.Status()
				t.Logf("%s: ready %v, drain requests %+v, error %v, status error %v", n.Name, status.Ready, answer, err, err2)
				for _, c := range status.Clusters {
					t.Logf("  %s: %+v %+v", c.Name, c.Endpoints, c.Requests)
				}
			}
		}
	}()
	drainState := func(id string) drain.State {
		for _, n := range site.Nodes {
			if n.Up() {
				if list, err := n.DrainRequests(); err == nil {
					return list[id].State
				}
			}
		}
		return ""
	}
	awaitState := func(id string, want ...drain.State) {
		t.Helper()
		waitFor(t, fmt.Sprint(id, " to be ", want), func() bool {
			got := drainState(id)
			for _, allowed := range want {
				if got == allowed {
					return true
				}
			}
			return false
		})
	}
	requestDrain := func(id string, requester int, t drain.Target) (drain.Request, error) {
		return site.Nodes[requester].SendDrain("drain", drain.Request{ID: id, Target: t, Owner: "test", Grace: 5 * time.Second, Notice: 300 * time.Millisecond})
	}
	gateway := func(i int) drain.Target { return drain.Target{Gateway: site.Nodes[i].Name} }
	waitFor(t, "the gateways to be known", func() bool {
		answer, err := requestDrain("first", 0, gateway(4))
		return err == nil && answer.State != drain.Pending && answer.State != drain.Rejected
	})
	awaitState("first", drain.Drained)
	if site.Nodes[4].Ready() {
		t.Error("n4 is ready although it is drained")
	}

	// Concurrent requests: the budget allows one more gateway to be drained, whichever it is.
	var requests sync.WaitGroup
	for i := range 4 {
		requests.Go(func() { _, _ = requestDrain(fmt.Sprint("all", i), i, gateway(i)) })
	}
	requests.Wait()
	granted := ""
	waitFor(t, "one of four drain requests to be granted", func() bool {
		for i := range 4 {
			if drainState(fmt.Sprint("all", i)) == drain.Drained {
				granted = fmt.Sprint("all", i)
			}
		}
		return granted != ""
	})
	unavailable := 0
	for i := range 4 {
		if status := drainState(fmt.Sprint("all", i)); status != drain.Pending {
			unavailable++
		}
	}
	if unavailable != 1 {
		t.Errorf("%d of four concurrent drain requests were granted, want 1", unavailable)
	}
	for i := range 4 { // cancel the pending requests first, so that none of them is granted in place of the drained one
		if id := fmt.Sprint("all", i); id != granted {
			_, _ = site.Nodes[0].SendDrain("undrain", drain.Request{ID: id})
		}
	}
	if _, err := site.Nodes[0].SendDrain("undrain", drain.Request{ID: granted}); err != nil {
		t.Fatal(err)
	}
	awaitState(granted, drain.Ended)

	// A drained gateway stays drained, and its drain request too, when it is killed and restarted.
	if err := site.Nodes[4].Restart(false); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n4 to have usable endpoints", func() bool {
		status, err := site.Nodes[4].Status()
		return err == nil && len(status.Clusters) == 1 && status.Clusters[0].Usable > 0
	})
	for end := time.Now().Add(time.Second); time.Now().Before(end); _ = sleep(t.Context(), 20*time.Millisecond) {
		if site.Nodes[4].Ready() {
			t.Fatal("n4 is ready after a restart although it is drained")
		}
	}
	awaitState("first", drain.Drained)

	// With a dead gateway two are unavailable, so a further drain request stays pending. It is granted when the gateway is back.
	site.Nodes[3].Kill()
	waitFor(t, "the dead gateway to be counted as unavailable", func() bool {
		var list quorum.DrainList
		return site.Nodes[0].Get("/fleet/orders", &list) == nil && len(list.Budgets) > 0 && len(list.Budgets[0].Unavailable) == 2
	})
	if answer, err := requestDrain("more", 0, gateway(0)); err != nil || answer.State != drain.Pending {
		t.Errorf("drain request with two gateways unavailable: got %+v, error %v, want it pending", answer, err)
	}
	if answer, _ := site.Nodes[0].DrainRequests(); !strings.Contains(answer["more"].StateReason, "2 of 5 are out") && !strings.Contains(answer["more"].StateReason, "budget g") {
		t.Errorf("pending drain request: got %+v, want a reason that names the budget or the unavailable gateways", answer["more"])
	}
	if err := site.Nodes[3].Start(); err != nil {
		t.Fatal(err)
	}
	awaitState("more", drain.Drained)
	for _, id := range []string{"more", "first"} {
		if _, err := site.Nodes[1].SendDrain("undrain", drain.Request{ID: id}); err != nil {
			t.Fatal(err)
		}
		awaitState(id, drain.Ended)
	}
	waitFor(t, "all gateways to be ready", func() bool {
		for _, n := range site.Nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})

	// A drained endpoint gets no new requests after a second, including from a gateway whose partition has healed.
	site.Isolate(site.Nodes[4], LinkState{Partitioned: true})
	endpoint := drain.Target{Cluster: "c", Endpoint: site.Origins[0].Addr}
	answer, err := requestDrain("e", 0, endpoint)
	if err != nil || answer.State == drain.Rejected {
		t.Fatalf("drain request for an endpoint: got %+v, error %v, want it accepted", answer, err)
	}
	awaitState("e", drain.Draining, drain.Drained)
	site.Heal()
	healed := time.Now()
	awaitState("e", drain.Drained)
	if n := site.Origins[0].RequestsAfter(healed.Add(time.Second)); n != 0 {
		t.Errorf("requests to a drained endpoint: got %d, want 0", n)
	}
	if answer, err := requestDrain("f", 1, drain.Target{Cluster: "c", Endpoint: site.Origins[1].Addr}); err != nil || answer.State != drain.Pending {
		t.Errorf("second drain request for an endpoint: got %+v, error %v, want it pending", answer, err)
	}
	if _, err := site.Nodes[2].SendDrain("undrain", drain.Request{ID: "e"}); err != nil {
		t.Fatal(err)
	}
	before := site.Origins[0].Requests()
	waitFor(t, "the undrained endpoint to serve", func() bool { return site.Origins[0].Requests() > before+10 })
	awaitState("e", drain.Cancelled, drain.Ended) // during the slow start it still counts against the budget

	// Without a quorum no drain request is granted, and all client requests are served.
	for _, n := range site.Nodes[:2] {
		n.Kill()
	}
	if answer, err := requestDrain("none", 2, gateway(4)); err == nil {
		t.Errorf("drain request without a quorum: got %+v, want an error", answer)
	}
	if failure := load.Stop(); failure != "" || load.Requests.Load() < 200 {
		t.Errorf("%d of %d requests failed, first: %s; want 0 of at least 200", load.Failed.Load(), load.Requests.Load(), failure)
	}
}

// TestReleaseOfAConfiguration releases configurations to six gateways of two sites under load. A good configuration reaches all of
// them. One that fails requests is rolled back at its canaries although the leader is killed. An invalid one is rejected by its
// canaries. Only the configuration that fails requests causes failures.
func TestReleaseOfAConfiguration(t *testing.T) {
	testbed.Leaks(t)
	site, err := NewSite(t.Context(), SiteOptions{Binary: binary(t), Dir: t.TempDir(), Gateways: 6, Sites: []string{"s", "t"}, Lease: testLease})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	load := site.StartLoad(50)
	defer load.Stop()
	releases := func() (list quorum.ReleaseList) {
		for _, n := range site.Nodes {
			if n.Up() && n.Get("/fleet/releases", &list) == nil && list.Fresh {
				return list
			}
		}
		return list
	}
	waitFor(t, "the gateways to be known", func() bool { return len(releases().Gateways) == 6 })
	startRelease := func(id, text string, rollBack bool) {
		t.Helper()
		digest := fleet.ConfigDigest([]byte(text))
		for _, command := range []quorum.Command{{Op: quorum.OpStoreConfig, Digest: digest, Text: text}, {Op: quorum.OpStartRelease, Plan: &release.Plan{ID: id, Target: digest, Soak: time.Second, RollBackOnFailure: rollBack,
			Gate: release.Gate{MinRequests: 50, MaxMeanRatio: 20, MaxMemoryRatio: 10}}}} {
			waitFor(t, "the command to be accepted", func() bool { return site.Nodes[5].SendRelease(command) == nil })
		}
	}
	awaitEnd := func(id string) release.Release {
		t.Helper()
		var r release.Release
		waitFor(t, id+" to end", func() bool {
			for _, candidate := range releases().Ended {
				if candidate.ID == id {
					r = candidate
					return true
				}
			}
			return false
		})
		return r
	}
	gatewaysWith := func(digest string) (n int) {
		for _, gateway := range releases().Gateways {
			if gateway.Config == digest {
				n++
			}
		}
		return n
	}
	good := "routes: [{match: {prefix: /}, cluster: c}, {match: {prefix: /more}, cluster: c}]\n"
	startRelease("good", good, true)
	if r := awaitEnd("good"); r.State != release.Done {
		t.Fatalf("release of a good configuration: got %v, want it done", &r)
	}
	waitFor(t, "all gateways to have the good configuration", func() bool { return gatewaysWith(fleet.ConfigDigest([]byte(good))) == 6 })
	if n := load.Failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed during the release of a good configuration, want 0", n, load.Requests.Load())
	}

	// This configuration routes half of all requests to a cluster without endpoints.
	bad := "routes: [{match: {prefix: /}, clusters: [{name: c, weight: 1}, {name: none, weight: 1}]}]\nclusters: [{name: none, endpoints: []}]\n"
	startRelease("bad", bad, true)
	maxGateways := 0
	var killed *Node
	var r release.Release
	waitFor(t, "the release of the bad configuration to end", func() bool {
		list := releases()
		if n := gatewaysWith(fleet.ConfigDigest([]byte(bad))); n > 0 {
			if maxGateways = max(maxGateways, n); killed == nil {
				if killed = site.Leader(); killed != nil { // the next leader continues the release
					killed.Kill()
				}
			}
		}
		// The killed leader may be a canary. The wave waits until it has the configuration, so it is started again.
		if killed != nil && !killed.Up() && site.Leader() != nil {
			if err := killed.Start(); err != nil {
				t.Fatal(err)
			}
		}
		for _, candidate := range list.Ended {
			if candidate.ID == "bad" {
				r = candidate
				return true
			}
		}
		return false
	})
	if r.State != release.RolledBack || r.StateReason == "" || maxGateways > 2 || r.Wave != 0 {
		t.Errorf("release of a bad configuration: got %v, with %d gateways having it; want it rolled back in wave 0 with a reason, at most 2 gateways", &r, maxGateways)
	}
	if killed != nil && !killed.Up() {
		if err := killed.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "all gateways to have the good configuration again", func() bool { return gatewaysWith(fleet.ConfigDigest([]byte(good))) == 6 })

	startRelease("unreadable", "routes: [{match: {prefix: /}, cluster: nobody}]\nlisteners: []\n", true)
	if r := awaitEnd("unreadable"); r.State != release.RolledBack || !strings.Contains(r.StateReason, "listeners is each process's own") {
		t.Errorf("release of an invalid configuration: got %v, want it rolled back because of its listeners", &r)
	}
	waitFor(t, "all gateways to have the good configuration again", func() bool { return gatewaysWith(fleet.ConfigDigest([]byte(good))) == 6 })
}
