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
	sizesFlag   = flag.String("sizes", "4,5,6,7", "members of TestAtSizes, rising, with commas")
	outagesFlag = flag.Bool("outages", true, "have them lose a rack, a zone and each other in TestAtSizes")
	lookFlag    = flag.Duration("look", 0, "between two looks of TestAtSizes; 0: a twentieth of a probe's time")
)

// TestAtSizes takes the figures of membership at any size on a clock of its own: nothing is late because this machine is busy, and nobody is
// doubted for that. docs/CAPACITY.md has what it gives at large sizes, by
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
	put := func(name string, v float64) {
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
			t.Errorf("%d members: %v", n, err)
			break
		}
		began := time.Now()
		simulate(t, func(t *testing.T, opt Options) {
			opt.Members, opt.CheckInterval = n, *lookFlag
			r, err := MeasureMembers(t.Context(), MembersOptions{Options: opt, Restart: n >= 10})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d: join %v, news %v, one more %v, leave %v (%d take it for dead), death %v, told by each %v, a fifth restarted %v; suspected in windows before the last of %d and %d; lost packets %d",
				n, r.Join, r.StateChange, r.JoinOne, r.Leave, r.LeftAsDead, r.Death, r.Rollout, r.Restart, r.Windows, r.Rollouts, opt.Network.(*memnet.Net).Lost())
			t.Logf("%+v", r)
			put("packets", r.Packets)
			put("packet bytes", r.PacketBytes)
			put("exchange bytes", r.ExchangeBytes)
			put("CPU idle, ms", 1000*r.CPU.Seconds())
			put("heap MB", r.Heap/1e6)
			put("CPU of all joining, s", r.JoinCPU.Seconds())
			put("bytes of a member for each other's update", r.RolloutBytes)
			put("CPU of a member for a rollout, ms", 1000*r.RolloutCPU.Seconds()/float64(n))
			put("bytes of a member for each restarted one", r.RestartBytes)
		})
		if *outagesFlag {
			simulate(t, func(t *testing.T, opt Options) {
				opt.Members, opt.CheckInterval = n, *lookFlag
				rows, err := MeasureOutages(t.Context(), opt, Outages)
				for i, r := range rows {
					name := Outages[i].Name
					t.Logf("%d: %s, %d lost: known by all after %v, back with all after %v", n, name, r.Lost, r.Detection, r.Recovery)
					put(name+": bytes for each lost", r.DetectionBytes)
					put(name+": bytes for each back", r.RecoveryBytes)
				}
				if err != nil {
					t.Error(err)
				}
			})
		}
		sizes = append(sizes, float64(n))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		t.Logf("%d took %v, %d MB of the system at the most so far", n, time.Since(began).Round(10*time.Millisecond), m.Sys/1e6)
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
		v, far := f.Extrapolate(2400)
		t.Logf("%-44s %.4g  %s; at 2,400: %.4g, %.1f times beyond", name, values[name], &f, v, far)
	}
}
