package harness

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxlane/internal/faultproxy"
	"foxlane/internal/standin"
)

// Books are what clients and engines saw of a run.
type Books struct {
	Seconds      []Second
	Classes      []ClassBooks
	Breaches     []string // of rules, as seen from outside
	Fallen       int      // times that a cold engine was sent more than it bears
	Attempts     int      // that reached engines
	Tries        int      // of clients, at gateways
	RSSMB        float64  // of the gateways, the mean, before they end
	CPU          float64  // seconds of all gateways
	Ordered      []string // directives that a gateway said to hold
	Unheld       int      // orders that got another answer
	Copies       int      // most entries that a gateway held of all, by its log
	Cross        int      // attempts that reached another zone than their gateway's
	Ways         map[string]faultproxy.Counts
	Verdicts     [verdicts]int
	Kept         int // results that gateways said to keep, and that were read again
	Pauses       int // of the rig itself, which can't judge what came meanwhile
	LongestPause time.Duration
	Late         int           // answers behind their time that were not lost
	SlowestDrain time.Duration // longest time from when a gateway was told of a drain to a request of it there
	Events       []Event       // faults, and states of zones as gateways logged them, in order

	rig   *Rig
	start time.Time
	mu    sync.Mutex
	byID  map[string]*try
	last  uint64
	most  int // breaches kept

	byKey  map[turn][]*try       // tries of ordered classes that came to engines
	atOnce []pair                // of them, such that came while another one with their key ran
	extras map[*gateway][]extra  // further attempts, by gateway
	opened map[*gateway][]opened // tries, by gateway
}

// Second is one of a run, by when clients first asked.
type Second struct {
	Offered, Worth float64   // worth; Worth is what was served in time, and what late answers still earn
	To             []float64 // work that reached each zone's engines, in seconds of a core
	Foreign        []float64 // of it, from gateways of other zones
	Refused        []int     // first tries, by class
	Again          int       // refused tries that were not the first
	Failed         int
	Turned         int // tries that found no gateway
}

// ClassBooks are those of one class.
type ClassBooks struct {
	Name                                      string
	Asked, InTime, Late, Refused, Failed, Ran int
}

// Event is something that happened, so long after the start.
type Event struct {
	At   time.Duration
	Who  string // a gateway, or "fault"
	Text string
	Zone string
}

// try is one request at one gateway.
type try struct {
	id      string
	request *request
	gateway *gateway // nil: nobody sent it
	work    time.Duration
	zone    string // of its gateway
	ran     int    // times that an engine took it
	sentAt  time.Time
	due     time.Time
	goneAt  time.Time // when its client left, or killed it; zero: it has not
	ranAt   time.Time // when an engine first took it
	life    int64     // of its gateway
	runEnd  time.Time // when its latest run ends, if nothing ends it earlier
	endedAt time.Time // when its client had the final answer; zero: not yet
}

func newBooks(r *Rig) *Books {
	b := &Books{rig: r, start: time.Now(), byID: map[string]*try{}, most: 20, byKey: map[turn][]*try{},
		extras: map[*gateway][]extra{}, opened: map[*gateway][]opened{}, Ways: map[string]faultproxy.Counts{}}
	for _, c := range r.classes {
		b.Classes = append(b.Classes, ClassBooks{Name: c.name})
	}
	return b
}

// at is the second of a time. The books are locked.
func (b *Books) at(t time.Time) *Second {
	i := max(0, int(t.Sub(b.start)/time.Second))
	for len(b.Seconds) <= i {
		b.Seconds = append(b.Seconds, Second{To: make([]float64, len(b.rig.Zones)), Foreign: make([]float64, len(b.rig.Zones)),
			Refused: make([]int, len(b.rig.classes))})
	}
	return &b.Seconds[i]
}

func (b *Books) count(do func(*Second)) {
	b.mu.Lock()
	do(b.at(time.Now()))
	b.mu.Unlock()
}

