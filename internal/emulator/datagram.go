package emulator

import (
	"math/rand/v2"
	"slices"

	"foxlane/internal/eventqueue"
	"foxlane/rules"
)

// This file models the datagrams that members send one another: they are delayed, lost, duplicated and reordered, links
// are cut by pair and direction, and members pause or end. It has no clock and no sockets, as the members have none.

// DatagramModel is what happens to datagrams on their way.
type DatagramModel struct {
	Loss, Duplicate    float64 // probabilities
	MinDelay, MaxDelay rules.Time
}

func (m *DatagramModel) drawDelay(rng *rand.Rand) rules.Time {
	return m.MinDelay + rules.Time(rng.Float64()*float64(m.MaxDelay-m.MinDelay))
}

// Member is a member of a DatagramNetwork.
type Member interface {
	// Receive takes a datagram, and calls send for each that the member sends. The data is valid during the call.
	Receive(now rules.Time, from string, data []byte, send func(to string, data []byte))
	// Tick is called at intervals, and calls send for each datagram that the member sends.
	Tick(now rules.Time, send func(to string, data []byte))
}

// DatagramNetwork is a network of members in virtual time.
type DatagramNetwork struct {
	Model              DatagramModel
	TickInterval       rules.Time // of each member
	Now                rules.Time
	SentBytes          map[string]int // by member
	PeakBytesPerSecond map[string]int // by member, the most that it sent within a second

	rng   *rand.Rand
	queue eventqueue.Queue
	nodes map[string]*node
	names []string // sorted
	cuts  map[[2]string]bool
}

// node is a member's process.
type node struct {
	name         string
	member       Member
	paused       bool // its process is stopped: what arrives waits
	incarnation  int
	backlog      []func()
	second       rules.Time
	sentInSecond int
}

// NewDatagramNetwork returns a network without members.
func NewDatagramNetwork(model DatagramModel, tickInterval, start rules.Time, seed uint64) *DatagramNetwork {
	return &DatagramNetwork{Model: model, TickInterval: tickInterval, Now: start, SentBytes: map[string]int{}, PeakBytesPerSecond: map[string]int{},
		rng: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)), nodes: map[string]*node{}, cuts: map[[2]string]bool{}}
}

// Add adds a member, or replaces the process of the member with that name.
func (t *DatagramNetwork) Add(name string, member Member) {
	n := t.nodes[name]
	if n == nil {
		n = &node{name: name}
		t.nodes[name] = n
		i, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, i, name)
	}
	n.incarnation++
	n.member, n.paused, n.backlog = member, false, nil
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation {
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

// SetPaused pauses a member or has it go on: then it handles at once what has arrived meanwhile.
func (t *DatagramNetwork) SetPaused(name string, on bool) {
	n := t.nodes[name]
	if n == nil {
		return
	}
	n.paused = on
	if backlog := n.backlog; !on {
		n.backlog = nil
		for _, handle := range backlog {
			handle()
		}
	}
}

// Cut cuts the link from one member to another in that direction, or restores it.
func (t *DatagramNetwork) Cut(from, to string, on bool) {
	if on {
		t.cuts[[2]string{from, to}] = true
	} else {
		delete(t.cuts, [2]string{from, to})
	}
}

// Partition cuts all links between members on different sides, and restores all others.
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

// After schedules a function.
func (t *DatagramNetwork) After(d rules.Time, run func()) { t.queue.Schedule(t.Now+d, run) }

// Run runs the network until a time.
func (t *DatagramNetwork) Run(until rules.Time) { t.queue.RunUntil(until, &t.Now) }

// maxBacklog is the number of datagrams that wait for a paused process. Further ones are lost, as in a socket's buffer.
const maxBacklog = 256

func (n *node) deliver(handle func()) {
	if !n.paused {
		handle()
	} else if len(n.backlog) < maxBacklog {
		n.backlog = append(n.backlog, handle)
	}
}

// sender returns the function by which a member sends.
func (t *DatagramNetwork) sender(n *node) func(to string, data []byte) {
	return func(to string, data []byte) {
		t.countSent(n, len(data))
		if t.cuts[[2]string{n.name, to}] || t.rng.Float64() < t.Model.Loss {
			return
		}
		copies := 1
		if t.rng.Float64() < t.Model.Duplicate {
			copies = 2
		}
		held := slices.Clone(data) // the sender reuses its buffer
		for range copies {
			t.After(t.Model.drawDelay(t.rng), func() { t.arrive(n.name, to, held) })
		}
	}
}

func (t *DatagramNetwork) countSent(n *node, bytes int) {
	t.SentBytes[n.name] += bytes
	if s := t.Now / rules.Second; s != n.second {
		n.second, n.sentInSecond = s, 0
	}
	n.sentInSecond += bytes
	t.PeakBytesPerSecond[n.name] = max(t.PeakBytesPerSecond[n.name], n.sentInSecond)
}

// arrive has a datagram arrive at the process that has the name now. It is lost if that process ends before handling it.
func (t *DatagramNetwork) arrive(from, to string, data []byte) {
	n := t.nodes[to]
	if n == nil {
		return
	}
	incarnation := n.incarnation
	n.deliver(func() {
		if n.incarnation == incarnation {
			n.member.Receive(t.Now, from, data, t.sender(n))
		}
	})
}
