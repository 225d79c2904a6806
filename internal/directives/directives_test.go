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

// disk is a voter's persisted state. It stores a batch at once. The Persisted that answers the batch is dropped if the
// voter is killed first.
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

func (d *disk) clone() PersistedState {
	clone := PersistedState{Initialized: d.state.Initialized, Entries: slices.Clone(d.state.Entries)}
	if d.state.HardState != nil {
		clone.HardState = proto.Clone(d.state.HardState).(*pb.HardState)
	}
	if d.state.Snapshot != nil {
		clone.Snapshot = proto.Clone(d.state.Snapshot).(*pb.Snapshot)
	}
	return clone
}

// testCluster is a set of voters on a simulated network that delays and drops messages, and whose links can be cut.
type testCluster struct {
	t            *testing.T
	rng          *rand.Rand
	now          rules.Time
	names        []string
	voters       map[string]*Voter
	disks        map[string]*disk
	cutLinks     map[[2]string]bool
	loss         float64
	queue        []delivery
	acknowledged map[string]bool   // IDs of commands that were answered as committed
	failed       map[string]bool   // IDs of commands that were answered with an error
	commandIDs   map[uint64]string // by request ID
	logged       []string
	failingDisks map[string]bool
	states       map[uint64]string // by log index
	divergence   error             // set when two voters had different states at one index
}

// delivery is an event scheduled for a voter.
type delivery struct {
	at    rules.Time
	to    string
	event Event
	voter *Voter // the recipient of a Persisted: its successor after a restart must not get it; nil: any
}

func newTestCluster(t *testing.T, n int, seed uint64) *testCluster {
	cluster := &testCluster{t: t, rng: rand.New(rand.NewPCG(seed, 9)), voters: map[string]*Voter{}, disks: map[string]*disk{}, cutLinks: map[[2]string]bool{},
		acknowledged: map[string]bool{}, failed: map[string]bool{}, commandIDs: map[uint64]string{}, failingDisks: map[string]bool{}, states: map[uint64]string{}}
	for i := range n {
		cluster.names = append(cluster.names, fmt.Sprint("v", i))
	}
	for _, name := range cluster.names {
		cluster.disks[name] = &disk{PersistedState{Initialized: true}}
		cluster.start(name)
	}
	return cluster
}

func (cluster *testCluster) start(name string) {
	v, err := NewVoter(Settings{Self: name, Voters: cluster.names, TickInterval: 100 * ms}, cluster.disks[name].clone(), cluster.now)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.voters[name] = v
}

func (cluster *testCluster) kill(name string) { delete(cluster.voters, name) }

func (cluster *testCluster) handle(name string, e Event) {
	v := cluster.voters[name]
	if v == nil {
		return
	}
	for _, effect := range v.Handle(cluster.now, e) {
		switch f := effect.(type) {
		case Send:
			if !cluster.cutLinks[[2]string{name, f.To}] && cluster.rng.Float64() >= cluster.loss {
				cluster.queue = append(cluster.queue, delivery{at: cluster.now + rules.Time(1+cluster.rng.IntN(60))*ms, to: f.To, event: Received{From: name, Data: slices.Clone(f.Data)}})
			}
		case Persist:
			ok := !cluster.failingDisks[name]
			if ok {
				cluster.disks[name].persist(f.Batch)
			}
			cluster.queue = append(cluster.queue, delivery{at: cluster.now + 2*ms, to: name, event: Persisted{OK: ok}, voter: v})
		case Reply:
			if id := cluster.commandIDs[f.RequestID]; f.Err == nil {
				cluster.acknowledged[id] = true
			} else {
				cluster.failed[id] = true
			}
		case Applied:
			state := fmt.Sprint(v.state.Directives)
			if previous, ok := cluster.states[f.Index]; ok && previous != state {
				cluster.divergence = fmt.Errorf("states of index %d differ: %s and %s", f.Index, previous, state)
			}
			cluster.states[f.Index] = state
		case Log:
			cluster.logged = append(cluster.logged, name+": "+f.Text)
		}
	}
}

