package directives

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"foxlane/rules"
)

const (
	ms     = rules.Millisecond
	second = rules.Second
)

// disk is what a voter has persisted: a batch in flight is lost when the voter dies.
type disk struct{ state PersistedState }

func (d *disk) persist(b Batch) {
	if b.Snapshot != nil {
		d.state.Snapshot, d.state.Entries = proto.Clone(b.Snapshot).(*pb.Snapshot), nil
	}
	for _, e := range b.Entries {
		for len(d.state.Entries) > 0 && d.state.Entries[len(d.state.Entries)-1].GetIndex() >= e.GetIndex() {
			d.state.Entries = d.state.Entries[:len(d.state.Entries)-1]
		}
		d.state.Entries = append(d.state.Entries, proto.Clone(e).(*pb.Entry))
	}
	if b.HardState != nil {
		d.state.HardState = proto.Clone(b.HardState).(*pb.HardState)
	}
}

func (d *disk) copy() PersistedState {
	k := PersistedState{Initialized: d.state.Initialized, Entries: slices.Clone(d.state.Entries)}
	if d.state.HardState != nil {
		k.HardState = proto.Clone(d.state.HardState).(*pb.HardState)
	}
	if d.state.Snapshot != nil {
		k.Snapshot = proto.Clone(d.state.Snapshot).(*pb.Snapshot)
	}
	return k
}

// testCluster is voters on a simulated network that loses and delays messages, and whose links can be cut.
type testCluster struct {
	t            *testing.T
	rng          *rand.Rand
	now          rules.Time
	names        []string
	voters       map[string]*Voter
	disks        map[string]*disk
	cut          map[[2]string]bool
	loss         float64
	queue        []delivery
	acks         map[string]bool   // ids of commands that were answered as committed
	failed       map[string]bool   // ids of commands that were answered with an error
	commandIDs   map[uint64]string // by request
	logged       []string
	failingDisks map[string]bool
	states       map[uint64]string // by index
	divergence   error             // two states of one index that differed
}

// delivery is an event that is due at a voter.
type delivery struct {
	at    rules.Time
	to    string
	event Event
	voter *Voter // that a Persisted is for: one that has been restarted since must not get it
}

func newTestCluster(t *testing.T, n int, seed uint64) *testCluster {
	p := &testCluster{t: t, rng: rand.New(rand.NewPCG(seed, 9)), voters: map[string]*Voter{}, disks: map[string]*disk{}, cut: map[[2]string]bool{},
		acks: map[string]bool{}, failed: map[string]bool{}, commandIDs: map[uint64]string{}, failingDisks: map[string]bool{}, states: map[uint64]string{}}
	for i := range n {
		p.names = append(p.names, fmt.Sprint("v", i))
	}
	for _, name := range p.names {
		p.disks[name] = &disk{PersistedState{Initialized: true}}
		p.start(name)
	}
	return p
}

