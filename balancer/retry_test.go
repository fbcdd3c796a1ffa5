package balancer

import "testing"

// Checks mayAttempt and mayReject for every combination of effect, group, state of the earlier attempt, expired window, parallel
// attempts and server of the next attempt.
func TestRepetitionRulesByEffect(t *testing.T) {
	type end struct {
		name        string
		out, proved bool
	}
	first := &server{Server: Server{ID: "a", Zone: "za", Cell: 1}}
	for _, effect := range []Effect{Idempotent, IdempotentWithKey, NonIdempotent} {
		for _, group := range []Group{GroupAll, GroupZone, GroupCell} {
			for _, e := range []end{{"proved", false, true}, {"may have been executed", false, false}, {"still in flight", true, false}} {
				for _, late := range []bool{false, true} {
					for _, parallel := range []bool{false, true} {
						for _, to := range []Server{{Zone: "za", Cell: 1}, {Zone: "za", Cell: 2}, {Zone: "zb", Cell: 3}} {
							cfg := settings()
							cfg.ParallelAttempts = parallel
							b, _ := newTestBalancer(t, cfg, twoZones(4))
							c := &class{Class: Class{Effect: effect, Group: group, Window: 400 * ms}}
							r := &request{class: c, attempts: []attempt{{to: first, inFlight: e.out, notExecuted: e.proved}}}
							now := 100 * ms
							if e.out {
								r.inFlight = 1
							}
							if late {
								now = 400 * ms
							}
							same := group == GroupAll || to.Zone == "za" && (group == GroupZone || to.Cell == 1)
							want := !e.out || parallel
							if !e.proved && effect == NonIdempotent || !e.proved && effect == IdempotentWithKey && (late || !same) {
								want = false
							}
							if got := b.mayAttempt(r, &server{Server: to}, now); got != want {
								t.Errorf("mayAttempt: effect %d, group %d, first attempt %s, window expired %v, parallel %v, server %v: got %v, want %v",
									effect, group, e.name, late, parallel, to, got, want)
							}
							want = effect == Idempotent || e.proved || effect == IdempotentWithKey && group == GroupAll
							if got := b.mayReject(r); got != want {
								t.Errorf("mayReject: effect %d, group %d, first attempt %s: got %v, want %v", effect, group, e.name, got, want)
							}
						}
					}
				}
			}
		}
	}
}
