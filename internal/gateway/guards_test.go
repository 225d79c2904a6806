package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/internal/guard"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// What the module must never ask for, and what the reducer must never do, is counted by name at the place where it is
// carried out, and logged once with the request's id.
func TestGuardsCountWhatMustNotBe(t *testing.T) {
	engineID := func(b *bench) rules.EngineID { return b.g.order[0].id }
	open := func(b *bench, class string) { // one attempt is in flight
		b.client(1)
		b.step(DataReceived, 1, ask(class, idA))
		b.step(DialSucceeded, b.dials[0], "")
	}
	for name, c := range map[string]struct {
		do   func(b *bench)
		want guard.Invariant
	}{
		"an unsafe class sent again": {func(b *bench) {
			open(b, "load")
			b.g.act(rules.Send{ID: idA, Engine: engineID(b)})
			b.flush()
			b.step(DialSucceeded, b.dials[len(b.dials)-1], "")
		}, guard.RetryUnsafe},
		"two attempts in flight": {func(b *bench) {
			open(b, "point")
			b.g.act(rules.Send{ID: idA, Engine: engineID(b)})
			b.flush()
			b.step(DialSucceeded, b.dials[len(b.dials)-1], "")
		}, guard.SendParallel},
		"an engine that drains": {func(b *bench) {
			b.client(1)
			host := oneHost
			host.Draining = true
			b.step(DNSResponse, 0, string(standin.Answer(b.g.asked[0], listName, 2, []standin.Host{host})))
			b.pass(1100 * rules.Millisecond)
			b.step(ConnectionAccepted, 2, "")
			b.step(DataReceived, 2, string(login()))
			b.step(DataReceived, 2, ask("load", idB))
			b.g.act(rules.Send{ID: idB, Engine: engineID(b)})
			a := b.g.requests[idB].attempts[0]
			b.g.ask(a)
		}, guard.SendToDraining},
		"a zone that the class must not use": {func(b *bench) {
			b.client(1)
			b.g.cfg.Settings.Rules.Classes[1].AllowedZones = []int{0} // the engine is in the other one
			b.step(DataReceived, 1, ask("report", idA))
			b.g.act(rules.Send{ID: idA, Engine: engineID(b)})
			b.flush()
			b.step(DialSucceeded, b.dials[0], "")
		}, guard.SendMisplaced},
		"a client that has gone": {func(b *bench) {
			open(b, "point")
			r := b.g.requests[idA]
			a := r.attempts[0]
			b.step(ConnectionClosed, 1, "")
			b.g.ask(a)
		}, guard.SendAfterEnd},
		"a refusal of what may have run": {func(b *bench) {
			open(b, "load")
			b.g.refuse(b.g.requests[idA], 0, EndNoRoom)
		}, guard.RejectedMayHaveRun},
		"a second answer": {func(b *bench) {
			open(b, "point")
			r := b.g.requests[idA]
			b.g.fail(r, EndDeadline)
			b.g.guardAnswer(r, endedFailed)
		}, guard.AnswerTwice},
		"a connection closed without an answer": {func(b *bench) {
			open(b, "point")
			b.g.closeClient(b.g.clients[1], CloseIdle)
		}, guard.CloseUnanswered},
		"a connection closed under an attempt": {func(b *bench) {
			open(b, "point")
			b.g.closeLink(b.g.links[b.dials[0]], LinkIdle)
		}, guard.CloseInFlight},
		"an id that is open": {func(b *bench) {
			open(b, "point")
			b.g.guardStart(&request{id: idA, client: &client{}})
		}, guard.StartTwice},
	} {
		b := newBench(t)
		c.do(b)
		if b.g.broken[c.want] == 0 {
			t.Errorf("%s: %v is not counted; got %v", name, c.want, b.g.broken)
		}
	}
}

// One request is followed by its id through all that becomes of it, and each connection's end has a reason.
func TestTraceFollowsARequest(t *testing.T) {
	b := newBench(t)
	b.g.cfg.Trace = true
	var lines []string
	take := func() {
		for _, f := range b.g.effects {
			if f.Kind == Log && f.Level == Debug {
				lines = append(lines, fmt.Sprint(f.Text, f.Attrs))
			}
		}
		b.flush()
	}
	step := func(kind EventKind, conn ConnID, data string) {
		b.g.Step(b.now, Event{Kind: kind, Conn: conn, Data: []byte(data), AcceptedBytes: b.taken[conn]})
		take()
	}
	step(ConnectionAccepted, 1, "")
	step(DataReceived, 1, string(login()))
	step(DataReceived, 1, ask("point", idA))
	step(DialSucceeded, b.dials[0], "")
	b.now += 10 * rules.Millisecond
	step(DataReceived, b.dials[0], idA+" overload - 0\r\n\r\n")
	b.now += 10 * rules.Millisecond
	step(ConnectionClosed, 1, "")
	step(ConnectionClosed, b.dials[0], "")
	for _, want := range []string{"request: begins[{request " + idA, "request: queued[{request " + idA + "} {where module}",
		"attempt: begins[{request " + idA + "} {attempt 0} {engine s-00000001} {why first}", "attempt: sent[{request " + idA,
		"attempt: ended[{request " + idA + "} {attempt 0} {engine s-00000001} {verdict full} {sent true}", "request: ends[{request " + idA + "} {how left} {why client_left}",
		"client: closed[{session", "{why peer_closed}", "engine: connection closed[{connection", "{why engine_lost}"} {
		if !strings.Contains(strings.Join(lines, "\n"), want) {
			t.Errorf("no line has %q:\n%s", want, strings.Join(lines, "\n"))
		}
	}
}
