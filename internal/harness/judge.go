package harness

import (
	"fmt"
	"math"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// This file judges a run by what clients and engines saw on the wire, and by what gateways counted themselves.

// Verdict is a kind of violation.
type Verdict int

// Kinds of violations.
const (
	Lost           Verdict = iota // a request that was read has no final answer, or a result that was kept is not there
	Duplicated                    // an engine was asked again for what may have run and must not run twice
	SentAfterGone                 // an engine was asked for a request whose client had gone
	PastDeadline                  // an engine was told to run for longer than its client waits
	DrainBroken                   // an engine was asked that its gateway knew to drain or to be gone
	FailbackBroken                // a cold engine was sent more than it bears by gateways that knew
	WrongAnswer                   // rows that no engine made for the request
	Crashed                       // a process ended by itself, or not when it was asked to, or not with 0
	NotReady                      // a process was not ready within 10 s
	OrderBroken                   // two requests of an ordered class with one key ran at once
	Misplaced                     // a request ran in a zone that its class must not use
	RationBroken                  // a gateway made more further attempts than its settings allow
	Guarded                       // an invariant that a gateway checks itself
	verdicts
)

var verdictNames = [...]string{"lost", "duplicated", "sent_after_gone", "past_deadline", "drain_broken", "failback_broken", "wrong_answer",
	"crashed", "not_ready_10s", "order_broken", "misplaced", "ration_broken", "guarded"}

func (v Verdict) String() string { return verdictNames[v] }

// judge counts a violation and keeps what is said of it.
func (b *Books) judge(v Verdict, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.judgeLocked(v, format, args...)
}

func (b *Books) judgeLocked(v Verdict, format string, args ...any) {
	b.Verdicts[v]++
	b.note1(v.String()+": "+format, args...)
}

// Violations is how many there were, of all kinds.
func (b *Books) Violations() (n int) {
	for _, k := range b.Verdicts {
		n += k
	}
	return n
}

const (
	goneSlack  = 100 * time.Millisecond // an attempt may begin so long after its client has gone
	ttlSlack   = 150 * time.Millisecond
	drainGrace = time.Second
	sockSlack  = 50 * time.Millisecond  // each limit is so much longer on sockets
	rigSlack   = 100 * time.Millisecond // what the rig's own goroutines and timers may add
	lateMost   = 500 * time.Millisecond // an answer so late earns nothing; later it is lost
)

// judgeAsk judges one request at an engine by when it came. The books are locked.
func (b *Books) judgeAsk(t *try, e *engine, now time.Time, ttl time.Duration) {
	way := b.rig.slowest(t.gateway.party, e.party) + b.rig.pauses.since(t.sentAt)
	if !t.goneAt.IsZero() {
		if late := now.Sub(t.goneAt); late > goneSlack+sockSlack+rigSlack+way+b.rig.slowest(party{"clients", "", "clients"}, t.gateway.party) {
			b.judgeLocked(SentAfterGone, "%s came to %s %v after its client had gone from %s", t.id, e.name, late.Round(time.Millisecond), t.gateway.name)
		}
	}
	if left := t.due.Sub(now); ttl > 0 && ttl > left+ttlSlack+sockSlack+rigSlack+way && !t.gateway.disturbedSince(t.sentAt) {
		b.judgeLocked(PastDeadline, "%s came to %s with %v to run, and its client waits for %v", t.id, e.name, ttl, left.Round(time.Millisecond))
	}
	if told := e.toldDrain(t.gateway.index); !told.IsZero() {
		b.SlowestDrain = max(b.SlowestDrain, now.Sub(told)-way)
	}
	if told := e.toldDrain(t.gateway.index); !told.IsZero() && now.Sub(told) > drainGrace+sockSlack+rigSlack+way {
		b.judgeLocked(DrainBroken, "%s came from %s to %s, which it knew to drain for %v", t.id, t.gateway.name, e.name, now.Sub(told).Round(time.Millisecond))
	}
}

// slowest is how much longer than usual a way between two parties may be now.
func (r *Rig) slowest(from, to party) time.Duration {
	sum := time.Duration(0)
	for _, w := range []*faultproxy.Way{r.way(from, to), r.way(to, from)} {
		c := w.Conditions()
		sum += c.Delay + c.Jitter
		if c.Loss > 0 {
			sum += 5 * lossPause
		}
		if c.Cut || w.ChangedWithin(cutMemory) {
			sum += cutMemory
		}
	}
	return sum
}

const (
	lossPause = 200 * time.Millisecond // a lost segment comes so much later
	cutMemory = 5 * time.Second        // what waited in a way that was cut may come as late as that
)

// bearable is how many requests of mean work a cold engine bears within the span, of n that the settings allow: chance
// gets some room.
func bearable(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// judgeCold judges what came to a cold engine. Its lock is held.
func (e *engine) judgeCold(now time.Time) (broken string) {
	warm := e.warmth(now)
	mean := e.rig.meanWork()
	n := e.rig.overload() * warm * float64(e.rig.Cores) * float64(tipAfter) / mean
	sum, informed := 0.0, 0.0
	for _, s := range e.sent {
		sum += float64(s.work) / mean
		if s.informed {
			informed += float64(s.work) / mean
		}
	}
	if sum <= bearable(n) {
		return ""
	}
	e.sent = nil
	if informed*3 >= sum*2 {
		return fmt.Sprintf("%s at %.2f of its speed got %.1f requests of mean work in %v, where %.1f are allowed", e.name, warm, sum, tipAfter, n)
	}
	return ""
}

// judgeGuards takes what a gateway has counted itself from its log.
func (b *Books) judgeGuards(g *gateway, log string) {
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, `"msg":"invariant broken"`) {
			b.judge(Guarded, "%s: %s", g.name, line)
		}
	}
}
