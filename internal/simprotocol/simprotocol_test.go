package simprotocol

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

const boot = `{"now":1,"nodes":[{"node-id":0,"happened":[` + bootEvent + `,{"Inventory":{"table":0,"members":[` +
	`{"backend":"b1","region-part":"z","flavor":"k","availability":"Running","share":1},` +
	`{"backend":"b2","region-part":"z","flavor":"k","availability":"Running","share":1}]}},` +
	`{"Fleet":{"how":"remembered","gen":1,"table":0}}]}]}` + "\n"

const bootEvent = `{"Boot":{"random-seed":5,"boot-info":{"az":"z","azs":["z"],"new-key":[1],"caps":{"attempts-cap":3},` +
	`"discovery":"pushed","profiles":[{"name":"get","deadline":1000000000,"slo":100000000,"effect":"free"}]}}}`

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestMalformedInput(t *testing.T) {
	cases := []struct{ name, in, want string }{
		{"not JSON", "{}}\n", "batch 1: invalid JSON"},
		{"not a batch", `{"hello":1}` + "\n", "batch 1: invalid batch"},
		{"unknown event", boot + `{"now":2,"nodes":[{"node-id":0,"happened":[{"Sneeze":{}}]}]}` + "\n", "batch 2: node 0, event 0: unknown event"},
		{"before Boot", `{"now":2,"nodes":[{"node-id":3,"happened":[{"Ring":{"handle":7}}]}]}` + "\n", "batch 1: node 3, event 0: event before Boot"},
		{"unknown ending", boot + `{"now":2,"nodes":[{"node-id":0,"happened":[{"Verdict":{"call":"r","ending":"odd"}}]}]}` + "\n", `unknown ending "odd"`},
		{"unknown effect", strings.Replace(boot, `"free"`, `"maybe"`, 1), `profiles["get"].effect: unknown value "maybe"`},
		{"no classes", strings.Replace(boot, `"profiles"`, `"profile"`, 1), "Classes: at least one class is required"},
		{"no deadline", strings.Replace(boot, `"deadline":1000000000`, `"deadline":-1`, 1), "Deadline"},
	}
	for _, c := range cases {
		out, err := serve(t, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: Serve returned error %v, want one that contains %q", c.name, err, c.want)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: the error message has more than one line", c.name)
		}
		for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
			if line != "" && !strings.HasPrefix(line, `{"nodes":[`) {
				t.Errorf("%s: Serve wrote %q, want only replies", c.name, line)
			}
		}
	}
}

func TestRequestLifecycle(t *testing.T) {
	out, err := serve(t, boot+
		`{"now":10,"nodes":[{"node-id":0,"happened":[{"Knock":{"call":"r\"1","tenant":0,"grade":"get","left":500000000}},{"Knock":{"call":"r2","grade":"odd","left":5}}]}]}`+"\n"+
		`{"now":20,"nodes":[{"node-id":0,"happened":[{"Verdict":{"call":"r\"1","shot":0,"ending":"served","lag":10,"finished":true,"metrics":[["q",2]]}},{"Hangup":{"call":"r\"1"}},{"Ring":{"handle":9223372036854775807}},{"Message":{"src":1,"data":"aGk="}},{"Sampled":{"ending":"served","backend":"b1"}}]}]}`+"\n"+
		`{"now":30,"nodes":[{"node-id":0,"happened":[{"Stop":{}},`+bootEvent+`,{"Fleet":{"how":"remembered","table":0}}]},{"node-id":1,"happened":[{"Stop":{}}]}]}`)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 4 {
		t.Fatalf("got %d replies to 4 batches, want 4:\n%s", len(lines), out)
	}
	if !strings.Contains(lines[1], `{"Assign":{"call":"r\"1","backend":"b`) || !strings.Contains(lines[1], `{"SayNo":{"call":"r2"}}`) {
		t.Errorf("got reply %s to the requests, want an Assign for r\"1 and a SayNo for r2", lines[1])
	}
	if lines[2] != `{"nodes":[]}` || lines[3] != `{"nodes":[]}` {
		t.Errorf("got replies %s and %s, want none with actions", lines[2], lines[3])
	}
}

// TestInventoryNumbersAreReused sends two server lists with the same table number in one batch. Each Fleet event must use the list
// that was sent last before it.
func TestInventoryNumbersAreReused(t *testing.T) {
	list := func(id string) string {
		return `{"Inventory":{"table":3,"members":[{"backend":"` + id + `","region-part":"z","availability":"Running","share":1}]}},` +
			`{"Fleet":{"how":"all","table":3}}`
	}
	request := `{"Knock":{"call":"r","grade":"get","left":500000000}}`
	out, err := serve(t, `{"now":1,"nodes":[{"node-id":0,"happened":[`+bootEvent+`,`+list("one")+`,`+request+`]},{"node-id":1,"happened":[`+bootEvent+`,`+list("two")+`,`+request+`]}]}`)
	if err != nil {
		t.Fatal(err)
	}
	one, two := strings.Index(out, `"backend":"one"`), strings.Index(out, `"backend":"two"`)
	if one < 0 || two < one {
		t.Errorf("the instances do not use the list sent last before their Fleet event: %s", out)
	}
}

func TestLongLine(t *testing.T) {
	pad := strings.Repeat(" ", 3<<20)
	if out, err := serve(t, `{"now":1,`+pad+`"nodes":[]}`); err != nil || out != "{\"nodes\":[]}\n" {
		t.Errorf("Serve of a line of 3 MiB: got %q, %v, want an empty reply", out, err)
	}
}

func TestActionEncoding(t *testing.T) {
	var o outbox
	o.Send("r", "b", 9)
	o.Reject("r", 5)
	o.Fail("r")
	o.Cancel("r", 2)
	o.HealthCheck("b")
	o.CloseIdle("b")
	o.SetTimer(7, 3)
	o.Watch(true)
	o.Fetch()
	o.Log("x\ny")
	o.fatal("p")
	want := `{"Assign":{"call":"r","backend":"b","expire-at":9}},{"SayNo":{"call":"r","come-back":5}},` +
		`{"FinishError":{"call":"r"}},{"StopAttempt":{"call":"r","shot":2}},{"Touch":{"backend":"b"}},` +
		`{"LetGo":{"backend":"b"}},{"Schedule":{"handle":7,"span":3}},{"Follow":{"enable":true}},{"Lookup":{}},` +
		`{"JournalLine":{"body-text":"x\ny"}},{"Fatal":{"body-text":"p"}}`
	if string(o.buf) != want {
		t.Errorf("actions: got\n%s, want\n%s", o.buf, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(boot))
	if b, err := os.ReadFile("testdata/life.jsonl"); err == nil {
		for _, recordedLine := range bytes.Split(b, []byte("\n")) {
			f.Add(recordedLine)
		}
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		b, err := Decode(line)
		if err != nil {
			return
		}
		if out, err := NewHub().Apply(b, nil); err == nil && !bytes.HasPrefix(out, []byte(`{"nodes":[`)) {
			t.Errorf("got reply %q, want one that begins with {\"nodes\":[", out)
		}
	})
}
