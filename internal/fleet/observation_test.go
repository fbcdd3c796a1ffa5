package fleet

import (
	"cmp"
	"reflect"
	"slices"
	"testing"
	"time"

	"robindrum/internal/drain"
	"robindrum/internal/membership"
	"robindrum/internal/release"
)

func member(name, site string, state membership.State) membership.Member {
	return membership.Member{Name: name, Site: site, Zone: site + "1", Incarnation: 1, State: state}
}

func TestReportTargets(t *testing.T) {
	tests := []struct {
		name    string
		members []membership.Member
		want    map[string]bool // by name, whether a full report is asked for
	}{
		{"witnesses and gone members are not asked",
			[]membership.Member{member("a", "s", membership.Witness), member("b", "s", membership.Gone), member("c", "s", membership.Draining)},
			map[string]bool{"c": true}},
		{"one full report of each site",
			[]membership.Member{member("a", "s", membership.Serving), member("b", "s", membership.Serving), member("c", "r", membership.Suspect)},
			map[string]bool{"a": true, "b": false, "c": true}},
		{"dead members are asked, but not for a full report",
			[]membership.Member{member("a", "s", membership.Dead), member("b", "s", membership.Serving)},
			map[string]bool{"a": false, "b": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := map[string]bool{}
			for _, target := range reportTargets(test.members) {
				got[target.member.Name] = target.full
			}
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("full reports requested by reportTargets: got %v, want %v", got, test.want)
			}
		})
	}
}

func TestMergeReports(t *testing.T) {
	endpoint := func(address string, healthy bool) drain.Endpoint {
		return drain.Endpoint{Cluster: "c", Address: address, Healthy: healthy}
	}
	reports := []gatewayReport{
		{member: member("a", "s", membership.Serving), report: &Report{Incarnation: 7, Serving: true, Config: "d", RunningVersion: "v",
			InFlight: map[string]int{"x": 3, "y": 0}, Endpoints: []drain.Endpoint{endpoint("1", true), endpoint("2", false)}}},
		{member: member("b", "s", membership.Serving), report: &Report{Incarnation: 8, InFlight: map[string]int{"x": 2}, Endpoints: []drain.Endpoint{endpoint("3", false)}}},
		{member: member("c", "r", membership.Dead)},
	}
	merged := mergeReports(5, reports)
	if merged.answered != 2 || merged.observation.Version != 5 {
		t.Errorf("mergeReports: got %d answered, version %d, want 2 answered, version 5", merged.answered, merged.observation.Version)
	}
	wantGateways := []drain.Gateway{
		{Name: "a", Site: "s", Zone: "s1", Incarnation: 7, Serving: true},
		{Name: "b", Site: "s", Zone: "s1", Incarnation: 8},
		{Name: "c", Site: "r", Zone: "r1", Incarnation: 1},
	}
	if !reflect.DeepEqual(merged.observation.Gateways, wantGateways) {
		t.Errorf("gateways: got %+v, want %+v", merged.observation.Gateways, wantGateways)
	}
	wantReleases := []release.Gateway{
		{Name: "a", Site: "s", Zone: "s1", Incarnation: 7, Responding: true, Serving: true, Config: "d", Version: "v"},
		{Name: "b", Site: "s", Zone: "s1", Incarnation: 8, Responding: true},
		{Name: "c", Site: "r", Zone: "r1", Incarnation: 1},
	}
	if !reflect.DeepEqual(merged.observation.Releases, wantReleases) {
		t.Errorf("releases: got %+v, want %+v", merged.observation.Releases, wantReleases)
	}
	endpoints := merged.observation.Endpoints
	slices.SortFunc(endpoints, func(a, b drain.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	if want := []drain.Endpoint{endpoint("1", true), endpoint("2", false), endpoint("3", false)}; !reflect.DeepEqual(endpoints, want) {
		t.Errorf("endpoints: got %+v, want %+v", endpoints, want)
	}
	wantProgress := map[string]drainProgress{"x": {inFlight: 5, reports: 2}, "y": {inFlight: 0, reports: 1}}
	if !reflect.DeepEqual(merged.progress, wantProgress) {
		t.Errorf("progress: got %+v, want %+v", merged.progress, wantProgress)
	}
}

func TestEndpointIsUnhealthyFromOneThirdOfReports(t *testing.T) {
	tests := []struct {
		answered, unhealthy int
		wantHealthy         bool
	}{
		{1, 0, true}, {1, 1, false}, {2, 1, false}, {3, 1, false}, {4, 1, true}, {6, 1, true}, {6, 2, false}, {7, 2, true},
	}
	for _, test := range tests {
		health := endpointHealth{}
		for i := range test.answered {
			health.add([]drain.Endpoint{{Cluster: "c", Address: "1", Healthy: i >= test.unhealthy}})
		}
		if got := health.endpoints(test.answered); len(got) != 1 || got[0].Healthy != test.wantHealthy {
			t.Errorf("reported as unhealthy by %d of %d gateways: got %+v, want one endpoint with Healthy %v", test.unhealthy, test.answered, got, test.wantHealthy)
		}
	}
}

func TestAbsentGatewayIsForgotten(t *testing.T) {
	const forgetAfter = 10 * time.Second
	a := drain.Gateway{Name: "a", Serving: true}
	b := drain.Gateway{Name: "b", Serving: true}
	known := []drain.Gateway{a, b}
	steps := []struct {
		now     time.Duration
		present []drain.Gateway
		want    []string
	}{
		{0, known, nil},
		{1 * time.Second, []drain.Gateway{a}, []string{"b"}},
		{10 * time.Second, []drain.Gateway{a}, []string{"b"}},
		{11 * time.Second, []drain.Gateway{a}, nil},                  // b is forgotten
		{12 * time.Second, known, nil},                               // b is back
		{13 * time.Second, []drain.Gateway{b}, []string{"a"}},        // a instead of b
		{22 * time.Second, []drain.Gateway{}, []string{"a", "b"}},    // a still, b newly absent
		{23 * time.Second, []drain.Gateway{}, []string{"b"}},         // a is forgotten
		{30 * time.Second, []drain.Gateway{a, b}, []string(nil)},     // both are back
		{31 * time.Second, []drain.Gateway(nil), []string{"a", "b"}}, // both newly absent
	}
	absent := absentGateways{}
	for _, step := range steps {
		var got []string
		for _, gateway := range absent.update(step.now, forgetAfter, step.present, known) {
			if gateway.Serving {
				t.Errorf("at %v: absent gateway %s is serving", step.now, gateway.Name)
			}
			got = append(got, gateway.Name)
		}
		if !slices.Equal(got, step.want) {
			t.Errorf("absent gateways at %v: got %v, want %v", step.now, got, step.want)
		}
	}
}
