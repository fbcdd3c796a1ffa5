package supervisor

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestProcessEndedForAllSequences tries all sequences of up to seven process ends: crashes, requested restarts and crashes after a long
// run, on trial or not. The pause must not shrink during consecutive crashes or exceed its limit, a version on trial must be rolled back
// at TrialCrashes, and the supervisor must give up at exactly GiveUp crashes.
func TestProcessEndedForAllSequences(t *testing.T) {
	rules := Rules{MinPause: time.Second, MaxPause: 3 * time.Second, StableAfter: time.Minute, TrialCrashes: 2, GiveUp: 4}
	type end struct {
		ran      time.Duration
		exitCode int
		onTrial  bool
	}
	ends := []end{{time.Second, 1, false}, {time.Second, -1, true}, {2 * time.Minute, 1, false}, {time.Second, ExitRestart, false}}
	walked := 0
	var walk func(decider Decider, crashes int, lastPause time.Duration, depth int)
	walk = func(decider Decider, crashes int, lastPause time.Duration, depth int) {
		for _, e := range ends {
			decider, crashes, lastPause := decider, crashes, lastPause
			action := decider.ProcessEnded(e.ran, e.exitCode, false, e.onTrial)
			walked++
			if e.exitCode == ExitRestart {
				if action != (Action{}) {
					t.Fatalf("ProcessEnded for a requested restart: got %+v, want %+v", action, Action{})
				}
				crashes, lastPause = 0, 0
			} else {
				if e.ran >= rules.StableAfter {
					crashes, lastPause = 0, 0
				}
				crashes++
				rollback := e.onTrial && crashes >= rules.TrialCrashes
				if action.Rollback != rollback || action.GiveUp != (!rollback && crashes >= rules.GiveUp) || action.Reason == "" || !action.GiveUp && !rollback && (action.Pause < lastPause || action.Pause < rules.MinPause) || action.Pause > rules.MaxPause {
					t.Fatalf("ProcessEnded after %d consecutive crashes, on trial %v, last pause %v: got %+v, want rollback %v", crashes, e.onTrial, lastPause, action, rollback)
				}
				if lastPause = action.Pause; rollback {
					crashes, lastPause = 0, 0
				}
				if action.GiveUp {
					continue
				}
			}
			if depth > 1 {
				walk(decider, crashes, lastPause, depth-1)
			}
		}
	}
	walk(Decider{Rules: rules}, 0, 0, 7)
	if walked < 10_000 {
		t.Errorf("got %d calls of ProcessEnded, want at least 10000", walked)
	}
	decider := Decider{Rules: rules}
	if !decider.ProcessEnded(time.Second, 1, true, true).End || !decider.ProcessEnded(time.Second, 0, false, false).End {
		t.Error("ProcessEnded for a process that was stopped or exited with 0: got End false, want true")
	}
}

// TestFolderIsConsistentAfterInterruption makes random sequences of switches, confirmations and rollbacks, and interrupts switches between
// any two writes. The current version must exist, and the previous one must have run.
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
			current, _ := f.Current()
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if err := f.Switch(label); (err == nil) != (f.Check(label) == nil) {
					t.Fatalf("Switch(%q): got error %v, want an error exactly if Check returns one", label, err)
				}
			case 1: // a switch interrupted after 0 to 3 of its writes
				if f.Check(label) == nil && label != current {
					steps := []func() error{func() error { return f.remove(rejectedFile) }, func() error { return f.writeLink(previousLink, current) }, func() error { return f.writeFile(trialFile, label) }}
					for _, step := range steps[:rapid.IntRange(0, 3).Draw(t, "completed writes of the switch")] {
						if err := step(); err != nil {
							t.Fatal(err)
						}
					}
				}
			case 2:
				err := f.Rollback("it broke\n twice")
				if _, previousErr := f.Previous(); (err == nil) != (previousErr == nil) {
					t.Fatalf("Rollback: got error %v, but Previous returned %v", err, previousErr)
				}
				if rejected, reason := f.Rejected(); err == nil && (rejected != current || reason != "it broke twice" || f.OnTrial()) {
					t.Fatalf("after Rollback: got rejected version %q, reason %q, on trial %v, want %q, %q, false", rejected, reason, f.OnTrial(), current, "it broke twice")
				}
			case 3:
				if f.ConfirmTrial() != nil || f.OnTrial() {
					t.Fatal("ConfirmTrial failed or the version is still on trial")
				}
			case 4:
				if err := f.ClearRejected(); err != nil {
					t.Fatal(err)
				}
			}
			current, err := f.Current()
			if err != nil {
				t.Fatal(err)
			}
			ran[current] = true
			if previous, err := f.Previous(); err == nil && !ran[previous] {
				t.Fatalf("Previous: got %s, which never ran", previous)
			}
		}
	})
}

// folderWithVersions creates a folder with an empty executable for each label.
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
