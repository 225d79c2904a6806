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

// disk is what a voter has kept: what is on its way is lost when it dies.
type disk struct{ kept Kept }

func (d *disk) keep(b Batch) {
	if b.Snap != nil {
		d.kept.Snap, d.kept.Entries = proto.Clone(b.Snap).(*pb.Snapshot), nil
	}
	for _, e := range b.Entries {
		for len(d.kept.Entries) > 0 && d.kept.Entries[len(d.kept.Entries)-1].GetIndex() >= e.GetIndex() {
			d.kept.Entries = d.kept.Entries[:len(d.kept.Entries)-1]
		}
		d.kept.Entries = append(d.kept.Entries, proto.Clone(e).(*pb.Entry))
	}
	if b.Hard != nil {
		d.kept.Hard = proto.Clone(b.Hard).(*pb.HardState)
	}
}

func (d *disk) copy() Kept {
	k := Kept{Born: d.kept.Born, Entries: slices.Clone(d.kept.Entries)}
	if d.kept.Hard != nil {
		k.Hard = proto.Clone(d.kept.Hard).(*pb.HardState)
	}
	if d.kept.Snap != nil {
		k.Snap = proto.Clone(d.kept.Snap).(*pb.Snapshot)
	}
	return k
}

// parliament is voters on a network that loses, delays and cuts.
type parliament struct {
	t      *testing.T
	rng    *rand.Rand
	now    rules.Time
	names  []string
	voters map[string]*Voter
	disks  map[string]*disk
	cut    map[[2]string]bool
	loss   float64
	queue  []letter
	acks   map[string]bool // ids that were answered as holding
	failed map[string]bool
	asks   map[uint64]string
	told   []string
	full   map[string]bool // disks that fail
	books  map[uint64]string
	split  error
}

type letter struct {
	at       rules.Time
	from, to string
	data     []byte
	kept     bool // it is not a letter, but the word that a disk is done
	ok       bool
	life     *Voter
}

func newParliament(t *testing.T, n int, seed uint64) *parliament {
	p := &parliament{t: t, rng: rand.New(rand.NewPCG(seed, 9)), voters: map[string]*Voter{}, disks: map[string]*disk{}, cut: map[[2]string]bool{},
		acks: map[string]bool{}, failed: map[string]bool{}, asks: map[uint64]string{}, full: map[string]bool{}, books: map[uint64]string{}}
	for i := range n {
		p.names = append(p.names, fmt.Sprint("v", i))
	}
	for _, name := range p.names {
		p.disks[name] = &disk{Kept{Born: true}}
		p.start(name)
	}
	return p
}

