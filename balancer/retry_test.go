package balancer

import "testing"

// Every combination of effect, group, the end of the earlier attempt, window and parallel attempts.
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
							set := settings()
							set.ParallelAttempts = parallel
							b, _ := start(t, set, twoZones(4))
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
								t.Errorf("repeat effect %d group %d %s late %v parallel %v to %v: %v", effect, group, e.name, late, parallel, to, got)
							}
							want = effect == Idempotent || e.proved || effect == IdempotentWithKey && group == GroupAll
							if got := b.mayReject(r); got != want {
								t.Errorf("reject effect %d group %d %s: %v", effect, group, e.name, got)
							}
						}
					}
				}
			}
		}
	}
}
