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

// fixture is a list under test, with the queries that were answered and the time.
type fixture struct {
	t         rapid.TB
	list      *List
	now       rules.Time
	lastQuery uint64
	states    map[string]string
}

func newFixture(t rapid.TB, serial uint32, engines ...config.Engine) *fixture {
	f := &fixture{t: t, list: New(serial, engines), now: rules.Second, states: map[string]string{}}
	f.refresh()
	return f
}

// refresh takes over the list if it has changed, as a gateway does.
func (f *fixture) refresh() {
	engines, ok := f.list.Changed()
	if !ok {
		return
	}
	clear(f.states)
	for _, entry := range engines {
		f.states[entry.ID] = entry.State
	}
}

// answer gives the list an answer to a query that was sent just now.
func (f *fixture) answer(serial uint32, engines ...config.Engine) Verdict {
	f.lastQuery++
	return f.answerTo(f.lastQuery, serial, engines...)
}

func (f *fixture) answerTo(query uint64, serial uint32, engines ...config.Engine) Verdict {
	f.now += poll
	f.list.Tick(f.now)
	verdict := f.list.Apply(f.now, Answer{QuerySeq: query, Serial: serial, Engines: engines})
	f.refresh()
	return verdict
}

// expect fails the test if what the list says of an engine is something else: "active", "leaving" or "" for not listed.
func (f *fixture) expect(when, id string, want string) {
	f.t.Helper()
	if got := f.states[id]; got != want {
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

func TestNewerListIsValidAtOnce(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	if verdict := f.answer(2, newEngine("a", off), newEngine("c", on)); verdict != Newer {
		t.Errorf("verdict %v", verdict)
	}
	f.expect("drains", "a", off)
	f.expect("not listed", "b", "")
	f.expect("new", "c", on)
	if f.list.Serial() != 2 {
		t.Errorf("serial %d", f.list.Serial())
	}
}

// A list of an earlier sequence was taken for newer, and those of the present sequence have lower serials (as in an incident of
// production).
func TestDrainUnderALowerSerialTakesEffect(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	f.answer(5, newEngine("a", on), newEngine("b", on))
	f.answer(2, newEngine("a", off), newEngine("b", on))
	f.expect("after the first answer", "a", off)
	f.answer(2, newEngine("a", off), newEngine("b", on))
	if verdict := f.answer(2, newEngine("a", off), newEngine("b", on)); verdict != Renumbered || f.list.Serial() != 2 {
		t.Errorf("the third answer: verdict %v, serial %d", verdict, f.list.Serial())
	}
	f.answer(3, newEngine("a", off), newEngine("b", off))
	f.expect("after it", "b", off)
}

// A list of an earlier sequence lists an engine as active that drains since, and one that was removed.
func TestNewerSerialLiftsNothing(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on), newEngine("c", on))
	f.answer(2, newEngine("a", off), newEngine("c", on))
	f.answer(9, newEngine("a", on), newEngine("b", on), newEngine("c", on))
	f.expect("drained", "a", off)
	f.expect("removed", "b", off)
	f.expect("untouched", "c", on)
}

// Where a new sequence of serials begins while the gateway runs, restrictions take effect at once, and the list is valid after a second.
func TestRenumberingIsAccepted(t *testing.T) {
	f := newFixture(t, 40, newEngine("a", on), newEngine("b", on), newEngine("c", on))
	present := []config.Engine{newEngine("a", off), newEngine("c", on), newEngine("d", on)}
	f.answer(1, present...)
	f.expect("after the first answer", "a", off)
	for range 4 {
		f.answer(1, present...)
	}
	f.expect("missing for 0.4 s", "b", off)
	f.expect("new, and not confirmed yet", "d", "")
	for range 5 {
		f.answer(1, present...)
	}
	if f.list.Serial() != 1 {
		t.Fatalf("serial %d after ten answers", f.list.Serial())
	}
	f.expect("new", "d", on)
	f.expect("removed", "b", "")
}