func (p *parliament) start(name string) {
	v, err := NewVoter(Settings{Self: name, Voters: p.names, Tick: 100 * ms}, p.disks[name].copy(), p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	p.voters[name] = v
}

func (p *parliament) kill(name string) { delete(p.voters, name) }

func (p *parliament) tell(name string, e Event) {
	v := p.voters[name]
	if v == nil {
		return
	}
	for _, f := range v.Handle(p.now, e) {
		switch f.Kind {
		case Send:
			if !p.cut[[2]string{name, f.To}] && p.rng.Float64() >= p.loss {
				p.queue = append(p.queue, letter{at: p.now + rules.Time(1+p.rng.IntN(60))*ms, from: name, to: f.To, data: slices.Clone(f.Data)})
			}
		case Persist:
			ok := !p.full[name]
			if ok {
				p.disks[name].keep(f.Batch)
			}
			p.queue = append(p.queue, letter{at: p.now + 2*ms, to: name, kept: true, ok: ok, life: v})
		case Answer:
			if id := p.asks[f.Ask]; f.Err == nil {
				p.acks[id] = true
			} else {
				p.failed[id] = true
			}
		case Applied:
			book := fmt.Sprint(v.book.Held)
			if was, ok := p.books[f.Index]; ok && was != book {
				p.split = fmt.Errorf("books of index %d differ: %s and %s", f.Index, was, book)
			}
			p.books[f.Index] = book
		case Told:
			p.told = append(p.told, name+": "+f.Text)
		}
	}
}

// run goes on for a while.
func (p *parliament) run(d rules.Time) {
	for until := p.now + d; p.now < until; p.now += ms {
		if (p.now/ms)%100 == 0 {
			for _, name := range p.names {
				p.tell(name, Event{Kind: Tick})
			}
		}
		var due []letter
		p.queue = slices.DeleteFunc(p.queue, func(l letter) bool {
			if l.at <= p.now {
				due = append(due, l)
				return true
			}
			return false
		})
		for _, l := range due {
			v := p.voters[l.to]
			switch {
			case v == nil || l.kept && v != l.life:
			case l.kept:
				p.tell(l.to, Event{Kind: Persisted, OK: l.ok})
			case v.Forgotten(l.from, l.data):
				p.tell(l.to, Event{})
			default:
				p.tell(l.to, Event{Kind: Came, From: l.from, Data: l.data})
			}
		}
	}
}

var asks uint64

func (p *parliament) ask(name string, c Command) {
	asks++
	p.asks[asks] = c.ID
	p.tell(name, Event{Kind: Propose, Command: c, Ask: asks})
}

func order(i int) Command {
	return Command{ID: fmt.Sprint("c", i), Op: Set, Directive: Directive{Kind: DrainEngine, Subject: fmt.Sprint("e", i%40), Value: float64(i)}}
}

func (p *parliament) leader() string {
	for _, n := range p.names {
		if v := p.voters[n]; v != nil && v.Status().Leader == n {
			return n
		}
	}
	return ""
}

// A command holds at all voters; a minority takes none and keeps what it has; healed, all have the same.
func TestQuorum(t *testing.T) {
	p := newParliament(t, 3, 1)
	p.run(4 * second)
	p.ask("v0", order(1))
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
	p.ask(lead, order(2))
	p.run(8 * second)
	if p.acks["c2"] || !p.failed["c2"] {
		t.Error("a voter on its own has taken a command, or never answered")
	}
	other := p.names[(slices.Index(p.names, lead)+1)%3]
	p.ask(other, order(3))
	p.run(3 * second)
	if !p.acks["c3"] {
		t.Error("the majority takes no command")
	}
	if got := p.voters[lead].Book().Of(DrainEngine); !reflect.DeepEqual(got, []string{"e1"}) {
		t.Errorf("the minority holds %v", got)
	}
	clear(p.cut)
	p.run(5 * second)
	for _, n := range p.names {
		if got := p.voters[n].Book().Of(DrainEngine); !slices.Contains(got, "e1") || !slices.Contains(got, "e3") {
			t.Errorf("healed, %s holds %v", n, got)
		}
	}
}

var schedules = flag.Int("schedules", 40, "random schedules that are played")

// Whatever crashes, is cut off, or loses: a command that was answered as holding holds, and books of one index are the same.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	acknowledged := 0
	defer func() {
		if acknowledged < 150 {
			t.Errorf("%d commands were acknowledged: the test has lost its subject", acknowledged)
		}
	}()
	for seed := range uint64(*schedules) {
		p := newParliament(t, 3+2*int(seed%2), seed)
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
			p.ask(p.names[p.rng.IntN(len(p.names))], order(int(seed)*100+i))
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
		if p.split != nil {
			t.Errorf("seed %d: %v", seed, p.split)
		}
		acknowledged += len(p.acks)
		for id := range p.acks {
			for _, n := range p.names {
				if !slices.Contains(p.voters[n].book.Seen, id) {
					t.Errorf("seed %d: %s was acknowledged, and %s does not have it", seed, id, n)
				}
			}
		}
	}
}

// A voter whose disk is an old copy of itself, or is gone, listens before it votes, and has all again in the end.
func TestVoterThatForgot(t *testing.T) {
	for _, gone := range []bool{false, true} {
		p := newParliament(t, 3, 5)
		p.run(3 * second)
		who := p.names[(slices.Index(p.names, p.leader())+1)%3]
		old := Kept{}
		for i := range 8 {
			if i == 2 && !gone {
				old = p.disks[who].copy()
			}
			p.ask("v0", order(i))
			p.run(second)
		}
		p.kill(who)
		p.disks[who] = &disk{old}
		p.start(who)
		p.run(25 * second)
		if got := len(p.voters[who].book.Held); got != 8 {
			t.Errorf("gone %v: it holds %d of 8 directives; told: %v", gone, got, p.told)
		}
		if p.voters[who].Status().Listens {
			t.Errorf("gone %v: it still listens", gone)
		}
		if p.split != nil {
			t.Error(p.split)
		}
		if !slices.ContainsFunc(p.told, func(s string) bool { return strings.HasPrefix(s, who+": directives: has listened long enough") }) {
			t.Errorf("gone %v: it did not listen before it voted: %v", gone, p.told)
		}
	}
}