func (p *testCluster) start(name string) {
	v, err := NewVoter(Settings{Self: name, Voters: p.names, TickInterval: 100 * ms}, p.disks[name].copy(), p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	p.voters[name] = v
}

func (p *testCluster) kill(name string) { delete(p.voters, name) }

func (p *testCluster) handle(name string, e Event) {
	v := p.voters[name]
	if v == nil {
		return
	}
	for _, effect := range v.Handle(p.now, e) {
		switch f := effect.(type) {
		case Send:
			if !p.cut[[2]string{name, f.To}] && p.rng.Float64() >= p.loss {
				p.queue = append(p.queue, delivery{at: p.now + rules.Time(1+p.rng.IntN(60))*ms, to: f.To, event: Received{From: name, Data: slices.Clone(f.Data)}})
			}
		case Persist:
			ok := !p.failingDisks[name]
			if ok {
				p.disks[name].persist(f.Batch)
			}
			p.queue = append(p.queue, delivery{at: p.now + 2*ms, to: name, event: Persisted{OK: ok}, voter: v})
		case Reply:
			if id := p.commandIDs[f.RequestID]; f.Err == nil {
				p.acks[id] = true
			} else {
				p.failed[id] = true
			}
		case Applied:
			state := fmt.Sprint(v.state.Directives)
			if was, ok := p.states[f.Index]; ok && was != state {
				p.divergence = fmt.Errorf("states of index %d differ: %s and %s", f.Index, was, state)
			}
			p.states[f.Index] = state
		case Log:
			p.logged = append(p.logged, name+": "+f.Text)
		}
	}
}

// run lets time pass.
func (p *testCluster) run(d rules.Time) {
	for until := p.now + d; p.now < until; p.now += ms {
		if (p.now/ms)%100 == 0 {
			for _, name := range p.names {
				p.handle(name, Tick{})
			}
		}
		var due []delivery
		p.queue = slices.DeleteFunc(p.queue, func(d delivery) bool {
			if d.at <= p.now {
				due = append(due, d)
				return true
			}
			return false
		})
		for _, d := range due {
			if d.voter == nil || d.voter == p.voters[d.to] {
				p.handle(d.to, d.event)
			}
		}
	}
}

var lastRequestID uint64

func (p *testCluster) propose(name string, c Command) {
	lastRequestID++
	p.commandIDs[lastRequestID] = c.ID
	p.handle(name, Propose{RequestID: lastRequestID, Command: c})
}

func testCommand(i int) Command {
	return Command{ID: fmt.Sprint("c", i), Op: Set, Directive: Directive{Kind: DrainEngine, Subject: fmt.Sprint("e", i%40), Value: float64(i)}}
}

func (p *testCluster) leader() string {
	for _, n := range p.names {
		if v := p.voters[n]; v != nil && v.Status().Leader == n {
			return n
		}
	}
	return ""
}

// A command is applied by all voters. A minority commits none and retains its state; once the links work again, all have the same state.
func TestQuorum(t *testing.T) {
	p := newTestCluster(t, 3, 1)
	p.run(4 * second)
	p.propose("v0", testCommand(1))
	p.run(2 * second)
	if !p.acks["c1"] {
		t.Fatal("no answer with all voters there")
	}
	lead := p.leader()
	for _, n := range p.names {
		if n != lead {
			p.cut[[2]string{lead, n}], p.cut[[2]string{n, lead}] = true, true
		}
	}
	p.propose(lead, testCommand(2))
	p.run(8 * second)
	if p.acks["c2"] || !p.failed["c2"] {
		t.Error("a voter on its own has taken a command, or never answered")
	}
	other := p.names[(slices.Index(p.names, lead)+1)%3]
	p.propose(other, testCommand(3))
	p.run(3 * second)
	if !p.acks["c3"] {
		t.Error("the majority takes no command")
	}
	if got := p.voters[lead].State().Subjects(DrainEngine); !reflect.DeepEqual(got, []string{"e1"}) {
		t.Errorf("the minority holds %v", got)
	}
	clear(p.cut)
	p.run(5 * second)
	for _, n := range p.names {
		if got := p.voters[n].State().Subjects(DrainEngine); !slices.Contains(got, "e1") || !slices.Contains(got, "e3") {
			t.Errorf("healed, %s holds %v", n, got)
		}
	}
}

var schedules = flag.Int("schedules", 40, "random schedules that are played")

// Through crashes, cut links and losses, a command that was answered as committed is applied everywhere, and states of one index are the same.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	acknowledged := 0
	defer func() {
		if acknowledged < 150 {
			t.Errorf("%d commands were acknowledged: the test has lost its subject", acknowledged)
		}
	}()
	for seed := range uint64(*schedules) {
		p := newTestCluster(t, 3+2*int(seed%2), seed)
		p.run(2 * second)
		for i := range 12 {
			switch n := p.names[p.rng.IntN(len(p.names))]; p.rng.IntN(5) {
			case 0:
				p.kill(n)
			case 1:
				if p.voters[n] == nil {
					p.start(n)
				}
			case 2:
				o := p.names[p.rng.IntN(len(p.names))]
				p.cut[[2]string{n, o}] = true
			case 3:
				clear(p.cut)
			case 4:
				p.loss = p.rng.Float64() * 0.3
			}
			p.propose(p.names[p.rng.IntN(len(p.names))], testCommand(int(seed)*100+i))
			p.run(rules.Time(100+p.rng.IntN(1200)) * ms)
		}
		clear(p.cut)
		p.loss = 0
		for _, n := range p.names {
			if p.voters[n] == nil {
				p.start(n)
			}
		}
		p.run(8 * second)
		if p.divergence != nil {
			t.Errorf("seed %d: %v", seed, p.divergence)
		}
		acknowledged += len(p.acks)
		for id := range p.acks {
			for _, n := range p.names {
				if !slices.Contains(p.voters[n].state.SeenIDs, id) {
					t.Errorf("seed %d: %s was acknowledged, and %s does not have it", seed, id, n)
				}
			}
		}
	}
}

// A voter whose disk is an old copy of itself, or is gone, listens before it votes, and holds all directives again in the end.
func TestVoterThatForgot(t *testing.T) {
	for _, gone := range []bool{false, true} {
		p := newTestCluster(t, 3, 5)
		p.run(3 * second)
		who := p.names[(slices.Index(p.names, p.leader())+1)%3]
		old := PersistedState{}
		for i := range 8 {
			if i == 2 && !gone {
				old = p.disks[who].copy()
			}
			p.propose("v0", testCommand(i))
			p.run(second)
		}
		p.kill(who)
		p.disks[who] = &disk{old}
		p.start(who)
		p.run(25 * second)
		if got := len(p.voters[who].state.Directives); got != 8 {
			t.Errorf("gone %v: it holds %d of 8 directives; logged: %v", gone, got, p.logged)
		}
		if p.voters[who].Status().Listens {
			t.Errorf("gone %v: it still listens", gone)
		}
		if p.divergence != nil {
			t.Error(p.divergence)
		}
		if !slices.ContainsFunc(p.logged, func(s string) bool { return strings.HasPrefix(s, who+": directives: has listened long enough") }) {
			t.Errorf("gone %v: it did not listen before it voted: %v", gone, p.logged)
		}
	}
}

