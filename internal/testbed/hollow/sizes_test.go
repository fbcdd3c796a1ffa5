package hollow

import (
	"flag"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"robindrum/internal/testbed/memnet"
)

var (
	sizesFlag         = flag.String("sizes", "4,5,6,7", "fleet sizes of TestAtSizes, increasing and separated by commas")
	outagesFlag       = flag.Bool("outages", true, "measure the outages of a rack, a zone and the link between regions in TestAtSizes")
	checkIntervalFlag = flag.Duration("look", 0, "interval between two checks of the members in TestAtSizes; 0: a twentieth of the probe interval")
)

// TestAtSizes measures membership at any fleet sizes on simulated time, so that a busy machine causes neither delays nor suspicions.
// docs/CAPACITY.md has its results for large sizes, measured by
//
//	go test ./internal/testbed/hollow -run TestAtSizes -v -timeout 1h -args -sizes 100,200,400,800
func TestAtSizes(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	if m := machineMemory(); m > 0 {
		before := debug.SetMemoryLimit(m / 2)
		t.Cleanup(func() { debug.SetMemoryLimit(before) })
	}
	var sizes []float64
	values := map[string][]float64{}
	var names []string
	record := func(name string, v float64) {
		if values[name] == nil {
			names = append(names, name)
		}
		values[name] = append(values[name], v)
	}
	for _, text := range strings.Split(*sizesFlag, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		if err := SimulatedRequirement(n).Check(); err != nil {
			t.Errorf("requirement of %d members: got error %v, want none", n, err)
			break
		}
		began := time.Now()
		simulate(t, func(t *testing.T, opt Options) {
			opt.Members, opt.CheckInterval = n, *checkIntervalFlag
			r, err := MeasureMembers(t.Context(), MembersOptions{Options: opt, Restart: n >= 10})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d members: join %v, state change %v, single join %v, leave %v (%d recorded it as dead), death %v, rollout %v, restart of a fifth %v; idle windows %d, rollouts %d; lost packets %d",
				n, r.Join, r.StateChange, r.JoinOne, r.Leave, r.LeaveSeenAsDeath, r.Death, r.Rollout, r.Restart, r.Windows, r.Rollouts, opt.Network.(*memnet.Net).Lost())
			t.Logf("%+v", r)
			record("packets", r.Packets)
			record("packet bytes", r.PacketBytes)
			record("exchange bytes", r.ExchangeBytes)
			record("CPU idle, ms", 1000*r.CPU.Seconds())
			record("heap MB", r.Heap/1e6)
			record("CPU of the join of all, s", r.JoinCPU.Seconds())
			record("bytes per member and update", r.RolloutBytes)
			record("CPU per member for a rollout, ms", 1000*r.RolloutCPU.Seconds()/float64(n))
			record("bytes per member and restarted member", r.RestartBytes)
		})
		if *outagesFlag {
			simulate(t, func(t *testing.T, opt Options) {
				opt.Members, opt.CheckInterval = n, *checkIntervalFlag
				rows, err := MeasureOutages(t.Context(), opt, Outages)
				for i, r := range rows {
					name := Outages[i].Name
					t.Logf("%d members: %s, %d lost: detected by all after %v, recovered after %v", n, name, r.Lost, r.Detection, r.Recovery)
					record(name+": bytes per lost member", r.DetectionBytes)
					record(name+": bytes per recovered member", r.RecoveryBytes)
				}
				if err != nil {
					t.Error(err)
				}
			})
		}
		sizes = append(sizes, float64(n))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		t.Logf("%d members took %v; %d MB of memory obtained from the system so far", n, time.Since(began).Round(10*time.Millisecond), m.Sys/1e6)
	}
	for _, name := range names {
		if len(values[name]) != len(sizes) || len(sizes) < 2 {
			t.Logf("%-44s %.4g", name, values[name])
			continue
		}
		f, err := NewFit(sizes, values[name])
		if err != nil {
			t.Logf("%-44s %.4g  %v", name, values[name], err)
			continue
		}
		v, multiple := f.Extrapolate(2400)
		t.Logf("%-44s %.4g  %s; at 2,400 members: %.4g, %.1f times the largest size", name, values[name], &f, v, multiple)
	}
}