// run advances the simulated time by d.
func (cluster *testCluster) run(d rules.Time) {
	for until := cluster.now + d; cluster.now < until; cluster.now += ms {
		if (cluster.now/ms)%100 == 0 {
			for _, name := range cluster.names {
				cluster.handle(name, Tick{})
			}
		}
		var due []delivery
		cluster.queue = slices.DeleteFunc(cluster.queue, func(d delivery) bool {
			if d.at <= cluster.now {
				due = append(due, d)
				return true
			}
			return false
		})
		for _, d := range due {
			if d.voter == nil || d.voter == cluster.voters[d.to] {
				cluster.handle(d.to, d.event)
			}
		}
	}
}

var lastRequestID uint64

func (cluster *testCluster) propose(name string, c Command) {
	lastRequestID++
	cluster.commandIDs[lastRequestID] = c.ID
	cluster.handle(name, Propose{RequestID: lastRequestID, Command: c})
}

func testCommand(i int) Command {
	return Command{ID: fmt.Sprint("c", i), Op: Set, Directive: Directive{Kind: DrainEngine, Subject: fmt.Sprint("e", i%40), Value: float64(i)}}
}

func (cluster *testCluster) leader() string {
	for _, n := range cluster.names {
		if v := cluster.voters[n]; v != nil && v.Status().Leader == n {
			return n
		}
	}
	return ""
}

// All voters apply a committed command. A leader that is cut off from the other voters commits nothing and keeps its
// state; once the links work again, it catches up.
func TestQuorum(t *testing.T) {
	cluster := newTestCluster(t, 3, 1)
	cluster.run(4 * second)
	cluster.propose("v0", testCommand(1))
	cluster.run(2 * second)
	if !cluster.acknowledged["c1"] {
		t.Fatal("no command was committed with all voters running")
	}
	leader := cluster.leader()
	for _, n := range cluster.names {
		if n != leader {
			cluster.cutLinks[[2]string{leader, n}], cluster.cutLinks[[2]string{n, leader}] = true, true
		}
	}
	cluster.propose(leader, testCommand(2))
	cluster.run(8 * second)
	if cluster.acknowledged["c2"] || !cluster.failed["c2"] {
		t.Error("an isolated voter committed a command, or never answered")
	}
	other := cluster.names[(slices.Index(cluster.names, leader)+1)%3]
	cluster.propose(other, testCommand(3))
	cluster.run(3 * second)
	if !cluster.acknowledged["c3"] {
		t.Error("the majority committed no command")
	}
	if got := cluster.voters[leader].State().Subjects(DrainEngine); !reflect.DeepEqual(got, []string{"e1"}) {
		t.Errorf("the isolated voter has %v", got)
	}
	clear(cluster.cutLinks)
	cluster.run(5 * second)
	for _, n := range cluster.names {
		if got := cluster.voters[n].State().Subjects(DrainEngine); !slices.Contains(got, "e1") || !slices.Contains(got, "e3") {
			t.Errorf("after the links were restored, %s has %v", n, got)
		}
	}
}

var schedules = flag.Int("schedules", 40, "number of random schedules to run")

