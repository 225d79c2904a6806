package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/site"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// fair sets a door, and limits that a flood reaches.
func fair(t testing.TB, text string, conns, asks int) func(*config.Config) {
	s, err := site.Parse([]byte(text), "site.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return func(c *config.Config) {
		c.Site = s
		c.Limits.Clients, c.Limits.Requests, c.Limits.ClientShare = conns, asks, conns
	}
}

const fairText = `fair {
  any_tenant = true
  network "flood" {
    addresses = ["10.0.0.1"]
    weight = %d
  }
  network "offices" {
    addresses = ["10.0.1.0/24"]
    together = true
  }
}`

// The seven rules hold with the door on and a flood at it, under failures, with reloads that change the
// weights and networks while requests are held, up to the end by SIGTERM.
func TestRulesAtTheDoor(t *testing.T) {
	for _, rough := range []float64{0, 0.4, 1} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("rough %v seed %d", rough, seed), func(t *testing.T) {
				w := newWorldWith(t, seed, rough, fair(t, fmt.Sprintf(fairText, 1), 70, 60))
				w.from = func() netip.Addr {
					switch n := w.rng.IntN(10); {
					case n < 6:
						return netip.MustParseAddr("10.0.0.1")
					case n < 8:
						return netip.AddrFrom4([4]byte{10, 0, 1, byte(n)})
					}
					return netip.AddrFrom4([4]byte{10, 0, 2, byte(w.rng.IntN(200))})
				}
				n := 1
				w.retune = func(c *config.Config) {
					n++
					c.Site = mustSite(t, strings.Replace(fmt.Sprintf(fairText, n), "10.0.1.0/24", fmt.Sprintf("10.0.%d.0/24", 1+n%2), 1))
				}
				for at := rules.Time(0); at < 6*rules.Second; at += 3 * rules.Millisecond { // three times the load
					w.after(at, w.request)
				}
				w.play(6 * rules.Second)
				for _, b := range w.broken[:min(len(w.broken), 5)] {
					t.Error(b)
				}
				if w.served < 100 || w.refused < 20 {
					t.Errorf("only %d served and %d refused: the test has lost its subject", w.served, w.refused)
				}
				s := w.g.gate.door.Stats()
				if s.Waited < 20 {
					t.Errorf("only %d waited at the door: the test has lost its subject", s.Waited)
				}
				if s.Held != 0 || len(w.g.gate.asks.free) != len(w.g.gate.asks.all)-len(w.g.requests) {
					t.Errorf("left at the door: %+v, %d slots of %d free, %d requests", s, len(w.g.gate.asks.free), len(w.g.gate.asks.all), len(w.g.requests))
				}
			})
		}
	}
}

