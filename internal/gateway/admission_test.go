package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/site"
	"foxlane/rules"
)

// withAdmission returns a change of the configuration that sets the site file to text, and limits low enough for a
// flood of requests to reach them.
func withAdmission(t testing.TB, text string, maxConns, maxRequests int) func(*config.Config) {
	s, err := site.Parse([]byte(text), "site.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return func(cfg *config.Config) {
		cfg.Site = s
		cfg.Limits.MaxClients, cfg.Limits.MaxRequests, cfg.Limits.ClientQuota = maxConns, maxRequests, maxConns
	}
}

const admissionSiteFormat = `fair {
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

// The seven rules hold with admission control and a flood of requests, under failures, while reloads change weights and
// networks with requests queued, and during the shutdown.
//
// At fault rate 1, rule 4 used to be broken in 11 of 31,000 seeds. An engine's process dies and another one starts cold
// at its address. The list reports this 67 to 401 ms later. Until then the gateway sent the new process 1.6 to 4.9 s of
// work without counting it against the slow-start budget, and after that as much work as if it had sent none. In seed
// 3916, the gateway had sent 4.7 s of work in 15 requests and counted none of it when the list arrived. It then sent
// 9.7 s in 17 more requests, while the engine's budget within one second is 12.3 s for all of them. One cause of the
// 9.7 s is that clients give no estimates here, and reports of 600 ms always counted as 500 ms.
// docs/incidents/slow-start-after-restart.md lists all seeds.
func TestRulesWithAdmissionControl(t *testing.T) {
	for _, faultRate := range []float64{0, 0.4, 1} {
		for seed := range seeds(6) {
			t.Run(fmt.Sprintf("fault rate %v seed %d", faultRate, seed), func(t *testing.T) { playWithAdmissionControl(t, seed, faultRate) })
		}
	}
}

// Seeds in which TestRulesWithAdmissionControl broke rule 4 before gateways counted the work sent to a new process
// ahead of the notification, and one in which it broke rule 1 (TestKillAtTheTimeOfAnAnswer).
func TestSeedsThatBrokeRules(t *testing.T) {
	for _, seed := range []uint64{3916, 10290, 13333, 16120, 16433, 17329, 24914, 26500, 31388, 33804, 37056, 35378} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playWithAdmissionControl(t, seed, 1) })
	}
}

// playWithAdmissionControl plays a seed with admission control and three times the usual load.
func playWithAdmissionControl(t *testing.T, seed uint64, faultRate float64) {
	t.Helper()
	sim := newSimulationWith(t, seed, faultRate, withAdmission(t, fmt.Sprintf(admissionSiteFormat, 1), 70, 60))
	sim.nextClientAddr = func() netip.Addr {
		switch n := sim.rng.IntN(10); {
		case n < 6:
			return netip.MustParseAddr("10.0.0.1")
		case n < 8:
			return netip.AddrFrom4([4]byte{10, 0, 1, byte(n)})
		}
		return netip.AddrFrom4([4]byte{10, 0, 2, byte(sim.rng.IntN(200))})
	}
	n := 1
	sim.reloadChange = func(cfg *config.Config) {
		n++
		cfg.Site = parseSite(t, strings.Replace(fmt.Sprintf(admissionSiteFormat, n), "10.0.1.0/24", fmt.Sprintf("10.0.%d.0/24", 1+n%2), 1))
	}
	// Together with the requests of play, this is three times the usual load.
	for at := rules.Time(0); at < 6*rules.Second; at += 3 * rules.Millisecond {
		sim.schedule(at, sim.sendRequest)
	}
	sim.play(6 * rules.Second)
	sim.reportViolations()
	if sim.served < 100 || sim.rejected < 20 {
		t.Errorf("only %d served and %d rejected: the test covers too little", sim.served, sim.rejected)
	}
	stats := sim.g.admission.controller.Stats()
	if stats.Delayed < 20 {
		t.Errorf("only %d delayed: the test covers too little", stats.Delayed)
	}
	if stats.Queued != 0 || len(sim.g.admission.requests.free) != len(sim.g.admission.requests.slots)-len(sim.g.requests) {
		t.Errorf("left in admission control: %+v, %d slots of %d free, %d requests", stats, len(sim.g.admission.requests.free), len(sim.g.admission.requests.slots), len(sim.g.requests))
	}
}

// parseSite parses the text of a site file.
func parseSite(t testing.TB, text string) *site.Config {
	s, err := site.Parse([]byte(text), "site.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newAdmissionGateway returns a testGateway with admission control and one engine, which answers nothing by itself.
func newAdmissionGateway(t *testing.T, text string, maxConns, maxRequests int) *testGateway {
	return newTestGatewayWith(t, withAdmission(t, text, maxConns, maxRequests), oneHost)
}

// loginClientFrom connects a client from the given address and logs it in, unless the gateway closes the connection.
func (gw *testGateway) loginClientFrom(id ConnID, from string) {
	gw.g.Step(gw.now, ConnectionAccepted{Conn: id, From: netip.MustParseAddr(from)})
	gw.flush()
	if !gw.closed[id] {
		gw.receive(id, string(loginPacket()))
	}
}

// requestPacketWith is like requestPacket with a timeout of 700 ms and further fields, each after a comma.
func requestPacketWith(class, id, extraFields string) string {
	return string(queryPacket(fmt.Sprintf("/* kind=%s,req=%s,timeout=700%s */ SELECT 1 FROM sales_1.x", class, id, extraFields)))
}

// A queued request gets at most one final answer: none after a KILL or if its client disconnects, a rejection before
// its deadline or after a shutdown request.
func TestQueuedRequestEndsOnce(t *testing.T) {
	gw := newAdmissionGateway(t, "fair {\n ahead = 1\n}", 60, 60)
	for i := range ConnID(50) {
		gw.loginClientFrom(1+i, "10.0.0.1")
		gw.takeOutput(1 + i)
		gw.receive(1+i, requestPacketWith("point", fmt.Sprintf("%016x", i+1), ""))
	}
	queued := gw.g.admission.controller.Stats().Queued
	if queued < 10 {
		t.Fatalf("only %d requests are queued", queued)
	}
	lastClient := gw.g.clients[50]
	if lastClient.request == nil || lastClient.request.submitted {
		t.Fatal("the last request is not queued")
	}
	gw.loginClientFrom(51, "10.0.0.2")
	gw.receive(51, string(queryPacket(fmt.Sprintf("KILL QUERY %d", lastClient.session))))
	if lastClient.request != nil || gw.takeOutput(50) != "" || gw.g.admission.controller.Stats().Queued != queued-1 {
		t.Error("a killed query is still queued, or was answered")
	}
	gw.closeConn(49)
	if gw.g.admission.controller.Stats().Queued != queued-2 {
		t.Error("the query of a client that left is still queued")
	}
	gw.advance(690 * rules.Millisecond)
	answers := 0
	for i := range ConnID(48) {
		out := gw.takeOutput(1 + i)
		if n := strings.Count(out, "\xff"); n > 1 {
			t.Errorf("client %d has %d errors: %q", 1+i, n, out)
		} else if n == 1 {
			answers++
		}
	}
	if answers < 40 || gw.g.admission.controller.Stats().Queued != 0 {
		t.Errorf("%d of 48 requests are answered, %d are queued", answers, gw.g.admission.controller.Stats().Queued)
	}
	gw.step(ShutdownRequested{})
	gw.advance(4 * rules.Second)
	if !gw.exited {
		t.Error("the gateway has not exited")
	}
}

// A rejection has a Retry-After if and only if the settings allow it.
func TestRejectionsNameARetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		gw := newTestGatewayWith(t, func(cfg *config.Config) {
			withAdmission(t, "fair {\n longest = \"400ms\"\n}", 60, 10)(cfg)
			cfg.Settings.Rules.Limits.RetryAfter = allowed
		}, oneHost)
		rejected := 0
		for i := range ConnID(40) {
			gw.loginClientFrom(1+i, "10.0.0.1")
			gw.takeOutput(1 + i)
			gw.receive(1+i, requestPacketWith("point", fmt.Sprintf("%016x", i+1), ""))
		}
		for i := range ConnID(40) {
			if out := gw.takeOutput(1 + i); strings.Contains(out, "refused") {
				rejected++
				if strings.Contains(out, "holdoff=") != allowed {
					t.Errorf("allowed %v: %q", allowed, out)
				}
			}
		}
		if rejected < 20 {
			t.Errorf("only %d rejected", rejected)
		}
	}
}

// A request of an undeclared tenant is an error unless the operator accepts any tenant. In that case names of any
// length and with any bytes are accepted, and the state of admission control stays within its bound.
func TestAdmissionByTenant(t *testing.T) {
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
		gw := newAdmissionGateway(t, c.text, 20, 20)
		gw.loginClientFrom(1, "10.0.0.1")
		gw.takeOutput(1)
		gw.receive(1, requestPacketWith("point", idA, ",owner="+c.tenant))
		if accepted := gw.g.requests[idA] != nil; accepted != c.ok {
			t.Errorf("%s with tenant %.20q: accepted %v", c.text, c.tenant, accepted)
		}
		if gw.g.admission.controller.StateBytes() > gw.g.admission.controller.StateBound() {
			t.Error("the state of admission control exceeds its bound")
		}
	}
}

// A thousand connections from one address do not shut out clients from another, whether they send requests or only log
// in.
func TestFloodOfConnectionsLeavesRoom(t *testing.T) {
	for _, sendsRequests := range []bool{false, true} {
		gw := newAdmissionGateway(t, "fair {\n}", 60, 60)
		gw.loginClientFrom(1, "10.0.0.2")
		gw.receive(1, string(queryPacket("SET x = 1")))
		for i := range ConnID(1000) {
			gw.loginClientFrom(100+i, "10.0.0.1")
			if sendsRequests && !gw.closed[100+i] {
				gw.receive(100+i, requestPacketWith("point", fmt.Sprintf("%016x", i+1), ""))
			}
		}
		if gw.closed[1] {
			t.Errorf("sends requests %v: a quiet client was closed", sendsRequests)
		}
		for i := range ConnID(10) {
			gw.loginClientFrom(2+i, "10.0.0.2")
			gw.takeOutput(2 + i)
			gw.receive(2+i, string(queryPacket("SET x = 1")))
			if out := gw.takeOutput(2 + i); gw.closed[2+i] || strings.Contains(out, "\xff") {
				t.Errorf("sends requests %v: new client %d was rejected: %q", sendsRequests, i, out)
			}
		}
		if n := len(gw.g.clients); n > 60 {
			t.Errorf("%d connections are open, limit 60", n)
		}
	}
}
