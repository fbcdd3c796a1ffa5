package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"arrowhitch/internal/fakes"
	"arrowhitch/internal/quorum"
	"arrowhitch/internal/release"
)

// script writes a program that changes a gateway's file and goes on as another one, under the same process number.
func script(t testing.TB, dir, name, program, change string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	text := "#!/bin/sh\nfor last; do :; done\nsed '" + change + "' \"$last\" > \"$last." + name + ".yaml\"\nexec " + program + " serve --with-parent -c \"$last." + name + ".yaml\"\n"
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// Releases of versions of the program over five supervised gateways under load: a good one reaches all with at most one out at a time
// and no request lost, its leader killed on the way; one that crashes, one that cannot reach the quorum and one that fails a class all
// go back at their canary, each found out in another place; one that nobody has is refused.
func TestReleaseOfAProgram(t *testing.T) {
	fakes.Leaks(t)
	bin, dir := binary(t), t.TempDir()
	crash := filepath.Join(dir, "crash")
	if err := os.WriteFile(crash, []byte("#!/bin/sh\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	s, err := NewSite(t.Context(), SiteOptions{Binary: bin, Dir: dir, Gateways: 5, Lease: testLease, Budgets: "[{name: g, most: 1}]", Version: "v1",
		Versions: map[string]string{"v1": bin, "v2": bin, "crash": crash, "mute": script(t, dir, "mute", bin, "s/name: rig$/name: other/"),
			"fails": script(t, dir, "fails", bin, "s/^routes:.*/routes: [{match: {prefix: \\/}, clusters: [{name: c, weight: 9}, {name: none, weight: 1}]}]/; s/^clusters:.*/clusters: [{name: none, endpoints: []}]/")}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load := s.Load(50)
	defer load.Stop()
	defer func() {
		if t.Failed() {
			for _, n := range s.Nodes {
				st, err := n.Status()
				t.Logf("%s: ready %v, drained %q, %v", n.Name, st.Ready, st.Drained, err)
				t.Log(strings.Join(n.Process().Last(), "\n"))
				for _, c := range st.Clusters {
					t.Logf("  %s: %+v %+v", c.Name, c.Endpoints, c.Requests)
				}
			}
		}
	}()
	var v DrainVerdict
	watch := s.watch(&v, 1)
	state := func() (l quorum.Releases) {
		for _, n := range s.Nodes {
			if n.Up() && n.get("/fleet/releases", &l) == nil && l.Fresh {
				return l
			}
		}
		return l
	}
	comes(t, "the gateways to be known", func() bool { return len(state().Gateways) == 5 })
	runAs := func(version string) (n int) {
		for _, g := range state().Gateways {
			if g.Here && g.Program == version {
				n++
			}
		}
		return n
	}
	play := func(id, to string, during func(l *quorum.Releases)) (r release.Release) {
		t.Helper()
		p := &release.Plan{ID: id, To: to, Program: true, Soak: 500 * time.Millisecond, Back: true, Grace: 2 * time.Second, Notice: 300 * time.Millisecond,
			Gate: release.Gate{Requests: 20, Slower: 20, Tail: 20, Memory: 10}}
		comes(t, id+" to be taken", func() bool { return s.Nodes[1].Release(quorum.Command{Op: quorum.ReleaseBegin, Plan: p}) == nil })
		last := ""
		err := Await(t.Context(), id+" to end", back/2, func() bool {
			l := state()
			if during != nil {
				during(&l)
			}
			if l.Current != nil && l.Current.String() != last {
				last = l.Current.String()
				t.Log(last)
			}
			for _, x := range l.Ended {
				if x.ID == id {
					r = x
				}
			}
			return r.ID == id
		})
		if err != nil {
			var o quorum.Orders
			_ = s.Nodes[1].get("/fleet/orders", &o)
			l := state()
			text, _ := json.Marshal(l)
			t.Fatalf("%v\n%v\n%+v\n%s", err, last, o, text)
		}
		t.Log(&r)
		return r
	}
	var killed *Node
	if r := play("good", "v2", func(l *quorum.Releases) {
		if killed == nil && l.Current != nil && l.Current.Wave == 1 {
			if killed = s.Leader(); killed != nil {
				killed.Kill()
				if err := killed.Start(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}); r.State != release.Done {
		// A leader that is of the wave was started anew: that may be the version's doing, and goes back.
		if !strings.Contains(r.Why, "started anew") && !strings.Contains(r.Why, "no answer") {
			t.Fatal(&r)
		}
		if r = play("good again", "v2", nil); r.State != release.Done {
			t.Fatal(&r)
		}
	}
	comes(t, "all to run as v2", func() bool { return runAs("v2") == 5 })
	if n := load.Failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed for a good one", n, load.Asked.Load())
	}
	for _, x := range []struct{ to, why string }{{"none", "is not here"}, {"crash", "given up here: it ended with 3"}, {"mute", "nobody is heard of"}, {"fails", "failed or were refused"}} {
		failed := load.Failed.Load()
		r := play("to "+x.to, x.to, nil)
		if r.State != release.Gone || r.Wave != 0 || !strings.Contains(r.Why, x.why) {
			t.Errorf("%v, want why: %s", &r, x.why)
		}
		comes(t, "all to run as v2 again", func() bool { return runAs("v2") == 5 })
		if n := load.Failed.Load() - failed; n > 0 && x.to != "fails" {
			t.Errorf("%s: %d requests failed", x.to, n)
		}
	}
	watch()
	if v.Over > 0 || v.Most == 0 {
		t.Errorf("%s", &v)
	}
	t.Log(fmt.Sprint(&v))
}
