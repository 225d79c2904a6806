package simprotocol

import (
	"bytes"
	"strings"
	"testing"
)

const bootInfo = `{"classes":[{"aim":600000,"giveUp":3000000,"effect":"pure","group":"all","worth":1}],` +
	`"extra":{"classThreads":[1],"cpuOfKind":[8],"ramOfKindMb":[16384]},"siblings":1,"tick":5000,` +
	`"limits":{"cancel":true,"maxAttempts":3},"machineTypes":["m"],"rules":{"answerSlack":20000},"later":{"x":1}}`

const startEvents = `{"cmd":"Init","randomSeed":7,"bootInfo":` + bootInfo + `},` +
	`{"cmd":"Register","sheet":3,"lines":[{"engine":9,"health":"SERVING","scale":1}]},` +
	`{"cmd":"BackendsChanged","kind":"SAVED","sheet":3,"gen":1}`

func batchLine(ts string, events string) string {
	return `{"ts":` + ts + `,"managers":[{"who":3,"input":[` + events + `]}]}`
}

func TestBatch(t *testing.T) {
	accept := `{"cmd":"Accept","xid":"a","cls":0,"due":2000000,"estimate":12000,"bitmap":1,"unknown":{}}`
	h := NewHost()
	for _, step := range []struct{ name, in, want string }{
		{"empty batch", `{"ts":5,"managers":[]}`, `{"managers":[]}`},
		{"start", batchLine("10", startEvents), `{"managers":[]}`},
		{"request", batchLine("20", accept), `{"cmd":"Dispatch","xid":"a","engine":9}`},
		{"outcome", batchLine("30", `{"cmd":"Resolved","xid":"a","leg":0,"engine":9,"verdict":"S","lag":10,"doneFlag":true}`),
			`{"managers":[]}`},
		{"outcome of a closed request", batchLine("31", `{"cmd":"Resolved","xid":"a","engine":9,"verdict":"S","doneFlag":true}`),
			`{"managers":[]}`},
		{"an unknown request id is ignored", batchLine("40", `{"cmd":"Gone","xid":"nobody"}`), `{"managers":[]}`},
		{"an unknown timer", batchLine("50", `{"cmd":"Bell","handle":"old"}`), `{"managers":[]}`},
		{"stop and start in one batch", batchLine("60", `{"cmd":"Teardown"},`+startEvents+`,`+accept), `"Dispatch"`},
		{"a reused list number", batchLine("70", `{"cmd":"Register","sheet":3,"lines":[]},`+
			`{"cmd":"BackendsChanged","kind":"FULL","sheet":3,"gen":2}`), `{"managers":[]}`},
	} {
		reply, err := h.Batch([]byte(step.in))
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if !strings.Contains(string(reply), step.want) || !bytes.HasSuffix(reply, []byte("\n")) {
			t.Errorf("%s: got %s, want %s", step.name, reply, step.want)
		}
	}
}