// Single stale answers change nothing: no restriction is lifted, and no engine that was added later is missing.
func TestStaleAnswersChangeNothing(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	now := []config.Engine{newEngine("a", off), newEngine("b", on), newEngine("c", on)}
	for range 20 {
		f.answer(2, now...)
		if verdict := f.answer(1, newEngine("a", on), newEngine("b", on)); verdict != Unordered {
			t.Fatalf("verdict %v", verdict)
		}
		f.expect("drained", "a", off)
		f.expect("untouched", "b", on)
		f.expect("new", "c", on)
	}
}

// An engine that drained and is active again is used after several answers that say so; a later start of it counts at once.
func TestRestrictionIsLifted(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	f.answer(2, newEngine("a", off), newEngine("b", off))
	for i := range confirmationsNeeded {
		f.expect(fmt.Sprint("after ", i, " answers"), "a", off)
		f.answer(3, newEngine("a", on), newEngine("b", on, 5000))
		f.expect("restarted", "b", on)
	}
	f.expect("confirmed often enough", "a", on)
	f.answer(4, newEngine("a", off), newEngine("b", on, 5000))
	f.expect("drains again", "a", off)
}

// Answers that come late or twice change nothing, unless they hold a newer list.
func TestLateAnswers(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on))
	f.answer(3, newEngine("a", on), newEngine("b", on))
	f.lastQuery = 10
	f.answer(3, newEngine("a", on), newEngine("b", on))
	for range 20 {
		if verdict := f.answerTo(4, 2, newEngine("a", on)); verdict != Late {
			t.Fatalf("verdict %v", verdict)
		}
	}
	f.expect("not in late answers", "b", on)
	f.answerTo(5, 4, newEngine("a", off), newEngine("b", on))
	f.expect("newer, if late", "a", off)
}

// One serial may belong to two lists, of two sequences: the one that is answered in the end is valid.
func TestSameSerialOtherList(t *testing.T) {
	f := newFixture(t, 3, newEngine("a", on), newEngine("b", on))
	for range maxSupport {
		f.answer(3, newEngine("a", off), newEngine("c", on))
	}
	f.expect("drains", "a", off)
	f.expect("removed", "b", "")
	f.expect("new", "c", on)
}

// A list that was confirmed for a second is not replaced by nine answers with another one.
func TestWellSupportedListStands(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", on), newEngine("b", on))
	for range maxSupport {
		f.answer(2, newEngine("a", off))
	}
	for range maxSupport - 1 {
		f.answer(1, newEngine("a", on), newEngine("b", on))
		f.expect("confirmed for a second", "a", off)
	}
	if f.list.Serial() != 2 {
		t.Errorf("serial %d", f.list.Serial())
	}
}

// Serials wrap around.
func TestSerialsWrapAround(t *testing.T) {
	for _, c := range []struct {
		held, answered uint32
		newer          bool
	}{{5, 5, false}, {5, 6, true}, {5, 4, false}, {1<<32 - 1, 0, true}, {1<<32 - 2, 3, true}, {3, 1<<32 - 2, false}, {0, 1, true}, {1, 1<<31 + 5, false}} {
		if newer(c.answered, c.held) != c.newer {
			t.Errorf("%d after %d counts as newer: %v", c.answered, c.held, !c.newer)
		}
	}
}

// What is remembered of removed engines stays bounded.
func TestTombstonesAreBounded(t *testing.T) {
	f := newFixture(t, 1)
	for i := range uint32(5000) {
		f.answer(2+i, newEngine(fmt.Sprint("e", i), on))
		if i%7 == 0 {
			f.answer(1, newEngine(fmt.Sprint("stale", i), off))
		}
	}
	if len(f.list.records) > maxTombstones+2 || len(f.list.tombstones) > maxTombstones {
		t.Errorf("%d records, %d tombstones", len(f.list.records), len(f.list.tombstones))
	}
}

// history is what a name service has: each version of the list, with serials that are renumbered at times.
type history struct {
	versions []version
	base     int // the serial of a version in the present sequence is its index less this
}

type version struct {
	serial  uint32
	engines []config.Engine
}

// randomService is a name service whose list changes at random, and what its correct answers have restricted.
type randomService struct {
	history
	rng      *rand.Rand
	names    []string
	state    map[string]string     // what the list says of each engine; empty: it is not listed
	notified map[string]rules.Time // when a correct answer first said that an engine drains or was removed

	correctDue, staleInRow int
}