func (b *Books) offer(q *request) {
	b.mu.Lock()
	b.at(q.at).Offered += b.rig.classes[q.class].worth
	b.Classes[q.class].Asked++
	b.mu.Unlock()
}

// open gives a try its id.
func (b *Books) open(q *request, g *gateway, left time.Duration) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	b.Tries++
	id := fmt.Sprintf("%08x%08x", uint32(b.rig.Seed*2654435761), b.last)
	now := time.Now()
	b.opened[g] = append(b.opened[g], opened{now, g.life.Load()})
	b.byID[id] = &try{id: id, request: q, gateway: g, work: q.work, zone: g.zone, sentAt: now, due: now.Add(left), life: g.life.Load()}
	return id
}

// late notes an answer behind its time.
func (b *Books) late() {
	b.mu.Lock()
	b.Late++
	b.mu.Unlock()
}

// answered notes that a client had its final answer, or an end without one.
func (b *Books) answered(id string) {
	b.mu.Lock()
	b.byID[id].endedAt = time.Now()
	b.mu.Unlock()
}

// gone notes that a client has left its try, or killed it.
func (b *Books) gone(id string) {
	b.mu.Lock()
	b.byID[id].goneAt = time.Now()
	b.mu.Unlock()
}

// asked notes that an engine got a query, and returns what it is. One of an unsafe class must come once only.
func (b *Books) asked(a standin.Ask, e *engine, now time.Time) *try {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := a.ID
	t := b.byID[id]
	if t == nil {
		if !strings.HasPrefix(id, "ff") { // of a rogue client
			b.judgeLocked(WrongAnswer, "an engine was asked for %q, which no client has sent", id)
		}
		return &try{work: time.Millisecond}
	}
	ttl, _ := strconv.Atoi(a.Fields["ttl"])
	b.judgeAsk(t, e, now, time.Duration(ttl)*time.Millisecond)
	b.Attempts++
	b.Classes[t.request.class].Ran++
	s := b.at(time.Now())
	for i, z := range b.rig.Zones {
		if z.Name == e.zone {
			if s.To[i] += t.work.Seconds(); z.Name != t.zone {
				s.Foreign[i] += t.work.Seconds()
				b.Cross++
			}
		}
	}
	c := &b.rig.classes[t.request.class]
	if t.ran++; t.ran == 1 {
		t.ranAt = now
	}
	b.judgeKeeping(t, e, now)
	outside := c.window > 0 && now.Sub(t.ranAt) > c.window+sockSlack+rigSlack+b.rig.slowest(t.gateway.party, e.party)
	if t.ran > 1 && (c.unsafe || outside) {
		b.judgeLocked(Duplicated, "%s of class %s came to an engine %d times, %v apart", id, c.name, t.ran, now.Sub(t.ranAt).Round(time.Millisecond))
	}
	return t
}

// turned notes that an engine has not taken what it was asked for: it never ran.
func (b *Books) turned(t *try) {
	b.mu.Lock()
	t.ran--
	b.mu.Unlock()
}

func (b *Books) served(q *request, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.served {
		return
	}
	q.served = true
	c := b.rig.classes[q.class]
	if took <= c.aim+time.Duration(aimStretch*float64(q.work)) {
		b.at(q.at).Worth += c.worth
		b.Classes[q.class].InTime++
		return
	}
	b.at(q.at).Worth += 0.2 * c.worth
	b.Classes[q.class].Late++
}

func (b *Books) refused(q *request, harmless, resent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(time.Now())
	switch {
	case harmless && resent:
		s.Again++
		return
	case harmless:
		s.Refused[q.class]++
		b.Classes[q.class].Refused++
		return
	}
	s.Failed++
	b.Classes[q.class].Failed++
}

func (b *Books) breach(format string, args ...any) {
	b.mu.Lock()
	b.note1(format, args...)
	b.mu.Unlock()
}

