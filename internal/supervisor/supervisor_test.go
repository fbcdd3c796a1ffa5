package supervisor

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All sequences of up to seven ends of a process: crashes, requested restarts, long runs, on trial or not. The pause neither shrinks
// during consecutive crashes nor exceeds its bound, a version on trial is rolled back at its last allowed crash, and the supervisor
// gives up at the stated number of crashes and not before.
func TestProcessEndedForAllSequences(t *testing.T) {
	rules := Rules{MinPause: time.Second, MaxPause: 3 * time.Second, StableAfter: time.Minute, TrialCrashes: 2, GiveUp: 4}
	type end struct {
		ran   time.Duration
		code  int
		trial bool
	}
	ends := []end{{time.Second, 1, false}, {time.Second, -1, true}, {2 * time.Minute, 1, false}, {time.Second, ExitRestart, false}}
	walked := 0
	var walk func(d Decider, crashes int, lastPause time.Duration, depth int)
	walk = func(d Decider, crashes int, lastPause time.Duration, depth int) {
		for _, e := range ends {
			d, crashes, lastPause := d, crashes, lastPause
			a := d.ProcessEnded(e.ran, e.code, false, e.trial)
			walked++
			if e.code == ExitRestart {
				if a != (Action{}) {
					t.Fatalf("requested restart: %+v", a)
				}
				crashes, lastPause = 0, 0
			} else {
				if e.ran >= rules.StableAfter {
					crashes, lastPause = 0, 0
				}
				crashes++
				rollback := e.trial && crashes >= rules.TrialCrashes
				if a.Rollback != rollback || a.GiveUp != (!rollback && crashes >= rules.GiveUp) || a.Reason == "" || !a.GiveUp && !rollback && (a.Pause < lastPause || a.Pause < rules.MinPause) || a.Pause > rules.MaxPause {
					t.Fatalf("%d crashes in a row, trial %v, waited %v: %+v", crashes, e.trial, lastPause, a)
				}
				if lastPause = a.Pause; rollback {
					crashes, lastPause = 0, 0
				}
				if a.GiveUp {
					continue
				}
			}
			if depth > 1 {
				walk(d, crashes, lastPause, depth-1)
			}
		}
	}
	walk(Decider{Rules: rules}, 0, 0, 7)
	if walked < 10_000 {
		t.Errorf("%d", walked)
	}
	d := Decider{Rules: rules}
	if !d.ProcessEnded(time.Second, 1, true, true).End || !d.ProcessEnded(time.Second, 0, false, false).End {
		t.Error("a process that was stopped is started again")
	}
}

// After any sequence of switches, confirmations and rollbacks, with the process ending between any two writes, current names a version
// that exists, and previous one that ran.
func TestFolderIsConsistentAfterInterruption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "robindrum-folder-")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		labels := []string{"a", "b", "c"}
		f := folderWithVersions(t, dir, labels)
		if err := f.writeLink(currentLink, "a"); err != nil {
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
					steps := []func() error{func() error { return f.remove(rejectedFile) }, func() error { return f.writeLink(previousLink, now) }, func() error { return f.writeFile(trialFile, label) }}
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

// folderWithVersions makes a folder with a program for each label.
func folderWithVersions(t *rapid.T, dir string, labels []string) Folder {
	t.Helper()
	f := Folder{Path: dir}
	if err := os.Mkdir(filepath.Join(dir, versionsDir), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, label := range labels {
		if err := os.WriteFile(f.Program(label), nil, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return f
}
