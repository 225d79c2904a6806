package emulator

import (
	"math/rand/v2"
	"slices"

	"foxlane/rules"
)

// This file models what members of a fleet say to one another: datagrams that are late, lost, doubled and out of order, cuts by
// pair and direction, members that stand still or die. It is pure, as they are.

// DatagramModel is how ways between members are.
type DatagramModel struct {
	Loss, Duplicate    float64
	MinDelay, MaxDelay rules.Time // of a datagram's way
}

// Member is a member: what it hears, and what it says.
type Member interface {
	// Receive takes a datagram; Tick lets time pass. Both call say for each datagram of theirs.
	Receive(now rules.Time, from string, data []byte, say func(to string, data []byte))
	Tick(now rules.Time, say func(to string, data []byte))
}

// DatagramNetwork is a network of members.
type DatagramNetwork struct {
	Model              DatagramModel
	TickInterval       rules.Time // between ticks of a member
	Now                rules.Time
	SentBytes          map[string]int // bytes, by member
	PeakBytesPerSecond map[string]int // most bytes that a member sent within a second

	rng   *rand.Rand
	queue eventQueue
	nodes map[string]*node
	names []string // sorted
	cuts  map[[2]string]bool
}

type node struct {
	name         string
	member       Member
	paused       bool // its process stands still: what comes waits
	incarnation  int
	backlog      []func()
	second       rules.Time
	sentInSecond int
}

// NewDatagramNetwork returns a network without members.
func NewDatagramNetwork(m DatagramModel, every, start rules.Time, seed uint64) *DatagramNetwork {
	return &DatagramNetwork{Model: m, TickInterval: every, Now: start, SentBytes: map[string]int{}, PeakBytesPerSecond: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)),
		nodes: map[string]*node{}, cuts: map[[2]string]bool{}}
}

// Add adds a member, or puts another process in its place.
func (t *DatagramNetwork) Add(name string, s Member) {
	n := t.nodes[name]
	if n == nil {
		n = &node{name: name}
		t.nodes[name] = n
		i, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, i, name)
	}
	n.incarnation++
	n.member, n.paused, n.backlog = s, false, nil
	life := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != life {
			return
		}
		n.deliver(func() { n.member.Tick(t.Now, t.sender(n)) })
		t.After(t.TickInterval, tick)
	}
	t.After(rules.Time(t.rng.Int64N(int64(t.TickInterval))), tick)
}

// Remove ends a member's process.
func (t *DatagramNetwork) Remove(name string) {
	if n := t.nodes[name]; n != nil {
		n.incarnation++
		n.member = nil
		delete(t.nodes, name)
		t.names = slices.DeleteFunc(t.names, func(s string) bool { return s == name })
	}
}

// Names are the members, sorted.
func (t *DatagramNetwork) Names() []string { return t.names }

// SetPaused has a member stand still, or go on: then it hears at once what has come meanwhile.
func (t *DatagramNetwork) SetPaused(name string, on bool) {
	n := t.nodes[name]
	if n == nil {
		return
	}
	n.paused = on
	if waiting := n.backlog; !on {
		n.backlog = nil
		for _, do := range waiting {
			do()
		}
	}
}

// Cut has nothing come through from one member to another, or lets it again.
func (t *DatagramNetwork) Cut(from, to string, on bool) {
	if on {
		t.cuts[[2]string{from, to}] = true
	} else {
		delete(t.cuts, [2]string{from, to})
	}
}

// Partition parts the members into sides that hear nothing of one another. One side is no split.
func (t *DatagramNetwork) Partition(side func(name string) int) {
	clear(t.cuts)
	for _, a := range t.names {
		for _, b := range t.names {
			if side(a) != side(b) {
				t.cuts[[2]string{a, b}] = true
			}
		}
	}
}

// After does something later.
func (t *DatagramNetwork) After(d rules.Time, do func()) { t.queue.schedule(t.Now+d, do) }

// Run goes on until a time.
func (t *DatagramNetwork) Run(until rules.Time) {
	for {
		next, ok := t.queue.popUntil(until)
		if !ok {
			break
		}
		t.Now = next.at
		next.run()
	}
	t.Now = until
}

const maxBacklog = 256 // datagrams that a process which stands still is kept: the rest is lost, as in a socket's buffer

func (n *node) deliver(what func()) {
	if !n.paused {
		what()
	} else if len(n.backlog) < maxBacklog {
		n.backlog = append(n.backlog, what)
	}
}

func (t *DatagramNetwork) sender(n *node) func(to string, data []byte) {
	return func(to string, data []byte) {
		t.SentBytes[n.name] += len(data)
		if s := t.Now / rules.Second; s != n.second {
			n.second, n.sentInSecond = s, 0
		}
		n.sentInSecond += len(data)
		t.PeakBytesPerSecond[n.name] = max(t.PeakBytesPerSecond[n.name], n.sentInSecond)
		if t.cuts[[2]string{n.name, to}] || t.rng.Float64() < t.Model.Loss {
			return
		}
		copies := 1
		if t.rng.Float64() < t.Model.Duplicate {
			copies = 2
		}
		held := append([]byte(nil), data...)
		for range copies {
			t.After(t.Model.MinDelay+rules.Time(t.rng.Float64()*float64(t.Model.MaxDelay-t.Model.MinDelay)), func() {
				if o := t.nodes[to]; o != nil {
					life := o.incarnation
					o.deliver(func() {
						if o.incarnation == life {
							o.member.Receive(t.Now, n.name, held, t.sender(o))
						}
					})
				}
			})
		}
	}
}
