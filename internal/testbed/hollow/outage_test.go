package hollow

import (
	"testing"
	"time"

	"robindrum/internal/membership"
)

// Bounds of what a member sends for each lost and for each recovered member, beyond its idle traffic. Each is less than twice the usual
// value, so that a doubled cost fails the test.
const (
	maxDetectionBytes = 1800
	maxRecoveryBytes  = 2300
)

// TestOutages kills and restarts two of 20 members, and then partitions the members into halves. All running members must detect each
// outage and recover.
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
				t.Errorf("got %+v, want %d lost, all losses detected, and at most %d bytes per detection and %d per recovery", r, lost, maxDetectionBytes, maxRecoveryBytes)
			}
		}
	})
}

// TestPartitionedFleetIsNotSettled checks that CountUnknown counts all pairs across a partition once it is detected, and none before the
// detection and after the recovery.
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
			t.Errorf("partition(2) = %v, want two members without the first one", side)
		}
		if n := f.CountUnknown(alive); n != 0 {
			t.Errorf("CountUnknown() = %d before any member can detect the partition, want 0", n)
		}
		wait := func(awaited string, pairs int) {
			if err := f.await(t.Context(), 5*time.Minute, func() bool { return f.CountUnknown(alive) == pairs }); err != nil {
				t.Errorf("waiting for %s: %v; CountUnknown() = %d, want %d", awaited, err, f.CountUnknown(alive), pairs)
			}
		}
		wait("each side to record the other as dead", 2*2*3)
		for _, m := range f.members {
			m.Node().SetPartition(nil)
		}
		wait("all members to know each other again", 0)
	})
}
