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

// fixture is a list with the queries and the time around it.
type fixture struct {
	t     rapid.TB
	list  *List
	now   rules.Time
	query uint64
	view  map[string]string
}

func newFixture(t rapid.TB, serial uint32, engines ...config.Engine) *fixture {
	f := &fixture{t: t, list: New(serial, engines), now: rules.Second, view: map[string]string{}}
	f.look()
	return f
}

// look takes the list over where it has changed, as a gateway does.
func (f *fixture) look() {
	engines, ok := f.list.Changed()
	if !ok {
		return
	}
	clear(f.view)
	for _, entry := range engines {
		f.view[entry.ID] = entry.State
	}
}

// hear has an answer come to a query that was sent just now.
func (f *fixture) hear(serial uint32, engines ...config.Engine) Verdict {
	f.query++
	return f.hearLate(f.query, serial, engines...)
}

func (f *fixture) hearLate(query uint64, serial uint32, engines ...config.Engine) Verdict {
	f.now += poll
	f.list.Tick(f.now)
	verdict := f.list.Apply(f.now, Answer{QuerySeq: query, Serial: serial, Engines: engines})
	f.look()
	return verdict
}

// expect fails the test if what the list says of an engine is something else: "active", "leaving" or "" for not listed.
func (f *fixture) expect(when, id string, want string) {
	f.t.Helper()
	if got := f.view[id]; got != want {
		f.t.Errorf("%s: %s is %q, not %q", when, id, got, want)
	}
}

func newEngine(id string, state string, started ...int64) config.Engine {
	entry := config.Engine{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:7001"), State: state}
	for _, s := range started {
		entry.Started = s
	}
	return entry
}

const (
	on  = config.StateActive
	off = config.StateDraining
)

func TestNewerListHoldsAtOnce(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	if verdict := f.hear(2, newEngine("a", off), newEngine("c", on)); verdict != Newer {
		t.Errorf("verdict %v", verdict)
	}
	f.expect("told to drain", "a", off)
	f.expect("not named", "b", "")
	f.expect("new", "c", on)
	if f.list.Serial() != 2 {
		t.Errorf("serial %d", f.list.Serial())
	}
}

// The incident: a list of an earlier count is taken for newer, and the present ones have lower numbers.
func TestDrainUnderALowerNumberIsBelieved(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	f.hear(5, newEngine("a", on), newEngine("b", on))
	f.hear(2, newEngine("a", off), newEngine("b", on))
	f.expect("at the first answer", "a", off)
	f.hear(2, newEngine("a", off), newEngine("b", on))
	if verdict := f.hear(2, newEngine("a", off), newEngine("b", on)); verdict != Renumbered || f.list.Serial() != 2 {
		t.Errorf("the third answer: verdict %v, serial %d", verdict, f.list.Serial())
	}
	f.hear(3, newEngine("a", off), newEngine("b", off))
	f.expect("behind it", "b", off)
}

// A list of an earlier count names an engine as active that was told to drain since, and one that has gone.
func TestNewerNumberReleasesNothing(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on), newEngine("c", on))
	f.hear(2, newEngine("a", off), newEngine("c", on))
	f.hear(9, newEngine("a", on), newEngine("b", on), newEngine("c", on))
	f.expect("drained", "a", off)
	f.expect("gone", "b", off)
	f.expect("untouched", "c", on)
}

// Where the count begins anew in the middle of a life, what it restricts holds at once, and the list behind a second.
func TestRenumberingIsAccepted(t *testing.T) {
	f := newFixture(t, 40, newEngine("a", on), newEngine("b", on), newEngine("c", on))
	present := []config.Engine{newEngine("a", off), newEngine("c", on), newEngine("d", on)}
	f.hear(1, present...)
	f.expect("at the first answer", "a", off)
	for range 4 {
		f.hear(1, present...)
	}
	f.expect("gone for 0.4 s", "b", off)
	f.expect("new, and not certain yet", "d", "")
	for range 5 {
		f.hear(1, present...)
	}
	if f.list.Serial() != 1 {
		t.Fatalf("serial %d behind ten answers", f.list.Serial())
	}
	f.expect("new", "d", on)
	f.expect("gone", "b", "")
}

// Single answers from before change nothing: no engine is released, none that came behind them is left out.
func TestStaleAnswersChangeNothing(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	now := []config.Engine{newEngine("a", off), newEngine("b", on), newEngine("c", on)}
	for range 20 {
		f.hear(2, now...)
		if verdict := f.hear(1, newEngine("a", on), newEngine("b", on)); verdict != Unordered {
			t.Fatalf("verdict %v", verdict)
		}
		f.expect("drained", "a", off)
		f.expect("untouched", "b", on)
		f.expect("new", "c", on)
	}
}