// A disk that fails, of a voter that leads and of one that does not: the voter says nothing that rests on it, answers
// that it is broken, and is back after a restart. What was asked of a leader in that moment may be lost with it; asked
// again it holds.
func TestDiskFails(t *testing.T) {
	for _, leads := range []bool{false, true} {
		p := newParliament(t, 3, 2)
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
		p.full[bad] = true
		times := 1
		if leads {
			times = 4
		}
		for range times {
			if !p.acks["c1"] {
				p.ask(good, order(1))
				p.run(3 * second)
			}
		}
		if !p.acks["c1"] {
			t.Errorf("leads %v: two voters with disks take no command", leads)
		}
		if !p.voters[bad].Status().Broken {
			t.Fatalf("leads %v: the third does not say that its disk failed", leads)
		}
		p.ask(bad, order(2))
		if !p.failed["c2"] {
			t.Errorf("leads %v: a voter whose disk failed takes a command", leads)
		}
		delete(p.full, bad)
		p.kill(bad)
		p.start(bad)
		p.run(4 * second)
		if !slices.Contains(p.voters[bad].book.Seen, "c1") {
			t.Errorf("leads %v: after its restart it lacks what was committed", leads)
		}
	}
}

// Long logs are compacted, and one that was away long takes a snapshot.
func TestSnapshots(t *testing.T) {
	p := newParliament(t, 3, 4)
	p.run(3 * second)
	p.kill("v1")
	for i := range 2 * compactAfter {
		p.ask("v0", order(i))
		p.run(150 * ms)
	}
	for n, d := range p.disks {
		if len(d.kept.Entries) > 2*compactAfter {
			t.Errorf("%s keeps %d entries", n, len(d.kept.Entries))
		}
	}
	p.start("v1")
	p.run(6 * second)
	if a, b := p.voters["v0"].book, p.voters["v1"].book; a.Index != b.Index || !reflect.DeepEqual(a.Held, b.Held) {
		t.Errorf("at index %d and %d, %d and %d directives", a.Index, b.Index, len(a.Held), len(b.Held))
	}
}

func TestBook(t *testing.T) {
	var b Book
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
		{Command{"b", Set, Directive{Kind: Spill, Value: 0.3}}, nil},
		{Command{"c", Unset, Directive{Kind: DrainZone, Subject: "hall-b"}}, ErrNone},
	} {
		if err := put(uint64(i+2), c.Command); !errors.Is(err, c.err) {
			t.Errorf("%+v: %v", c.Command, err)
		}
	}
	if v, ok := b.Value(Spill); !ok || v != 0.3 || !reflect.DeepEqual(b.Of(DrainZone), []string{"hall-a"}) || b.Index != 5 || len(b.History) != 3 {
		t.Errorf("%+v", b)
	}
	for _, c := range []Command{{}, {ID: "x", Op: "do", Directive: Directive{Kind: Spill}}, {ID: "x", Op: Set, Directive: Directive{Kind: "dance", Subject: "y"}},
		{ID: "x", Op: Set, Directive: Directive{Kind: DrainZone}}, {ID: "x", Op: Set, Directive: Directive{Kind: Spill, Value: 2}}} {
		if c.Validate() == nil {
			t.Errorf("%+v passes", c)
		}
	}
	for i := range 2 * mostDirectives {
		_ = put(uint64(i+10), order(i))
	}
	for i := range 2 * mostDirectives {
		c := order(0)
		c.ID, c.Subject = fmt.Sprint("m", i), fmt.Sprint("m", i)
		_ = put(uint64(i+1000), c)
	}
	if len(b.Held) > mostDirectives || len(b.History) > mostHistory || len(b.Seen) > mostSeen {
		t.Errorf("%d held, %d in the history, %d seen", len(b.Held), len(b.History), len(b.Seen))
	}
}