func mustSite(t testing.TB, text string) *site.Site {
	s, err := site.Parse([]byte(text), "site.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// fairBench is a bench with the door on, whose engine answers nothing by itself.
func fairBench(t *testing.T, text string, conns, asks int) *bench {
	b := &bench{t: t, now: 1_700_000_000 * rules.Second, sent: map[ConnID][]byte{}, shut: map[ConnID]bool{}, taken: map[ConnID]int64{}}
	cfg := worldConfig(t, []standin.Host{oneHost})
	fair(t, text, conns, asks)(&cfg)
	b.g = New(cfg, b.now)
	b.flush()
	return b
}

func (b *bench) clientFrom(id ConnID, from string) {
	b.g.Step(b.now, Event{Kind: ConnectionAccepted, Conn: id, From: netip.MustParseAddr(from)})
	b.flush()
	if !b.shut[id] {
		b.step(DataReceived, id, string(login()))
	}
}

func askAs(class, id, more string) string {
	return string(query(fmt.Sprintf("/* kind=%s,req=%s,timeout=700%s */ SELECT 1 FROM sales_1.x", class, id, more)))
}

// What is held at the door has one final answer each: by KILL none, by leaving none, by SIGTERM and by
// its deadline a refusal ahead of it.
func TestHeldAtTheDoorEndsOnce(t *testing.T) {
	b := fairBench(t, "fair {\n ahead = 1\n}", 60, 60)
	for i := range ConnID(50) {
		b.clientFrom(1+i, "10.0.0.1")
		b.after(1 + i)
		b.step(DataReceived, 1+i, askAs("point", fmt.Sprintf("%016x", i+1), ""))
	}
	held := b.g.gate.door.Stats().Held
	if held < 10 {
		t.Fatalf("only %d are held", held)
	}
	victim := b.g.clients[50]
	if victim.request == nil || victim.request.passed {
		t.Fatal("the last one is not held")
	}
	b.clientFrom(51, "10.0.0.2")
	b.step(DataReceived, 51, string(query(fmt.Sprintf("KILL QUERY %d", victim.session))))
	if victim.request != nil || b.after(50) != "" || b.g.gate.door.Stats().Held != held-1 {
		t.Error("a killed query is still held, or was answered")
	}
	b.step(ConnectionClosed, 49, "")
	if b.g.gate.door.Stats().Held != held-2 {
		t.Error("the query of a client that left is still held")
	}
	b.pass(690 * rules.Millisecond)
	answers := 0
	for i := range ConnID(48) {
		out := b.after(1 + i)
		if n := strings.Count(out, "\xff"); n > 1 {
			t.Errorf("client %d has %d errors: %q", 1+i, n, out)
		} else if n == 1 {
			answers++
		}
	}
	if answers < 40 || b.g.gate.door.Stats().Held != 0 {
		t.Errorf("%d of 48 are answered, %d are held", answers, b.g.gate.door.Stats().Held)
	}
	b.step(ShutdownRequested, 0, "")
	b.pass(4 * rules.Second)
	if !b.exit {
		t.Error("not ended")
	}
}

// A refusal names the time of return where the site allows it, and none where it does not.
func TestRefusalsAtTheDoorNameATime(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		b := &bench{t: t, now: 1_700_000_000 * rules.Second, sent: map[ConnID][]byte{}, shut: map[ConnID]bool{}, taken: map[ConnID]int64{}}
		cfg := worldConfig(t, []standin.Host{oneHost})
		fair(t, "fair {\n longest = \"400ms\"\n}", 60, 10)(&cfg)
		cfg.Settings.Rules.Limits.RetryAfter = allowed
		b.g = New(cfg, b.now)
		b.flush()
		refused := 0
		for i := range ConnID(40) {
			b.clientFrom(1+i, "10.0.0.1")
			b.after(1 + i)
			b.step(DataReceived, 1+i, askAs("point", fmt.Sprintf("%016x", i+1), ""))
		}
		for i := range ConnID(40) {
			if out := b.after(1 + i); strings.Contains(out, "refused") {
				refused++
				if strings.Contains(out, "holdoff=") != allowed {
					t.Errorf("allowed %v: %q", allowed, out)
				}
			}
		}
		if refused < 20 {
			t.Errorf("only %d refused", refused)
		}
	}
}

// A tenant that nobody declared is an error to its client unless the operator lets any be told; a name
// of any length and of any bytes is then no more than a name.
func TestTenantsAtTheDoor(t *testing.T) {
	long := strings.Repeat("x", 50<<10)
	for _, c := range []struct {
		text, tenant string
		ok           bool
	}{
		{"fair {\n}", "unknown", false},
		{"fair {\n tenant \"known\" {\n }\n}", "known", true},
		{"fair {\n any_tenant = true\n}", "unknown", true},
		{"fair {\n any_tenant = true\n}", "\xff\xfe\x01", true},
		{"fair {\n any_tenant = true\n}", long, true},
	} {
		b := fairBench(t, c.text, 20, 20)
		b.clientFrom(1, "10.0.0.1")
		b.after(1)
		b.step(DataReceived, 1, askAs("point", idA, ",owner="+c.tenant))
		if taken := b.g.requests[idA] != nil; taken != c.ok {
			t.Errorf("%s with tenant %.20q: taken %v", c.text, c.tenant, taken)
		}
		if b.g.gate.door.StateBytes() > b.g.gate.door.StateBound() {
			t.Error("over its bound")
		}
	}
}

// Hundreds of connections of one client do not shut others out, whether they ask or only log in.
func TestFloodOfConnectionsLeavesRoom(t *testing.T) {
	for _, asks := range []bool{false, true} {
		b := fairBench(t, "fair {\n}", 60, 60)
		b.clientFrom(1, "10.0.0.2")
		b.step(DataReceived, 1, string(query("SET x = 1")))
		for i := range ConnID(1000) {
			b.clientFrom(100+i, "10.0.0.1")
			if asks && !b.shut[100+i] {
				b.step(DataReceived, 100+i, askAs("point", fmt.Sprintf("%016x", i+1), ""))
			}
		}
		if b.shut[1] {
			t.Errorf("asks %v: a quiet client was closed", asks)
		}
		for i := range ConnID(10) {
			b.clientFrom(2+i, "10.0.0.2")
			b.after(2 + i)
			b.step(DataReceived, 2+i, string(query("SET x = 1")))
			if out := b.after(2 + i); b.shut[2+i] || strings.Contains(out, "\xff") {
				t.Errorf("asks %v: newcomer %d was turned away: %q", asks, i, out)
			}
		}
		if n := len(b.g.clients); n > 60 {
			t.Errorf("%d connections are open", n)
		}
	}
}
