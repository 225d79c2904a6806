package emulator

import (
	"math/rand/v2"
	"slices"

	"foxlane/rules"
)

// This file models what members of a fleet say to one another: datagrams that are late, lost, doubled and out of order, cuts by
// pair and direction, members that stand still or die. It is pure, as they are.

// TalkModel is how ways between members are.
type TalkModel struct {
	Loss, Double float64
	Least, Most  rules.Time // of a datagram's way
}

// Speaker is a member: what it hears, and what it says.
type Speaker interface {
	// Hear takes a datagram; Tick lets time pass. Both call say for each datagram of theirs.
	Hear(now rules.Time, from string, data []byte, say func(to string, data []byte))
	Tick(now rules.Time, say func(to string, data []byte))
}

// Talk is a network of members.
type Talk struct {
	Model TalkModel
	Every rules.Time // between ticks of a member
	Now   rules.Time
	Sent  map[string]int // bytes, by member
	Peak  map[string]int // most bytes that a member sent within a second

	rng    *rand.Rand
	agenda agenda
	nodes  map[string]*talker
	names  []string // sorted
	cuts   map[[2]string]bool
}

type talker struct {
	name    string
	speaker Speaker
	still   bool // its process stands still: what comes waits
	life    int
	waiting []func()
	second  rules.Time
	sent    int
}

// NewTalk returns a network without members.
func NewTalk(m TalkModel, every, start rules.Time, seed uint64) *Talk {
	return &Talk{Model: m, Every: every, Now: start, Sent: map[string]int{}, Peak: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 0xa0761d6478bd642f)),
		nodes: map[string]*talker{}, cuts: map[[2]string]bool{}}
}

// Add adds a member, or puts another process in its place.
func (t *Talk) Add(name string, s Speaker) {
	n := t.nodes[name]
	if n == nil {
		n = &talker{name: name}
		t.nodes[name] = n
		i, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, i, name)
	}
	n.life++
	n.speaker, n.still, n.waiting = s, false, nil
	life := n.life
	var tick func()
	tick = func() {
		if n.life != life {
			return
		}
		n.do(func() { n.speaker.Tick(t.Now, t.say(n)) })
		t.After(t.Every, tick)
	}
	t.After(rules.Time(t.rng.Int64N(int64(t.Every))), tick)
}

// Remove ends a member's process.
func (t *Talk) Remove(name string) {
	if n := t.nodes[name]; n != nil {
		n.life++
		n.speaker = nil
		delete(t.nodes, name)
		t.names = slices.DeleteFunc(t.names, func(s string) bool { return s == name })
	}
}

// Names are the members, sorted.
func (t *Talk) Names() []string { return t.names }

// Freeze has a member stand still, or go on: then it hears at once what has come meanwhile.
func (t *Talk) Freeze(name string, on bool) {
	n := t.nodes[name]
	if n == nil {
		return
	}
	n.still = on
	if waiting := n.waiting; !on {
		n.waiting = nil
		for _, do := range waiting {
			do()
		}
	}
}

// Cut has nothing come through from one member to another, or lets it again.
func (t *Talk) Cut(from, to string, on bool) {
	if on {
		t.cuts[[2]string{from, to}] = true
	} else {
		delete(t.cuts, [2]string{from, to})
	}
}

// Split parts the members into sides that hear nothing of one another. One side is no split.
func (t *Talk) Split(side func(name string) int) {
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
func (t *Talk) After(d rules.Time, do func()) { t.agenda.add(t.Now+d, do) }

// Run goes on until a time.
func (t *Talk) Run(until rules.Time) {
	for {
		next, ok := t.agenda.next(until)
		if !ok {
			break
		}
		t.Now = next.at
		next.do()
	}
	t.Now = until
}

const mostWaiting = 256 // datagrams that a process which stands still is kept: the rest is lost, as in a socket's buffer

func (n *talker) do(what func()) {
	if !n.still {
		what()
	} else if len(n.waiting) < mostWaiting {
		n.waiting = append(n.waiting, what)
	}
}

func (t *Talk) say(n *talker) func(to string, data []byte) {
	return func(to string, data []byte) {
		t.Sent[n.name] += len(data)
		if s := t.Now / rules.Second; s != n.second {
			n.second, n.sent = s, 0
		}
		n.sent += len(data)
		t.Peak[n.name] = max(t.Peak[n.name], n.sent)
		if t.cuts[[2]string{n.name, to}] || t.rng.Float64() < t.Model.Loss {
			return
		}
		copies := 1
		if t.rng.Float64() < t.Model.Double {
			copies = 2
		}
		held := append([]byte(nil), data...)
		for range copies {
			t.After(t.Model.Least+rules.Time(t.rng.Float64()*float64(t.Model.Most-t.Model.Least)), func() {
				if o := t.nodes[to]; o != nil {
					life := o.life
					o.do(func() {
						if o.life == life {
							o.speaker.Hear(t.Now, n.name, held, t.say(o))
						}
					})
				}
			})
		}
	}
}
