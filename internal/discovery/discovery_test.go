package discovery

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"foxlane/internal/config"
	"foxlane/rules"
)

const pollInterval = 100 * rules.Millisecond

// fixture holds a list under test, the current time and the number of the last query.
type fixture struct {
	t         rapid.TB
	list      *List
	now       rules.Time
	lastQuery uint64
	states    map[string]string // state of each listed engine, by id
}

func newFixture(t rapid.TB, serial uint32, engines ...config.Engine) *fixture {
	f := &fixture{t: t, list: New(serial, engines), now: rules.Second, states: map[string]string{}}
	f.refresh()
	return f
}

// refresh updates states if the list has changed, as a gateway does.
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

// answer applies an answer to a new query.
func (f *fixture) answer(serial uint32, engines ...config.Engine) Verdict {
	f.lastQuery++
	return f.answerTo(f.lastQuery, serial, engines...)
}

func (f *fixture) answerTo(query uint64, serial uint32, engines ...config.Engine) Verdict {
	f.now += pollInterval
	f.list.Tick(f.now)
	verdict := f.list.Apply(f.now, Answer{QuerySeq: query, Serial: serial, Engines: engines})
	f.refresh()
	return verdict
}

// expectState fails the test if an engine has another state than want; "" means that it is not listed.
func (f *fixture) expectState(when, id string, want string) {
	f.t.Helper()
	if got := f.states[id]; got != want {
		f.t.Errorf("%s: state of engine %s is %q, want %q", when, id, got, want)
	}
}

// newEngine returns an engine with an address of its own.
func newEngine(id string, state string, started ...int64) config.Engine {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	ip := netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, hash.Sum32())))
	entry := config.Engine{ID: id, Addr: netip.AddrPortFrom(ip, 7001), State: state}
	for _, s := range started {
		entry.Started = s
	}
	return entry
}

const (
	active   = config.StateActive
	draining = config.StateDraining
)

func TestNewerListIsValidAtOnce(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", active), newEngine("b", active))
	if verdict := f.answer(2, newEngine("a", draining), newEngine("c", active)); verdict != Newer {
		t.Errorf("verdict %v", verdict)
	}
	f.expectState("draining", "a", draining)
	f.expectState("not listed", "b", "")
	f.expectState("new", "c", active)
	if f.list.Serial() != 2 {
		t.Errorf("serial %d, want 2", f.list.Serial())
	}
}

// Guards against a drain that is ignored because of its serial, as in a production incident: a list of an earlier
// sequence was accepted as newer, and the lists of the current sequence have lower serials.
func TestDrainUnderALowerSerialTakesEffect(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", active), newEngine("b", active))
	f.answer(5, newEngine("a", active), newEngine("b", active))
	f.answer(2, newEngine("a", draining), newEngine("b", active))
	f.expectState("after the first answer", "a", draining)
	f.answer(2, newEngine("a", draining), newEngine("b", active))
	if verdict := f.answer(2, newEngine("a", draining), newEngine("b", active)); verdict != Renumbered || f.list.Serial() != 2 {
		t.Errorf("the third answer: verdict %v, serial %d", verdict, f.list.Serial())
	}
	f.answer(3, newEngine("a", draining), newEngine("b", draining))
	f.expectState("in the next list of the sequence", "b", draining)
}

// A list with a newer serial but of an earlier sequence lists as active an engine that is draining and one that was
// removed. Neither restriction is lifted.
func TestNewerSerialLiftsNothing(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", active), newEngine("b", active), newEngine("c", active))
	f.answer(2, newEngine("a", draining), newEngine("c", active))
	f.answer(9, newEngine("a", active), newEngine("b", active), newEngine("c", active))
	f.expectState("drained", "a", draining)
	f.expectState("removed", "b", draining)
	f.expectState("untouched", "c", active)
}

// When a new sequence of serials begins while the gateway runs, its restrictions take effect at once and its list
// becomes valid after one second.
func TestRenumberingIsAccepted(t *testing.T) {
	f := newFixture(t, 40, newEngine("a", active), newEngine("b", active), newEngine("c", active))
	current := []config.Engine{newEngine("a", draining), newEngine("c", active), newEngine("d", active)}
	f.answer(1, current...)
	f.expectState("after the first answer", "a", draining)
	for range 4 {
		f.answer(1, current...)
	}
	f.expectState("missing for 0.4 s", "b", draining)
	f.expectState("new in a list that is not valid yet", "d", "")
	for range 5 {
		f.answer(1, current...)
	}
	if f.list.Serial() != 1 {
		t.Fatalf("serial %d after ten answers", f.list.Serial())
	}
	f.expectState("new", "d", active)
	f.expectState("removed", "b", "")
}

