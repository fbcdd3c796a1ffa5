package supervisor

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Every row of up to seven ends of a process: crashes, asks to be started again, long runs, on trial or not. The pause never shrinks
// within a row nor passes its bound, a version on trial is replaced by its last crash in a row and no later, and it gives up at the
// stated number and never before.
func TestEveryRowOfEnds(t *testing.T) {
	rules := Rules{MinPause: time.Second, MaxPause: 3 * time.Second, StableAfter: time.Minute, TrialCrashes: 2, GiveUp: 4}
	type end struct {
		ran   time.Duration
		code  int
		trial bool
	}
	ends := []end{{time.Second, 1, false}, {time.Second, -1, true}, {2 * time.Minute, 1, false}, {time.Second, ExitRestart, false}}
	walked := 0
	var walk func(d Decider, row int, last time.Duration, depth int)
	walk = func(d Decider, row int, last time.Duration, depth int) {
		for _, e := range ends {
			d, row, last := d, row, last
			a := d.ProcessEnded(e.ran, e.code, false, e.trial)
			walked++
			if e.code == ExitRestart {
				if a != (Action{}) {
					t.Fatalf("asked to start again: %+v", a)
				}
				row, last = 0, 0
			} else {
				if e.ran >= rules.StableAfter {
					row, last = 0, 0
				}
				row++
				back := e.trial && row >= rules.TrialCrashes
				if a.Rollback != back || a.GiveUp != (!back && row >= rules.GiveUp) || a.Reason == "" || !a.GiveUp && !back && (a.Pause < last || a.Pause < rules.MinPause) || a.Pause > rules.MaxPause {
					t.Fatalf("%d crashes in a row, trial %v, waited %v: %+v", row, e.trial, last, a)
				}
				if last = a.Pause; back {
					row, last = 0, 0
				}
				if a.GiveUp {
					continue
				}
			}
			if depth > 1 {
				walk(d, row, last, depth-1)
			}
		}
	}
	walk(Decider{Rules: rules}, 0, 0, 7)
	if walked < 10_000 {
		t.Errorf("%d", walked)
	}
	d := Decider{Rules: rules}
	if !d.ProcessEnded(time.Second, 1, true, true).End || !d.ProcessEnded(time.Second, 0, false, false).End {
		t.Error("what was told to end is started again")
	}
}

// Whatever is switched, proved, given up and forgiven, with an end of the process between any two writes: current names a version that
// is here, and the way back leads to one that ran.
func TestFolderIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "robindrum-folder-")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		f := Folder{dir}
		if err := os.Mkdir(filepath.Join(dir, versions), 0o700); err != nil {
			t.Fatal(err)
		}
		labels := []string{"a", "b", "c"}
		for _, l := range labels {
			if err := os.WriteFile(f.Program(l), nil, 0o700); err != nil {
				t.Fatal(err)
			}
		}
		if err := f.link(current, "a"); err != nil {
			t.Fatal(err)
		}
		ran := map[string]bool{"a": true}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			label := rapid.SampledFrom(append(labels, "none", "../a", "")).Draw(t, "label")
			now, _ := f.Current()
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if err := f.Switch(label); (err == nil) != (f.Check(label) == nil) {
					t.Fatalf("switch to %q: %v", label, err)
				}
			case 1: // ended in the middle of a switch
				if f.Check(label) == nil && label != now {
					steps := []func() error{func() error { return f.remove(refused) }, func() error { return f.link(previous, now) }, func() error { return f.write(trial, label) }}
					for _, s := range steps[:rapid.IntRange(0, 3).Draw(t, "of the switch")] {
						if err := s(); err != nil {
							t.Fatal(err)
						}
					}
				}
			case 2:
				err := f.Rollback("it broke\n twice")
				if _, none := f.Previous(); (err == nil) != (none == nil) {
					t.Fatalf("back: %v, previous: %v", err, none)
				}
				if given, why := f.Rejected(); err == nil && (given != now || why != "it broke twice" || f.OnTrial()) {
					t.Fatalf("%s was given up, the folder says %q: %q, on trial %v", now, given, why, f.OnTrial())
				}
			case 3:
				if f.ConfirmTrial() != nil || f.OnTrial() {
					t.Fatal("still on trial")
				}
			case 4:
				if err := f.ClearRejected(); err != nil {
					t.Fatal(err)
				}
			}
			now, err := f.Current()
			if err != nil {
				t.Fatal(err)
			}
			ran[now] = true
			if p, err := f.Previous(); err == nil && !ran[p] {
				t.Fatalf("the way back leads to %s, which never ran", p)
			}
		}
	})
}