func newRandomService(seed uint64) *randomService {
	s := &randomService{history: history{base: -1}, rng: rand.New(rand.NewPCG(seed, 1)), state: map[string]string{}, notified: map[string]rules.Time{}}
	for range 4 {
		s.add()
	}
	s.publish()
	return s
}

// add lists one more engine.
func (s *randomService) add() {
	name := fmt.Sprint("e", len(s.names))
	s.names = append(s.names, name)
	s.state[name] = on
}

// publish makes the present list a version.
func (s *randomService) publish() {
	var listed []config.Engine
	for _, id := range s.names {
		if s.state[id] != "" {
			listed = append(listed, newEngine(id, s.state[id]))
		}
	}
	s.versions = append(s.versions, version{uint32(len(s.versions) - s.base), listed})
}

func (s *randomService) present() version { return s.versions[len(s.versions)-1] }

// change changes the list, or begins a new sequence of serials, at times.
func (s *randomService) change() {
	switch s.rng.IntN(25) {
	case 0:
		s.changeEngine(s.names[s.rng.IntN(len(s.names))])
		s.publish()
	case 1:
		if s.rng.IntN(4) == 0 {
			s.base = len(s.versions) - 2
			s.publish()
		}
	}
}

func (s *randomService) changeEngine(id string) {
	switch s.state[id] {
	case on:
		s.state[id] = off
	case off:
		s.state[id] = ""
		if s.rng.IntN(3) == 0 {
			s.state[id] = on
			delete(s.notified, id)
		}
	default: // removed for good: another is added
		s.add()
	}
}

// answer lets a poll be lost, answered by a stale list, or answered correctly, once or twice.
func (s *randomService) answer(f *fixture) {
	f.lastQuery++
	kind := s.rng.IntN(10)
	switch {
	case kind == 0: // lost
		f.now += poll
		f.list.Tick(f.now)
		f.refresh()
	case kind <= 2 && s.correctDue == 0 && s.staleInRow < 2:
		old := s.versions[s.rng.IntN(len(s.versions))]
		f.list.Tick(f.now + poll)
		f.now += poll
		f.list.Apply(f.now, Answer{QuerySeq: f.lastQuery, Serial: old.serial, Engines: old.engines})
		f.refresh()
		s.staleInRow++
	default:
		s.answerCorrectly(f)
		if kind == 9 { // twice
			f.answerTo(f.lastQuery, s.present().serial, s.present().engines...)
		}
	}
}

func (s *randomService) answerCorrectly(f *fixture) {
	if s.staleInRow > 0 {
		s.correctDue, s.staleInRow = max(s.correctDue, s.staleInRow+1), 0
	}
	s.correctDue = max(0, s.correctDue-1)
	f.answerTo(f.lastQuery, s.present().serial, s.present().engines...)
	for _, id := range s.names {
		if _, known := s.notified[id]; !known && s.state[id] != on {
			s.notified[id] = f.now
		}
	}
}

// Whatever is lost, late, duplicated, stale, of an earlier sequence or renumbered: an engine that drains or was removed by a correct
// answer is never active after the grace, and in the end the list is the name service's. There are two stale answers in a row at most,
// and at least as many correct ones after them.
func TestRandomNameService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := newRandomService(rapid.Uint64().Draw(rt, "seed"))
		f := newFixture(rt, service.versions[0].serial, service.versions[0].engines...)
		for range 150 {
			service.change()
			service.answer(f)
			for id, at := range service.notified {
				if f.states[id] == on && f.now-at > rules.Second {
					rt.Fatalf("%s is active %d ms after its restriction was answered", id, (f.now-at)/rules.Millisecond)
				}
			}
		}
		for range 2 * maxSupport {
			f.answer(service.present().serial, service.present().engines...)
		}
		for _, id := range service.names {
			if f.states[id] != service.state[id] {
				rt.Fatalf("%s is %q, and %q in the list", id, f.states[id], service.state[id])
			}
		}
	})
}