// Single stale answers change nothing: they lift no restriction, and they don't remove engines that were added later.
func TestStaleAnswersChangeNothing(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", active), newEngine("b", active))
	current := []config.Engine{newEngine("a", draining), newEngine("b", active), newEngine("c", active)}
	for range 20 {
		f.answer(2, current...)
		if verdict := f.answer(1, newEngine("a", active), newEngine("b", active)); verdict != Unordered {
			t.Fatalf("verdict %v", verdict)
		}
		f.expectState("drained", "a", draining)
		f.expectState("untouched", "b", active)
		f.expectState("new", "c", active)
	}
}

// The restriction of an engine that is listed as active again is lifted after several answers, or at once if the engine
// has been restarted.
func TestRestrictionIsLifted(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", active), newEngine("b", active))
	f.answer(2, newEngine("a", draining), newEngine("b", draining))
	for i := range requiredConfirmations {
		f.expectState(fmt.Sprint("after ", i, " answers"), "a", draining)
		f.answer(3, newEngine("a", active), newEngine("b", active, 5000))
		f.expectState("restarted", "b", active)
	}
	f.expectState("after all confirmations needed", "a", active)
	f.answer(4, newEngine("a", draining), newEngine("b", active, 5000))
	f.expectState("draining again", "a", draining)
}

// Late and duplicate answers change nothing unless they contain a newer list.
func TestLateAnswers(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", active))
	f.answer(3, newEngine("a", active), newEngine("b", active))
	f.lastQuery = 10
	f.answer(3, newEngine("a", active), newEngine("b", active))
	for range 20 {
		if verdict := f.answerTo(4, 2, newEngine("a", active)); verdict != Late {
			t.Fatalf("verdict %v", verdict)
		}
	}
	f.expectState("not in late answers", "b", active)
	f.answerTo(5, 4, newEngine("a", draining), newEngine("b", active))
	f.expectState("in a late answer with a newer list", "a", draining)
}

// Two lists of different sequences may have the same serial. The one that is answered repeatedly becomes valid.
func TestSameSerialOtherList(t *testing.T) {
	f := newFixture(t, 3, newEngine("a", active), newEngine("b", active))
	for range maxSupport {
		f.answer(3, newEngine("a", draining), newEngine("c", active))
	}
	f.expectState("draining", "a", draining)
	f.expectState("removed", "b", "")
	f.expectState("new", "c", active)
}

// A list that was confirmed for one second is not replaced by nine answers with another list.
func TestWellSupportedListIsKept(t *testing.T) {
	f := newFixture(t, 1, newEngine("a", active), newEngine("b", active))
	for range maxSupport {
		f.answer(2, newEngine("a", draining))
	}
	for range maxSupport - 1 {
		f.answer(1, newEngine("a", active), newEngine("b", active))
		f.expectState("confirmed for a second", "a", draining)
	}
	if f.list.Serial() != 2 {
		t.Errorf("serial %d, want 2", f.list.Serial())
	}
}

func TestSerialsWrapAround(t *testing.T) {
	for _, c := range []struct {
		valid, answered uint32
		newer           bool
	}{{5, 5, false}, {5, 6, true}, {5, 4, false}, {1<<32 - 1, 0, true}, {1<<32 - 2, 3, true}, {3, 1<<32 - 2, false}, {0, 1, true}, {1, 1<<31 + 5, false}} {
		if newer(c.answered, c.valid) != c.newer {
			t.Errorf("serial %d is newer than %d: got %v", c.answered, c.valid, !c.newer)
		}
	}
}

// The number of records and tombstones stays bounded however many engines are added and removed.
func TestTombstonesAreBounded(t *testing.T) {
	f := newFixture(t, 1)
	for i := range uint32(5000) {
		f.answer(2+i, newEngine(fmt.Sprint("e", i), active))
		if i%7 == 0 {
			f.answer(1, newEngine(fmt.Sprint("stale", i), draining))
		}
	}
	if len(f.list.records) > maxTombstones+2 || len(f.list.tombstones) > maxTombstones {
		t.Errorf("%d records, %d tombstones", len(f.list.records), len(f.list.tombstones))
	}
}

// history holds the versions of a name service's list. Its serials are renumbered at times.
type history struct {
	versions []version
	base     int // the serial of a version in the current sequence is its index minus base
}

type version struct {
	serial  uint32
	engines []config.Engine
}

// randomService is a simulated name service whose list and answers change at random.
type randomService struct {
	history
	rng          *rand.Rand
	names        []string
	states       map[string]string     // state of each engine in the list; empty: not listed
	restrictedAt map[string]rules.Time // when a correct answer first restricted an engine

	correctAnswersDue int // correct answers to give before the next stale one
	consecutiveStale  int // stale answers since the last correct one
}

func newRandomService(seed uint64) *randomService {
	s := &randomService{history: history{base: -1}, rng: rand.New(rand.NewPCG(seed, 1)), states: map[string]string{}, restrictedAt: map[string]rules.Time{}}
	for range 4 {
		s.addEngine()
	}
	s.publish()
	return s
}