// A command that was answered as committed is applied at every voter despite crashes, cut links and message loss, and
// voters never have different states at one index.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	acknowledged := 0
	defer func() {
		if acknowledged < 150 {
			t.Errorf("only %d commands were acknowledged, too few for this test to be meaningful", acknowledged)
		}
	}()
	for seed := range uint64(*schedules) {
		cluster := newTestCluster(t, 3+2*int(seed%2), seed)
		cluster.run(2 * second)
		for i := range 12 {
			switch n := cluster.names[cluster.rng.IntN(len(cluster.names))]; cluster.rng.IntN(5) {
			case 0:
				cluster.kill(n)
			case 1:
				if cluster.voters[n] == nil {
					cluster.start(n)
				}
			case 2:
				other := cluster.names[cluster.rng.IntN(len(cluster.names))]
				cluster.cutLinks[[2]string{n, other}] = true
			case 3:
				clear(cluster.cutLinks)
			case 4:
				cluster.loss = cluster.rng.Float64() * 0.3
			}
			cluster.propose(cluster.names[cluster.rng.IntN(len(cluster.names))], testCommand(int(seed)*100+i))
			cluster.run(rules.Time(100+cluster.rng.IntN(1200)) * ms)
		}
		clear(cluster.cutLinks)
		cluster.loss = 0
		for _, n := range cluster.names {
			if cluster.voters[n] == nil {
				cluster.start(n)
			}
		}
		cluster.run(8 * second)
		if cluster.divergence != nil {
			t.Errorf("seed %d: %v", seed, cluster.divergence)
		}
		acknowledged += len(cluster.acknowledged)
		for id := range cluster.acknowledged {
			for _, n := range cluster.names {
				if !slices.Contains(cluster.voters[n].state.SeenIDs, id) {
					t.Errorf("seed %d: command %s was acknowledged, but %s has not applied it", seed, id, n)
				}
			}
		}
	}
}

// A voter whose disk was reset to an older state, or is empty, listens before it votes and recovers all directives.
func TestVoterThatLostItsLog(t *testing.T) {
	for _, diskLost := range []bool{false, true} {
		cluster := newTestCluster(t, 3, 5)
		cluster.run(3 * second)
		restarted := cluster.names[(slices.Index(cluster.names, cluster.leader())+1)%3]
		old := PersistedState{}
		for i := range 8 {
			if i == 2 && !diskLost {
				old = cluster.disks[restarted].clone()
			}
			cluster.propose("v0", testCommand(i))
			cluster.run(second)
		}
		cluster.kill(restarted)
		cluster.disks[restarted] = &disk{old}
		cluster.start(restarted)
		cluster.run(25 * second)
		if got := len(cluster.voters[restarted].state.Directives); got != 8 {
			t.Errorf("disk lost %v: it has %d of 8 directives; logged: %v", diskLost, got, cluster.logged)
		}
		if cluster.voters[restarted].Status().Listens {
			t.Errorf("disk lost %v: it still listens", diskLost)
		}
		if cluster.divergence != nil {
			t.Error(cluster.divergence)
		}
		if !slices.ContainsFunc(cluster.logged, func(s string) bool { return strings.HasPrefix(s, restarted+": directives: has listened long enough") }) {
			t.Errorf("disk lost %v: it did not listen before it voted: %v", diskLost, cluster.logged)
		}
	}
}

// A voter whose disk fails, leader or not, sends nothing that depends on the failed write, answers proposals with
// ErrDiskFailed, and rejoins after a restart. A command that is proposed while the leader's disk fails may be lost with
// the leader, but is committed when it is proposed again.
func TestDiskFails(t *testing.T) {
	for _, failLeader := range []bool{false, true} {
		cluster := newTestCluster(t, 3, 2)
		cluster.run(3 * second)
		leader := cluster.leader()
		i := slices.Index(cluster.names, leader)
		if i < 0 {
			t.Fatal("no leader after 3 s")
		}
		failing, healthy := cluster.names[(i+1)%3], cluster.names[(i+2)%3]
		if failLeader {
			failing = leader
		}
		cluster.failingDisks[failing] = true
		proposals := 1
		if failLeader {
			proposals = 4
		}
		for range proposals {
			if !cluster.acknowledged["c1"] {
				cluster.propose(healthy, testCommand(1))
				cluster.run(3 * second)
			}
		}
		if !cluster.acknowledged["c1"] {
			t.Errorf("leader fails %v: the two healthy voters committed no command", failLeader)
		}
		if !cluster.voters[failing].Status().Broken {
			t.Fatalf("leader fails %v: the voter does not report that its disk failed", failLeader)
		}
		cluster.propose(failing, testCommand(2))
		if !cluster.failed["c2"] {
			t.Errorf("leader fails %v: a voter whose disk failed accepted a command", failLeader)
		}
		delete(cluster.failingDisks, failing)
		cluster.kill(failing)
		cluster.start(failing)
		cluster.run(4 * second)
		if !slices.Contains(cluster.voters[failing].state.SeenIDs, "c1") {
			t.Errorf("leader fails %v: the restarted voter lacks a committed command", failLeader)
		}
	}
}

