package discovery

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"foxlane/internal/config"
	"foxlane/rules"
)

const poll = 100 * rules.Millisecond

// world is a list with the queries and the time around it.
type world struct {
	t     rapid.TB
	list  *List
	now   rules.Time
	query uint64
	view  map[string]string
}

func newWorld(t rapid.TB, serial uint32, engines ...config.Engine) *world {
	w := &world{t: t, list: New(serial, engines), now: rules.Second, view: map[string]string{}}
	w.look()
	return w
}

// look takes the list over where it has changed, as a gateway does.
func (w *world) look() {
	engines, ok := w.list.Changed()
	if !ok {
		return
	}
	clear(w.view)
	for _, e := range engines {
		w.view[e.ID] = e.State
	}
}

// hear has an answer come to a query that was sent just now.
func (w *world) hear(serial uint32, engines ...config.Engine) Verdict {
	w.query++
	return w.hearLate(w.query, serial, engines...)
}

func (w *world) hearLate(query uint64, serial uint32, engines ...config.Engine) Verdict {
	w.now += poll
	w.list.Tick(w.now)
	v := w.list.Hear(w.now, Answer{Query: query, Serial: serial, Engines: engines})
	w.look()
	return v
}

// expect fails the test if what the list says of an engine is something else: "active", "leaving" or "" for not listed.
func (w *world) expect(when, id string, want string) {
	w.t.Helper()
	if got := w.view[id]; got != want {
		w.t.Errorf("%s: %s is %q, not %q", when, id, got, want)
	}
}