// addEngine adds an engine to the list.
func (s *randomService) addEngine() {
	name := fmt.Sprint("e", len(s.names))
	s.names = append(s.names, name)
	s.states[name] = active
}

// publish adds the current list as a new version.
func (s *randomService) publish() {
	var listed []config.Engine
	for _, id := range s.names {
		if s.states[id] != "" {
			listed = append(listed, newEngine(id, s.states[id]))
		}
	}
	s.versions = append(s.versions, version{uint32(len(s.versions) - s.base), listed})
}

func (s *randomService) current() version { return s.versions[len(s.versions)-1] }

// change occasionally changes the list or begins a new sequence of serials.
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
	switch s.states[id] {
	case active:
		s.states[id] = draining
	case draining:
		s.states[id] = ""
		if s.rng.IntN(3) == 0 {
			s.states[id] = active
			delete(s.restrictedAt, id)
		}
	default: // the engine was removed and does not return: add another one
		s.addEngine()
	}
}

// answer simulates a poll: its answer is lost, stale, correct, or correct and duplicated.
func (s *randomService) answer(f *fixture) {
	f.lastQuery++
	kind := s.rng.IntN(10)
	switch {
	case kind == 0: // lost
		f.now += pollInterval
		f.list.Tick(f.now)
		f.refresh()
	case kind <= 2 && s.correctAnswersDue == 0 && s.consecutiveStale < 2:
		old := s.versions[s.rng.IntN(len(s.versions))]
		f.list.Tick(f.now + pollInterval)
		f.now += pollInterval
		f.list.Apply(f.now, Answer{QuerySeq: f.lastQuery, Serial: old.serial, Engines: old.engines})
		f.refresh()
		s.consecutiveStale++
	default:
		s.answerCorrectly(f)
		if kind == 9 { // duplicated
			f.answerTo(f.lastQuery, s.current().serial, s.current().engines...)
		}
	}
}

func (s *randomService) answerCorrectly(f *fixture) {
	if s.consecutiveStale > 0 {
		s.correctAnswersDue, s.consecutiveStale = max(s.correctAnswersDue, s.consecutiveStale+1), 0
	}
	s.correctAnswersDue = max(0, s.correctAnswersDue-1)
	f.answerTo(f.lastQuery, s.current().serial, s.current().engines...)
	for _, id := range s.names {
		if _, known := s.restrictedAt[id]; !known && s.states[id] != active {
			s.restrictedAt[id] = f.now
		}
	}
}

// Checks with random lost, duplicated and stale answers and renumbered serials that an engine is never active more than
// one second after a correct answer has restricted it, and that the list converges to that of the name service. Stale
// answers may be of an earlier sequence. At most two come in a row, and at least as many correct ones follow them.
func TestRandomNameService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := newRandomService(rapid.Uint64().Draw(rt, "seed"))
		f := newFixture(rt, service.versions[0].serial, service.versions[0].engines...)
		for range 150 {
			service.change()
			service.answer(f)
			for id, at := range service.restrictedAt {
				if f.states[id] == active && f.now-at > rules.Second {
					rt.Fatalf("engine %s is active %d ms after an answer restricted it", id, (f.now-at)/rules.Millisecond)
				}
			}
		}
		for range 2 * maxSupport {
			f.answer(service.current().serial, service.current().engines...)
		}
		for _, id := range service.names {
			if f.states[id] != service.states[id] {
				rt.Fatalf("state of engine %s is %q, want %q", id, f.states[id], service.states[id])
			}
		}
	})
}

// Guards against work for an engine that has gone reaching the process that has come up at its address: both are listed
// until the name service notices the loss.
func TestEngineWhoseAddressIsTakenIsNotListed(t *testing.T) {
	at := func(entry config.Engine, port uint16) config.Engine {
		entry.Addr = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		return entry
	}
	former, other := at(newEngine("former", config.StateActive, 1000), 7001), at(newEngine("other", config.StateActive, 1000), 7002)
	f := newFixture(t, 1, former, other)
	f.expectState("alone", "former", config.StateActive)
	next := at(newEngine("next", config.StateDraining, 5000), 7001)
	f.answer(2, former, other, next)
	f.expectState("while both are listed", "former", "")
	f.expectState("while both are listed", "next", config.StateDraining)
	f.expectState("while both are listed", "other", config.StateActive)
	former.Started = 9000
	f.answer(3, former, other, next)
	f.expectState("after it was started again", "former", config.StateActive)
	f.expectState("after the former was started again", "next", "")
	f.answer(4, other, at(newEngine("third", config.StateActive, 1000), 7002))
	f.expectState("of the same age", "other", config.StateActive)
	f.expectState("of the same age", "third", config.StateActive)
}