// A message that no voter would send is ignored. A message that contradicts the log stops the voter until a restart,
// without crashing the process, and the other voters go on.
func TestForgedMessages(t *testing.T) {
	committed := func(v *Voter) (index, term uint64) {
		index = v.Status().Commit
		term, err := v.storage.Term(index)
		if err != nil {
			t.Fatal(err)
		}
		return index, term
	}
	entry := func(index, term uint64) *pb.Entry {
		return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte("x")}
	}
	for _, c := range []struct {
		name   string
		change func(v *Voter, m *pb.Message)
		broken bool
	}{
		{"type used within a process only", func(_ *Voter, m *pb.Message) { m.Type = pb.MsgReadIndex.Enum() }, false},
		{"type used by the caller only", func(_ *Voter, m *pb.Message) { m.Type = pb.MsgTransferLeader.Enum() }, false},
		{"a proposal with a term", func(_ *Voter, m *pb.Message) {
			m.Type, m.Term, m.Entries = pb.MsgProp.Enum(), proto.Uint64(9), []*pb.Entry{entry(9, 9)}
		}, false},
		{"a proposal without entries", func(_ *Voter, m *pb.Message) { m.Type, m.Term = pb.MsgProp.Enum(), nil }, false},
		{"from the voter itself", func(_ *Voter, m *pb.Message) { m.Type, m.From = pb.MsgHeartbeat.Enum(), m.To }, false},
		{"entries that overwrite a committed one", func(v *Voter, m *pb.Message) {
			index, term := committed(v)
			m.Type, m.Index, m.LogTerm, m.Entries = pb.MsgApp.Enum(), proto.Uint64(index), proto.Uint64(term), []*pb.Entry{entry(index, term+9)}
		}, true},
	} {
		cluster := newTestCluster(t, 3, 6)
		cluster.run(3 * second)
		cluster.propose("v0", testCommand(1))
		cluster.run(second)
		i := (slices.Index(cluster.names, cluster.leader()) + 1) % 3
		name, v := cluster.names[i], cluster.voters[cluster.names[i]]
		m := &pb.Message{To: proto.Uint64(uint64(i + 1)), From: proto.Uint64(uint64((i+1)%3 + 1)), Term: proto.Uint64(99)}
		c.change(v, m)
		raw, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		logged := len(cluster.logged)
		cluster.handle(name, Received{From: cluster.names[m.GetFrom()-1], Data: raw})
		if v.Status().Broken != c.broken || len(cluster.logged) != logged+1 {
			t.Errorf("%s: broken %v, logged %v", c.name, v.Status().Broken, cluster.logged[logged:])
		}
		cluster.run(second)
		cluster.propose(name, testCommand(2))
		cluster.propose(cluster.names[(i+1)%3], testCommand(3))
		cluster.run(4 * second)
		if cluster.acknowledged["c2"] == c.broken || cluster.failed["c2"] != c.broken || !cluster.acknowledged["c3"] {
			t.Errorf("%s: acknowledged %v, failed %v", c.name, cluster.acknowledged, cluster.failed)
		}
	}
}

// No forged message makes a voter panic or hang.
func TestRandomMessages(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 77))
		cluster := newTestCluster(t, 3, seed)
		cluster.run(3 * second)
		cluster.propose("v0", testCommand(1))
		cluster.run(second)
		to := rng.IntN(3)
		smallNumber := func() *uint64 { return proto.Uint64(uint64(rng.IntN(10))) }
		for range 30 {
			from := rng.IntN(3)
			m := &pb.Message{Type: pb.MessageType(rng.IntN(len(pb.MessageType_name))).Enum(), To: proto.Uint64(uint64(to + 1)), From: proto.Uint64(uint64(from + 1)),
				Term: smallNumber(), LogTerm: smallNumber(), Index: smallNumber(), Commit: smallNumber(), Reject: proto.Bool(rng.IntN(2) == 0), RejectHint: smallNumber()}
			for range rng.IntN(3) {
				m.Entries = append(m.Entries, &pb.Entry{Index: smallNumber(), Term: smallNumber(), Data: []byte("x")})
			}
			if rng.IntN(4) == 0 {
				m.Snapshot = &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: smallNumber(), Term: smallNumber(), ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}, Data: []byte("{}")}
			}
			raw, err := proto.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			cluster.handle(cluster.names[to], Received{From: cluster.names[from], Data: raw})
			cluster.run(50 * ms)
		}
	}
}