func (b *Books) note1(format string, args ...any) {
	if len(b.Breaches) < b.most {
		b.Breaches = append(b.Breaches, fmt.Sprintf("at %.2f s: ", time.Since(b.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (b *Books) note(f *Fault) {
	b.mu.Lock()
	b.Events = append(b.Events, Event{At: time.Since(b.start), Who: "fault", Text: strings.TrimSpace(f.Kind + " " + f.Of + f.From + " " + f.To), Zone: f.Of})
	b.mu.Unlock()
}

// log takes the states of zones, and what became of its talk, from a gateway's log.
func (b *Books) log(g *gateway) {
	for _, line := range strings.Split(g.log.String(), "\n") {
		var l struct {
			Msg, Zone, From, To string
			TS                  string
			Member              string
			Entries             int
		}
		if json.Unmarshal([]byte(line), &l) != nil {
			continue
		}
		text := ""
		switch l.Msg {
		case "zone":
			text = l.From + " > " + l.To
		case "members: joined", "members: left", "members: talk ends", "members: a name comes twice":
			text = strings.TrimSpace(l.Msg + " " + l.Member)
		case "copies":
			b.Copies = max(b.Copies, l.Entries)
			continue
		default:
			continue
		}
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", l.TS)
		if err != nil {
			continue
		}
		b.Events = append(b.Events, Event{At: at.Sub(b.start), Who: g.name, Text: text, Zone: l.Zone})
	}
}

// Share is the part of the worth offered from one second to another that was served.
func (b *Books) Share(from, to int) float64 {
	offered, worth := 0.0, 0.0
	for i := from; i < min(to, len(b.Seconds)); i++ {
		offered += b.Seconds[i].Offered
		worth += b.Seconds[i].Worth
	}
	if offered <= 0 {
		return 1
	}
	return worth / offered
}

// Parts are how the work that reached engines from one second to another spread over the zones.
func (b *Books) Parts(from, to int) []float64 {
	out, sum := make([]float64, len(b.rig.Zones)), 0.0
	for i := from; i < min(to, len(b.Seconds)); i++ {
		for z, w := range b.Seconds[i].To {
			out[z] += w
			sum += w
		}
	}
	for z := range out {
		out[z] /= max(sum, 1e-9)
	}
	return out
}

// Amplification is attempts that reached engines over requests of clients.
func (b *Books) Amplification() float64 {
	asked := 0
	for _, c := range b.Classes {
		asked += c.Asked
	}
	return float64(b.Attempts) / float64(max(1, asked))
}

// Entered counts the gateways at which a zone has entered a state.
func (b *Books) Entered(zone, state string) int {
	seen := map[string]bool{}
	for _, e := range b.Events {
		if e.Zone == zone && strings.HasSuffix(e.Text, "> "+state) {
			seen[e.Who] = true
		}
	}
	return len(seen)
}

// String tells all on a page.
func (b *Books) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "share %.3f; %d tries, %d attempts at engines, %d across zones; cold engines fell %d times\n", b.Share(0, len(b.Seconds)), b.Tries,
		b.Attempts, b.Cross, b.Fallen)
	for _, c := range b.Classes {
		fmt.Fprintf(&s, "%-8s %5d asked %5d in time %4d late %4d refused %3d failed, ran %d\n", c.Name, c.Asked, c.InTime, c.Late, c.Refused, c.Failed, c.Ran)
	}
	for i, sec := range b.Seconds {
		fmt.Fprintf(&s, "%3d s  %.2f  to zones", i, b.Share(i, i+1))
		for _, w := range sec.To {
			fmt.Fprintf(&s, " %5.2f", w)
		}
		fmt.Fprintf(&s, "  refused %v again %d failed %d turned %d\n", sec.Refused, sec.Again, sec.Failed, sec.Turned)
	}
	for _, e := range b.Events {
		fmt.Fprintf(&s, "%6.2f %s %s %s\n", e.At.Seconds(), e.Who, e.Zone, e.Text)
	}
	for _, x := range b.Breaches {
		fmt.Fprintln(&s, "BREACH", x)
	}
	return s.String()
}