func TestMalformed(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"no JSON", `{"ts":`, "malformed"},
		{"two values", `{"ts":1,"managers":[]} {}`, "malformed"},
		{"no timestamp", `{"managers":[]}`, "ts is missing"},
		{"no managers", `{"ts":1}`, "managers is missing"},
		{"decreasing timestamp", `{"ts":9,"managers":[]}`, "before"},
		{"no instance number", `{"ts":10,"managers":[{"input":[]}]}`, "who is missing"},
		{"unknown command", batchLine("10", `{"cmd":"Dance"}`), `unknown command "Dance"`},
		{"unknown instance", `{"ts":10,"managers":[{"who":4,"input":[{"cmd":"Bell"}]}]}`, "no such instance"},
		{"class out of range", batchLine("10", `{"cmd":"Accept","xid":"a","cls":1,"due":5}`), "cls 1"},
		{"class of a wrong type", batchLine("10", `{"cmd":"Accept","xid":"a","cls":"x","due":5}`), "malformed"},
		{"tenant out of range", batchLine("10", `{"cmd":"Accept","xid":"a","owner":1,"due":5}`), "owner 1"},
		{"no request id", batchLine("10", `{"cmd":"Accept","due":5}`), "xid is missing"},
		{"no deadline", batchLine("10", `{"cmd":"Accept","xid":"a"}`), "due is missing"},
		{"unknown verdict", batchLine("10", `{"cmd":"Resolved","xid":"a","engine":9,"verdict":"Q"}`), `verdict "Q"`},
		{"engine out of range", batchLine("10", `{"cmd":"Resolved","xid":"a","engine":4294967296,"verdict":"S"}`), "out of range"},
		{"list number out of range", batchLine("10", `{"cmd":"Register","sheet":16,"lines":[]}`), "sheet 16"},
		{"list never registered", batchLine("10", `{"cmd":"BackendsChanged","kind":"FULL","sheet":5}`), "never registered"},
		{"unknown kind of list", batchLine("10", `{"cmd":"BackendsChanged","kind":"SOME","sheet":3}`), `kind "SOME"`},
		{"unknown health", batchLine("10", `{"cmd":"Register","sheet":1,"lines":[{"engine":1,"health":"ILL"}]}`), `health "ILL"`},
		{"bad seed", batchLine("10", `{"cmd":"Init","randomSeed":1.5,"bootInfo":`+bootInfo+`}`), "randomSeed"},
		{"no settings", batchLine("10", `{"cmd":"Init","randomSeed":1}`), "settings"},
		{"unknown effect", batchLine("10", `{"cmd":"Init","randomSeed":1,"bootInfo":{"classes":[{"effect":"odd"}]}}`), `"odd"`},
		{"content is not base64", batchLine("10", `{"cmd":"FromPeer","srcPeer":1,"content":"*"}`), "content"},
		{"progress of an unknown sort", batchLine("10", `{"cmd":"Heartbeat","xid":"a","sort":4}`), "sort 4"},
	} {
		h := NewHost()
		if _, err := h.Batch([]byte(batchLine("10", startEvents))); err != nil {
			t.Fatal(err)
		}
		if _, err := h.Batch([]byte(c.in)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one with %q", c.name, err, c.want)
		}
	}
}

func TestServe(t *testing.T) {
	var out bytes.Buffer
	in := `{"ts":5,"managers":[]}` + "\n" + `{"ts":6,"managers":[]}`
	if err := NewHost().Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if want := "{\"managers\":[]}\n{\"managers\":[]}\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
	if err := NewHost().Serve(strings.NewReader("\n"), &out); err == nil {
		t.Error("an empty line was accepted")
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(batchLine("10", startEvents), batchLine("20", `{"cmd":"Accept","xid":"a","cls":0,"due":2000000}`))
	f.Add(batchLine("10", `{"cmd":"Teardown"}`), `{"ts":5,"managers":[{"who":1,"input":[{"cmd":"Bell","handle":"sweep"}]}]}`)
	f.Fuzz(func(t *testing.T, first, second string) {
		h := NewHost()
		for _, in := range []string{batchLine("1", startEvents), first, second} {
			reply, err := h.Batch([]byte(in))
			if err != nil {
				return
			}
			if !bytes.HasPrefix(reply, []byte(`{"managers":[`)) || !bytes.HasSuffix(reply, []byte("]}\n")) {
				t.Fatalf("bad reply %q to %q", reply, in)
			}
		}
	})
}

// A panic in the decision module is answered with a single crash report, and the process continues.
func TestPanicIsReported(t *testing.T) {
	h := NewHost()
	if _, err := h.Batch([]byte(batchLine("10", startEvents))); err != nil {
		t.Fatal(err)
	}
	h.instances[3].module = nil
	for _, want := range []string{`"cmd":"Crash","msg":"`, `{"managers":[]}`} {
		reply, err := h.Batch([]byte(batchLine("20", `{"cmd":"Bell","handle":"sweep"}`)))
		if err != nil || !strings.Contains(string(reply), want) {
			t.Errorf("got %s, %v, want %s", reply, err, want)
		}
	}
}