// When the disk of a voter fails, be it the leader or not, the voter sends nothing that rests on it, answers proposals with ErrDiskFailed, and
// takes part again after a restart. A command that was proposed to a leader at that moment may be lost with it; proposed again it is
// committed.
func TestDiskFails(t *testing.T) {
	for _, leads := range []bool{false, true} {
		p := newTestCluster(t, 3, 2)
		p.run(3 * second)
		lead := p.leader()
		i := slices.Index(p.names, lead)
		if i < 0 {
			t.Fatal("nobody leads after 3 s")
		}
		bad, good := p.names[(i+1)%3], p.names[(i+2)%3]
		if leads {
			bad = lead
		}
		p.failingDisks[bad] = true
		times := 1
		if leads {
			times = 4
		}
		for range times {
			if !p.acks["c1"] {
				p.propose(good, testCommand(1))
				p.run(3 * second)
			}
		}
		if !p.acks["c1"] {
			t.Errorf("leads %v: two voters with disks take no command", leads)
		}
		if !p.voters[bad].Status().Broken {
			t.Fatalf("leads %v: the third does not report that its disk failed", leads)
		}
		p.propose(bad, testCommand(2))
		if !p.failed["c2"] {
			t.Errorf("leads %v: a voter whose disk failed takes a command", leads)
		}
		delete(p.failingDisks, bad)
		p.kill(bad)
		p.start(bad)
		p.run(4 * second)
		if !slices.Contains(p.voters[bad].state.SeenIDs, "c1") {
			t.Errorf("leads %v: after its restart it lacks what was committed", leads)
		}
	}
}

// Long logs are compacted, and a voter that was down for long receives a snapshot.
func TestSnapshots(t *testing.T) {
	p := newTestCluster(t, 3, 4)
	p.run(3 * second)
	p.kill("v1")
	for i := range 2 * compactThreshold {
		p.propose("v0", testCommand(i))
		p.run(150 * ms)
	}
	for n, d := range p.disks {
		if len(d.state.Entries) > 2*compactThreshold {
			t.Errorf("%s retains %d entries", n, len(d.state.Entries))
		}
	}
	p.start("v1")
	p.run(6 * second)
	if a, b := p.voters["v0"].state, p.voters["v1"].state; a.Index != b.Index || !reflect.DeepEqual(a.Directives, b.Directives) {
		t.Errorf("at index %d and %d, %d and %d directives", a.Index, b.Index, len(a.Directives), len(b.Directives))
	}
}

func TestState(t *testing.T) {
	var b State
	put := func(i uint64, c Command) error {
		raw := fmt.Sprintf(`{"id":%q,"op":%q,"kind":%q,"subject":%q,"value":%v}`, c.ID, c.Op, c.Kind, c.Subject, c.Value)
		_, err := b.apply(i, []byte(raw))
		return err
	}
	for i, c := range []struct {
		Command
		err error
	}{
		{Command{"a", Set, Directive{Kind: DrainZone, Subject: "hall-a"}}, nil},
		{Command{"a", Unset, Directive{Kind: DrainZone, Subject: "hall-a"}}, nil}, // comes twice: counts once
		{Command{"b", Set, Directive{Kind: SpilloverLimit, Value: 0.3}}, nil},
		{Command{"c", Unset, Directive{Kind: DrainZone, Subject: "hall-b"}}, ErrNotFound},
	} {
		if err := put(uint64(i+2), c.Command); !errors.Is(err, c.err) {
			t.Errorf("%+v: %v", c.Command, err)
		}
	}
	if v, ok := b.Value(SpilloverLimit); !ok || v != 0.3 || !reflect.DeepEqual(b.Subjects(DrainZone), []string{"hall-a"}) || b.Index != 5 || len(b.History) != 3 {
		t.Errorf("%+v", b)
	}
	for _, c := range []Command{{}, {ID: "x", Op: "do", Directive: Directive{Kind: SpilloverLimit}}, {ID: "x", Op: Set, Directive: Directive{Kind: "dance", Subject: "y"}},
		{ID: "x", Op: Set, Directive: Directive{Kind: DrainZone}}, {ID: "x", Op: Set, Directive: Directive{Kind: SpilloverLimit, Value: 2}}} {
		if c.Validate() == nil {
			t.Errorf("%+v passes", c)
		}
	}
	for i := range 2 * maxDirectives {
		_ = put(uint64(i+10), testCommand(i))
	}
	for i := range 2 * maxDirectives {
		c := testCommand(0)
		c.ID, c.Subject = fmt.Sprint("m", i), fmt.Sprint("m", i)
		_ = put(uint64(i+1000), c)
	}
	if len(b.Directives) > maxDirectives || len(b.History) > maxHistory || len(b.SeenIDs) > maxSeenIDs {
		t.Errorf("%d held, %d in the history, %d seen", len(b.Directives), len(b.History), len(b.SeenIDs))
	}
}
