package emulator

import (
	"math/rand/v2"
	"slices"

	"foxlane/internal/eventqueue"
	"foxlane/rules"
)

// This file models a datagram network between members: it delays, loses, duplicates and reorders datagrams, cuts links
// by pair and direction, and pauses or removes members. It runs in virtual time, without sockets.

// DatagramModel holds the loss, duplication and delay of datagrams. Delays are uniform between the bounds.
type DatagramModel struct {
	Loss, Duplicate    float64 // probabilities
	MinDelay, MaxDelay rules.Time
}

func (m *DatagramModel) drawDelay(rng *rand.Rand) rules.Time {
	return m.MinDelay + rules.Time(rng.Float64()*float64(m.MaxDelay-m.MinDelay))
}

// Member is a member of a DatagramNetwork.
type Member interface {
	// Receive handles a datagram, and calls send for each datagram that the member sends. Data is valid only during
	// the call.
	Receive(now rules.Time, from string, data []byte, send func(to string, data []byte))
	// Tick is called periodically, and calls send for each datagram that the member sends.
	Tick(now rules.Time, send func(to string, data []byte))
}

// DatagramNetwork simulates a network of members in virtual time.
type DatagramNetwork struct {
	Model              DatagramModel
	TickInterval       rules.Time // between two calls of a member's Tick
	Now                rules.Time
	SentBytes          map[string]int // total, by member
	PeakBytesPerSecond map[string]int // by member: the maximum sent within one second

	rng   *rand.Rand
	queue eventqueue.Queue
	nodes map[string]*node
	names []string // sorted
	cuts  map[[2]string]bool
}

// node is the process of a member.
type node struct {
	name         string
	member       Member
	paused       bool // what arrives is added to backlog
	incarnation  int  // incremented when the process is replaced or removed
	backlog      []func()
	second       rules.Time // of virtual time, in seconds, that sentInSecond counts
	sentInSecond int
}

// NewDatagramNetwork returns a network without members, whose virtual time begins at start.
func NewDatagramNetwork(model DatagramModel, tickInterval, start rules.Time, seed uint64) *DatagramNetwork {
	return &DatagramNetwork{Model: model, TickInterval: tickInterval, Now: start, SentBytes: map[string]int{}, PeakBytesPerSecond: map[string]int{},
		rng: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)), nodes: map[string]*node{}, cuts: map[[2]string]bool{}}
}

// Add adds a member, or replaces the process of the member with that name. Its first tick comes at a random time within
// TickInterval.
func (d *DatagramNetwork) Add(name string, member Member) {
	n := d.nodes[name]
	if n == nil {
		n = &node{name: name}
		d.nodes[name] = n
		i, _ := slices.BinarySearch(d.names, name)
		d.names = slices.Insert(d.names, i, name)
	}
	n.incarnation++
	n.member, n.paused, n.backlog = member, false, nil
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation {
			return
		}
		n.deliver(func() { n.member.Tick(d.Now, d.sender(n)) })
		d.After(d.TickInterval, tick)
	}
	d.After(rules.Time(d.rng.Int64N(int64(d.TickInterval))), tick)
}

// Remove ends a member's process.
func (d *DatagramNetwork) Remove(name string) {
	if n := d.nodes[name]; n != nil {
		n.incarnation++
		n.member = nil
		delete(d.nodes, name)
		d.names = slices.DeleteFunc(d.names, func(s string) bool { return s == name })
	}
}

// Names returns the sorted names of the members.
func (d *DatagramNetwork) Names() []string { return d.names }

// SetPaused pauses or resumes a member. A member that resumes handles its backlog at once.
func (d *DatagramNetwork) SetPaused(name string, paused bool) {
	n := d.nodes[name]
	if n == nil {
		return
	}
	n.paused = paused
	if backlog := n.backlog; !paused {
		n.backlog = nil
		for _, handle := range backlog {
			handle()
		}
	}
}

// Cut cuts or restores the link from one member to another, in that direction only.
func (d *DatagramNetwork) Cut(from, to string, cut bool) {
	if cut {
		d.cuts[[2]string{from, to}] = true
	} else {
		delete(d.cuts, [2]string{from, to})
	}
}

// Partition cuts all links between members for which side differs, and restores all others.
func (d *DatagramNetwork) Partition(side func(name string) int) {
	clear(d.cuts)
	for _, a := range d.names {
		for _, b := range d.names {
			if side(a) != side(b) {
				d.cuts[[2]string{a, b}] = true
			}
		}
	}
}

// After schedules a function call after a delay.
func (d *DatagramNetwork) After(delay rules.Time, run func()) { d.queue.Schedule(d.Now+delay, run) }

// Run processes events until the given virtual time.
func (d *DatagramNetwork) Run(until rules.Time) { d.queue.RunUntil(until, &d.Now) }

// maxBacklog is the maximum number of events that wait for a paused process. Further ones are lost, as with a full
// socket buffer.
const maxBacklog = 256

// deliver handles an event now, or adds it to the backlog of a paused process.
func (n *node) deliver(handle func()) {
	if !n.paused {
		handle()
	} else if len(n.backlog) < maxBacklog {
		n.backlog = append(n.backlog, handle)
	}
}

// sender returns the send function that is passed to a member.
func (d *DatagramNetwork) sender(n *node) func(to string, data []byte) {
	return func(to string, data []byte) {
		d.countSent(n, len(data))
		if d.cuts[[2]string{n.name, to}] || d.rng.Float64() < d.Model.Loss {
			return
		}
		copies := 1
		if d.rng.Float64() < d.Model.Duplicate {
			copies = 2
		}
		payload := slices.Clone(data) // the sender reuses its buffer
		for range copies {
			d.After(d.Model.drawDelay(d.rng), func() { d.arrive(n.name, to, payload) })
		}
	}
}

func (d *DatagramNetwork) countSent(n *node, bytes int) {
	d.SentBytes[n.name] += bytes
	if second := d.Now / rules.Second; second != n.second {
		n.second, n.sentInSecond = second, 0
	}
	n.sentInSecond += bytes
	d.PeakBytesPerSecond[n.name] = max(d.PeakBytesPerSecond[n.name], n.sentInSecond)
}

// arrive delivers a datagram to the current process of a member. The datagram is lost if that process ends before it
// handles it.
func (d *DatagramNetwork) arrive(from, to string, data []byte) {
	n := d.nodes[to]
	if n == nil {
		return
	}
	incarnation := n.incarnation
	n.deliver(func() {
		if n.incarnation == incarnation {
			n.member.Receive(d.Now, from, data, d.sender(n))
		}
	})
}