// Long logs are compacted, and a voter that was down during the compaction receives a snapshot.
func TestSnapshots(t *testing.T) {
	cluster := newTestCluster(t, 3, 4)
	cluster.run(3 * second)
	cluster.kill("v1")
	for i := range 2 * compactThreshold {
		cluster.propose("v0", testCommand(i))
		cluster.run(150 * ms)
	}
	for n, d := range cluster.disks {
		if len(d.state.Entries) > 2*compactThreshold {
			t.Errorf("%s has %d entries on disk", n, len(d.state.Entries))
		}
	}
	cluster.start("v1")
	cluster.run(6 * second)
	if a, b := cluster.voters["v0"].state, cluster.voters["v1"].state; a.Index != b.Index || !reflect.DeepEqual(a.Directives, b.Directives) {
		t.Errorf("indexes %d and %d, %d and %d directives", a.Index, b.Index, len(a.Directives), len(b.Directives))
	}
}

func TestState(t *testing.T) {
	var state State
	apply := func(i uint64, c Command) error {
		raw := fmt.Sprintf(`{"id":%q,"op":%q,"kind":%q,"subject":%q,"value":%v}`, c.ID, c.Op, c.Kind, c.Subject, c.Value)
		_, err := state.applyEntry(i, []byte(raw))
		return err
	}
	for i, c := range []struct {
		Command
		err error
	}{
		{Command{"a", Set, Directive{Kind: DrainZone, Subject: "hall-a"}}, nil},
		{Command{"a", Unset, Directive{Kind: DrainZone, Subject: "hall-a"}}, nil}, // repeated ID: applied once
		{Command{"b", Set, Directive{Kind: SpilloverLimit, Value: 0.3}}, nil},
		{Command{"c", Unset, Directive{Kind: DrainZone, Subject: "hall-b"}}, ErrNotFound},
	} {
		if err := apply(uint64(i+2), c.Command); !errors.Is(err, c.err) {
			t.Errorf("%+v: %v", c.Command, err)
		}
	}
	if v, ok := state.Value(SpilloverLimit); !ok || v != 0.3 || !reflect.DeepEqual(state.Subjects(DrainZone), []string{"hall-a"}) || state.Index != 5 || len(state.History) != 3 {
		t.Errorf("%+v", state)
	}
	for _, c := range []Command{{}, {ID: "x", Op: "do", Directive: Directive{Kind: SpilloverLimit}}, {ID: "x", Op: Set, Directive: Directive{Kind: "dance", Subject: "y"}},
		{ID: "x", Op: Set, Directive: Directive{Kind: DrainZone}}, {ID: "x", Op: Set, Directive: Directive{Kind: SpilloverLimit, Value: 2}}} {
		if c.Validate() == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
	for i := range 2 * maxDirectives {
		_ = apply(uint64(i+10), testCommand(i))
	}
	for i := range 2 * maxDirectives {
		c := testCommand(0)
		c.ID, c.Subject = fmt.Sprint("m", i), fmt.Sprint("m", i)
		_ = apply(uint64(i+1000), c)
	}
	if len(state.Directives) > maxDirectives || len(state.History) > maxHistory || len(state.SeenIDs) > maxSeenIDs {
		t.Errorf("%d directives, %d changes in the history, %d seen IDs", len(state.Directives), len(state.History), len(state.SeenIDs))
	}
}
