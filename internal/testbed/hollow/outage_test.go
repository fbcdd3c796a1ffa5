package hollow

import (
	"testing"
	"time"

	"robindrum/internal/membership"
)

// Bounds of what a member sends for each lost and for each recovered member beyond its idle traffic, below twice the usual value.
const (
	maxDetectionBytes = 1800
	maxRecoveryBytes  = 2300
)

// TestOutages kills and restarts some members, and partitions two halves: all running members detect the outage and recover.
func TestOutages(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	simulate(t, func(t *testing.T, opt Options) {
		opt.Members = 20
		rows, err := MeasureOutages(t.Context(), opt, []Outage{{Name: "rack", Fraction: 0.1}, {Name: "regions", Fraction: 0.5, Partition: true}})
		if err != nil {
			t.Fatal(err)
		}
		for i, lost := range []int{2, 10} {
			r := rows[i]
			t.Logf("%+v", r)
			if r.Lost != lost || r.Detection.Unknown > 0 || r.DetectionBytes > maxDetectionBytes || r.RecoveryBytes > maxRecoveryBytes {
				t.Errorf("%+v: want %d lost, all known, %d and %d bytes for each at the most", r, lost, maxDetectionBytes, maxRecoveryBytes)
			}
		}
	})
}

// TestPartitionedFleetIsNotSettled checks that a partitioned fleet does not count as settled, nor a settled one as partitioned.
func TestPartitionedFleetIsNotSettled(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	simulate(t, func(t *testing.T, opt Options) {
		opt.Members = 5
		f, err := New(opt)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if err := f.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if s, err := f.Settle(t.Context(), 5*time.Minute, 0); err != nil || s.Unknown > 0 {
			t.Fatal(s, err)
		}
		alive := func(m membership.Member) bool { return m.State != membership.Dead }
		side := f.partition(2)
		if len(side) != 2 || side[f.members[0].Address] {
			t.Errorf("sides %v", side)
		}
		if n := f.CountUnknown(alive); n != 0 {
			t.Errorf("%d pairs lack each other before anybody can know of the parts", n)
		}
		wait := func(what string, pairs int) {
			if err := f.await(t.Context(), 5*time.Minute, func() bool { return f.CountUnknown(alive) == pairs }); err != nil {
				t.Errorf("%s: %v, %d pairs lack each other", what, err, f.CountUnknown(alive))
			}
		}
		wait("each of two sides takes the other for dead", 2*2*3)
		for _, m := range f.members {
			m.Node().SetPartition(nil)
		}
		wait("all know all again", 0)
	})
}