// An engine that drained and is active again is used once that was told several times; a later start of it counts at once.
func TestReturn(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	f.hear(2, newEngine("a", off), newEngine("b", off))
	for i := range confirmationsNeeded {
		f.expect(fmt.Sprint("behind ", i, " answers"), "a", off)
		f.hear(3, newEngine("a", on), newEngine("b", on, 5000))
		f.expect("started anew", "b", on)
	}
	f.expect("told often enough", "a", on)
	f.hear(4, newEngine("a", off), newEngine("b", on, 5000))
	f.expect("drains again", "a", off)
}

// Answers that come late or twice tell nothing, unless they hold a newer list.
func TestLateAnswers(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on))
	f.hear(3, newEngine("a", on), newEngine("b", on))
	f.query = 10
	f.hear(3, newEngine("a", on), newEngine("b", on))
	for range 20 {
		if verdict := f.hearLate(4, 2, newEngine("a", on)); verdict != Late {
			t.Fatalf("verdict %v", verdict)
		}
	}
	f.expect("not in late answers", "b", on)
	f.hearLate(5, 4, newEngine("a", off), newEngine("b", on))
	f.expect("newer, if late", "a", off)
}

// One number may stand for two lists, of two counts: what is told in the end holds.
func TestSameNumberOtherList(t *testing.T) {
	f := newFixture(t, 3, newEngine("a", on), newEngine("b", on))
	for range maxSupport {
		f.hear(3, newEngine("a", off), newEngine("c", on))
	}
	f.expect("drains", "a", off)
	f.expect("gone", "b", "")
	f.expect("new", "c", on)
}

// What was told for a second is not taken back by nine answers that say otherwise.
func TestWellSupportedListStands(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	for range maxSupport {
		f.hear(2, newEngine("a", off))
	}
	for range maxSupport - 1 {
		f.hear(1, newEngine("a", on), newEngine("b", on))
		f.expect("told for a second", "a", off)
	}
	if f.list.Serial() != 2 {
		t.Errorf("serial %d", f.list.Serial())
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
func TestTombstonesAreBounded(t *testing.T) {
	f := newFixture(t, 1)
	for i := range uint32(5000) {
		f.hear(2+i, newEngine(fmt.Sprint("e", i), on))
		if i%7 == 0 {
			f.hear(1, newEngine(fmt.Sprint("stale", i), off))
		}
	}
	if len(f.list.records) > maxTombstones+2 || len(f.list.tombstones) > maxTombstones {
		t.Errorf("%d records, %d tombstones", len(f.list.records), len(f.list.tombstones))
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
					out = append(out, newEngine(id, state[id]))
				}
			}
			return out
		}
		h := history{base: -1}
		publish := func() {
			h.versions = append(h.versions, version{uint32(len(h.versions) - h.base), list()})
		}
		publish()
		f := newFixture(rt, h.versions[0].serial, h.versions[0].engines...)
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
			f.query++
			kind := rng.IntN(10)
			if kind == 0 { // lost
				f.now += poll
				f.list.Tick(f.now)
				f.look()
			} else if kind <= 2 && goodOwed == 0 && staleInRow < 2 {
				old := h.versions[rng.IntN(len(h.versions))]
				f.list.Tick(f.now + poll)
				f.now += poll
				f.list.Apply(f.now, Answer{QuerySeq: f.query, Serial: old.serial, Engines: old.engines})
				f.look()
				staleInRow++
			} else {
				if staleInRow > 0 {
					goodOwed, staleInRow = max(goodOwed, staleInRow+1), 0
				}
				goodOwed = max(0, goodOwed-1)
				f.hearLate(f.query, present.serial, present.engines...)
				for _, id := range names {
					if _, known := told[id]; !known && state[id] != on {
						told[id] = f.now
					}
				}
				if kind == 9 { // twice
					f.hearLate(f.query, present.serial, present.engines...)
				}
			}
			for id, at := range told {
				if f.view[id] == on && f.now-at > rules.Second {
					rt.Fatalf("%s is active %d ms behind its end was told", id, (f.now-at)/rules.Millisecond)
				}
			}
		}
		present := h.versions[len(h.versions)-1]
		for range 2 * maxSupport {
			f.hear(present.serial, present.engines...)
		}
		for _, id := range names {
			if f.view[id] != state[id] {
				rt.Fatalf("%s is %q, and %q in the list", id, f.view[id], state[id])
			}
		}
	})
}