func engine(id string, state string, started ...int64) config.Engine {
	e := config.Engine{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:7001"), State: state}
	for _, s := range started {
		e.Started = s
	}
	return e
}

const (
	on  = config.StateActive
	off = config.StateLeaving
)

func TestNewerListHoldsAtOnce(t *testing.T) {
	w := newWorld(t, 1, engine("a", on), engine("b", on))
	if v := w.hear(2, engine("a", off), engine("c", on)); v != Newer {
		t.Errorf("verdict %v", v)
	}
	w.expect("told to drain", "a", off)
	w.expect("not named", "b", "")
	w.expect("new", "c", on)
	if w.list.Serial() != 2 {
		t.Errorf("serial %d", w.list.Serial())
	}
}

// The incident: a list of an earlier count is taken for newer, and the present ones have lower numbers.
func TestDrainUnderALowerNumberIsBelieved(t *testing.T) {
	w := newWorld(t, 1, engine("a", on), engine("b", on))
	w.hear(5, engine("a", on), engine("b", on))
	w.hear(2, engine("a", off), engine("b", on))
	w.expect("at the first answer", "a", off)
	w.hear(2, engine("a", off), engine("b", on))
	if v := w.hear(2, engine("a", off), engine("b", on)); v != Recounted || w.list.Serial() != 2 {
		t.Errorf("the third answer: verdict %v, serial %d", v, w.list.Serial())
	}
	w.hear(3, engine("a", off), engine("b", off))
	w.expect("behind it", "b", off)
}

// A list of an earlier count names an engine as active that was told to drain since, and one that has gone.
func TestNewerNumberReleasesNothing(t *testing.T) {
	w := newWorld(t, 1, engine("a", on), engine("b", on), engine("c", on))
	w.hear(2, engine("a", off), engine("c", on))
	w.hear(9, engine("a", on), engine("b", on), engine("c", on))
	w.expect("drained", "a", off)
	w.expect("gone", "b", off)
	w.expect("untouched", "c", on)
}

// Where the count begins anew in the middle of a life, what it restricts holds at once, and the list behind a second.
func TestCountBeginsAnew(t *testing.T) {
	w := newWorld(t, 40, engine("a", on), engine("b", on), engine("c", on))
	present := []config.Engine{engine("a", off), engine("c", on), engine("d", on)}
	w.hear(1, present...)
	w.expect("at the first answer", "a", off)
	for range 4 {
		w.hear(1, present...)
	}
	w.expect("gone for 0.4 s", "b", off)
	w.expect("new, and not certain yet", "d", "")
	for range 5 {
		w.hear(1, present...)
	}
	if w.list.Serial() != 1 {
		t.Fatalf("serial %d behind ten answers", w.list.Serial())
	}
	w.expect("new", "d", on)
	w.expect("gone", "b", "")
}

// Single answers from before change nothing: no engine is released, none that came behind them is left out.
func TestStaleAnswersChangeNothing(t *testing.T) {
	w := newWorld(t, 1, engine("a", on), engine("b", on))
	now := []config.Engine{engine("a", off), engine("b", on), engine("c", on)}
	for range 20 {
		w.hear(2, now...)
		if v := w.hear(1, engine("a", on), engine("b", on)); v != Other {
			t.Fatalf("verdict %v", v)
		}
		w.expect("drained", "a", off)
		w.expect("untouched", "b", on)
		w.expect("new", "c", on)
	}
}

// An engine that drained and is active again is used once that was told several times; a later start of it counts at once.
func TestReturn(t *testing.T) {
	w := newWorld(t, 1, engine("a", on), engine("b", on))
	w.hear(2, engine("a", off), engine("b", off))
	for i := range confirmationsNeeded {
		w.expect(fmt.Sprint("behind ", i, " answers"), "a", off)
		w.hear(3, engine("a", on), engine("b", on, 5000))
		w.expect("started anew", "b", on)
	}
	w.expect("told often enough", "a", on)
	w.hear(4, engine("a", off), engine("b", on, 5000))
	w.expect("drains again", "a", off)
}

// Answers that come late or twice tell nothing, unless they hold a newer list.
func TestLateAnswers(t *testing.T) {
	w := newWorld(t, 1, engine("a", on))
	w.hear(3, engine("a", on), engine("b", on))
	w.query = 10
	w.hear(3, engine("a", on), engine("b", on))
	for range 20 {
		if v := w.hearLate(4, 2, engine("a", on)); v != Late {
			t.Fatalf("verdict %v", v)
		}
	}
	w.expect("not in late answers", "b", on)
	w.hearLate(5, 4, engine("a", off), engine("b", on))
	w.expect("newer, if late", "a", off)
}

// One number may stand for two lists, of two counts: what is told in the end holds.
func TestSameNumberOtherList(t *testing.T) {
	w := newWorld(t, 3, engine("a", on), engine("b", on))
	for range mostWeight {
		w.hear(3, engine("a", off), engine("c", on))
	}
	w.expect("drains", "a", off)
	w.expect("gone", "b", "")
	w.expect("new", "c", on)
}

// What was told for a second is not taken back by nine answers that say otherwise.
func TestOftenToldStands(t *testing.T) {
	w := newWorld(t, 1, engine("a", on), engine("b", on))
	for range mostWeight {
		w.hear(2, engine("a", off))
	}
	for range mostWeight - 1 {
		w.hear(1, engine("a", on), engine("b", on))
		w.expect("told for a second", "a", off)
	}
	if w.list.Serial() != 2 {
		t.Errorf("serial %d", w.list.Serial())
	}
}

// Numbers of lists go round.
func TestNumbersGoRound(t *testing.T) {
	for _, c := range []struct {
		held, told uint32
		newer      bool
	}{{5, 5, false}, {5, 6, true}, {5, 4, false}, {1<<32 - 1, 0, true}, {1<<32 - 2, 3, true}, {3, 1<<32 - 2, false}, {0, 1, true}, {1, 1<<31 + 5, false}} {
		if newer(c.told, c.held) != c.newer {
			t.Errorf("%d behind %d counts as newer: %v", c.told, c.held, !c.newer)
		}
	}
}

// What is remembered of engines that have gone stays bounded.
func TestMemoryOfTheGone(t *testing.T) {
	w := newWorld(t, 1)
	for i := range uint32(5000) {
		w.hear(2+i, engine(fmt.Sprint("e", i), on))
		if i%7 == 0 {
			w.hear(1, engine(fmt.Sprint("stale", i), off))
		}
	}
	if len(w.list.records) > maxTombstones+2 || len(w.list.tombstones) > maxTombstones {
		t.Errorf("%d records, %d tombstones", len(w.list.records), len(w.list.tombstones))
	}
}

// history is what a name service has: each version of the list, numbered in counts that begin anew.
type history struct {
	versions []version
	base     int // this less than a place is a version's number in the present count
}

type version struct {
	serial  uint32
	engines []config.Engine
}

// Through answers that are lost, late, doubled, stale or of an earlier count, and through counts that begin anew: an engine that
// a good answer has told to drain or to be gone is never active behind the grace, and in the end the list is the service's.
// Stale answers come two in a row at most, and at least as many good ones behind them.
func TestRandomNameService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		state := map[string]string{}
		var names []string
		for i := range 4 {
			names = append(names, fmt.Sprint("e", i))
			state[names[i]] = on
		}
		list := func() (out []config.Engine) {
			for _, id := range names {
				if state[id] != "" {
					out = append(out, engine(id, state[id]))
				}
			}
			return out
		}
		h := history{base: -1}
		publish := func() {
			h.versions = append(h.versions, version{uint32(len(h.versions) - h.base), list()})
		}
		publish()
		w := newWorld(rt, h.versions[0].serial, h.versions[0].engines...)
		told := map[string]rules.Time{}
		goodOwed, staleInRow := 0, 0
		for range 150 {
			switch rng.IntN(25) {
			case 0: // a change
				id := names[rng.IntN(len(names))]
				switch state[id] {
				case on:
					state[id] = off
				case off:
					state[id] = ""
					if rng.IntN(3) == 0 {
						state[id] = on
						delete(told, id)
					}
				default: // gone for good: another comes
					names = append(names, fmt.Sprint("e", len(names)))
					state[names[len(names)-1]] = on
				}
				publish()
			case 1:
				if rng.IntN(4) == 0 { // the count begins anew
					h.base = len(h.versions) - 2
					publish()
				}
			}
			present := h.versions[len(h.versions)-1]
			w.query++
			kind := rng.IntN(10)
			if kind == 0 { // lost
				w.now += poll
				w.list.Tick(w.now)
				w.look()
			} else if kind <= 2 && goodOwed == 0 && staleInRow < 2 {
				old := h.versions[rng.IntN(len(h.versions))]
				w.list.Tick(w.now + poll)
				w.now += poll
				w.list.Hear(w.now, Answer{Query: w.query, Serial: old.serial, Engines: old.engines})
				w.look()
				staleInRow++
			} else {
				if staleInRow > 0 {
					goodOwed, staleInRow = max(goodOwed, staleInRow+1), 0
				}
				goodOwed = max(0, goodOwed-1)
				w.hearLate(w.query, present.serial, present.engines...)
				for _, id := range names {
					if _, known := told[id]; !known && state[id] != on {
						told[id] = w.now
					}
				}
				if kind == 9 { // twice
					w.hearLate(w.query, present.serial, present.engines...)
				}
			}
			for id, at := range told {
				if w.view[id] == on && w.now-at > rules.Second {
					rt.Fatalf("%s is active %d ms behind its end was told", id, (w.now-at)/rules.Millisecond)
				}
			}
		}
		present := h.versions[len(h.versions)-1]
		for range 2 * mostWeight {
			w.hear(present.serial, present.engines...)
		}
		for _, id := range names {
			if w.view[id] != state[id] {
				rt.Fatalf("%s is %q, and %q in the list", id, w.view[id], state[id])
			}
		}
	})
}
