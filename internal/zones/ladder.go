package zones

import (
	"errors"
	"math"

	"foxlane/rules"
)

// This file decides what is refused first when more is asked for than can be done: a ladder, each rung of which is one kind
// of request. As much is shed as must be, from the first rung up; of the rung on which that ends only a part. What a request
// earns for its work counts, not its class: a class shed as a whole takes its many light requests along with the few heavy ones
// that need the room, and lost 0.07 of all worth in the model of a lost site.

// Rung is a kind of request that a ladder sheds.
type Rung int

// Rungs, in the order in which they are climbed.
const (
	OverShare Rung = iota // of tenants over their share
	Repeats               // of requests that failed before
	Cheap                 // of those that earn least for their work, and further rungs up to those that earn most
)

// Rungs by what a request earns for a second of work on one core: half a power of two each, the middle one at 1.
const (
	worthRungs = 48
	perDouble  = 2
)

// WorthRung is the place of a request among the rungs by worth, from 0: work in microseconds, all threads together.
func WorthRung(worth, work float64) int {
	if worth <= 0 || work <= 0 {
		return 0
	}
	return min(max(int(math.Floor(perDouble*math.Log2(worth*float64(rules.Second)/work)))+worthRungs/2, 0), worthRungs-1)
}

// Ladder is how it is climbed. Pressure is 1 and what waits over what is worked off within heldSpan.
type Ladder struct {
	Up     float64    // pressure from which more is shed
	Slack  float64    // less is shed when pressure is this much under it
	Settle rules.Time // how long either must last
}

// DefaultLadder sheds nothing until a quarter of heldSpan's work waits.
func DefaultLadder() Ladder {
	return Ladder{Up: 1.25, Slack: 0.1, Settle: 500 * rules.Millisecond}
}

func (l Ladder) validate() error {
	if !(l.Up > 1) || !(l.Slack >= 0 && l.Slack < l.Up-1) || l.Settle < 0 {
		return errors.New("shedding: up must be over 1, slack at least 0 and under up - 1, settle at least 0")
	}
	return nil
}

const (
	demandSpan  = 4 * rules.Second // over which what is asked for and done is averaged
	heldOver    = rules.Second     // over which what waits is averaged
	heldSpan    = 2 * rules.Second // within which what waits should be worked off
	drainSpan   = 4 * rules.Second // within which a queue that is too long should be gone
	shedGrow    = 0.5              // most of what is asked for that a second adds to what is shed
	shedEase    = 0.02             // and that a second without a queue takes away,
	shedFade    = 0.4              // or this part of what is shed, whichever is more
	shedMost    = 0.95             // what earns most is let in even then
	shareChance = 2.0              // deviations by which a tenant may pass its share by chance
	pressedFor  = 2 * rules.Second // what was shed or kept waiting within it makes one stretch
	leastReturn = rules.Second
)

// demand is what our clients ask for, and what becomes of it.
type demand struct {
	rungs   []demandRung
	done    fading   // work that was sent on for the first time
	held    float64  // work that waits, averaged
	tenants []fading // requests
	usual   []float64
	at      rules.Time // of the last look
	turning rules.Time // since when more, or less, should be shed
	up      bool       // which of the two
	part    float64    // of what is asked for that is shed
	now     float64    // pressure
}

// demandRung is one kind of request. Of a part that is shed every so many are: carry is what is left over.
type demandRung struct {
	asked fading // work
	part  float64
	carry float64
}

// fading is a sum that forgets, by e in demandSpan.
type fading struct {
	sum float64
	at  rules.Time
}

func (f *fading) now(now rules.Time) float64 {
	f.sum *= math.Exp(-float64(now-f.at) / float64(demandSpan))
	f.at = now
	return f.sum
}

func (f *fading) add(now rules.Time, x float64) { f.sum = f.now(now) + x }

func newDemand(f Fleet) demand {
	d := demand{tenants: make([]fading, len(f.Tenants)), rungs: make([]demandRung, int(Cheap)+worthRungs)}
	for i := range d.rungs { // gateways that shed alike begin apart
		_, d.rungs[i].carry = math.Modf(f.Jitter + float64(i)*math.Phi)
	}
	return d
}

// Ask is what is known of a request ahead of the decision module: nothing of it has run here.
type Ask struct {
	Class  int
	Tenant int
	Work   float64 // told, all threads together, in microseconds; 0: not told
	Repeat bool    // its client has tried before
}

// Arrive takes a request before anything of it runs. If it is refused, after is how long its client should stay away.
func (z *Zones) Arrive(now rules.Time, a Ask) (refuse bool, after rules.Time) {
	z.now = max(z.now, now)
	d := &z.demand
	work := a.Work
	if work <= 0 && a.Class < len(d.usual) {
		work = d.usual[a.Class]
	}
	rung := Cheap
	switch over := z.overShare(a.Tenant); {
	case over:
		rung = OverShare
	case a.Repeat:
		rung = Repeats
	case a.Class < len(z.fleet.Classes):
		rung += Rung(WorthRung(z.fleet.Classes[a.Class].PriorityWeight, work))
	}
	r := &d.rungs[rung]
	r.asked.add(z.now, work)
	if !z.set.Shed || r.part <= 0 {
		return false, 0
	}
	if r.carry += r.part; r.carry < 1 {
		return false, 0
	}
	r.carry--
	z.count.Shed[min(rung, Cheap)]++
	z.noteShed()
	return true, z.Return(z.now)
}

// overShare counts a tenant's request, and answers whether its tenant asks for more than its agreed share here.
func (z *Zones) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(z.demand.tenants) || z.fleet.Tenants[tenant].QuotaPerSecond <= 0 {
		return false
	}
	f := &z.demand.tenants[tenant]
	f.add(z.now, 1)
	part := z.fleet.Tenants[tenant].QuotaPerSecond * float64(demandSpan) / float64(rules.Second) / float64(z.fleet.Gateways)
	return f.sum > part+shareChance*math.Sqrt(part)+1
}

// press takes the pressure anew, and how much is shed.
func (z *Zones) press(s rules.LoadSummary) {
	d, set := &z.demand, z.set.Ladder
	d.usual = s.MeanWork
	if z.since != 0 && z.now-z.last > pressedFor {
		z.since = 0
	}
	gap := z.now - d.at
	if d.at == 0 {
		gap = 0
	}
	d.at = z.now
	d.held += (s.QueuedWork - d.held) * -math.Expm1(-float64(gap)/float64(heldOver))
	d.now = 1 + d.held/float64(heldSpan)/max(d.done.now(z.now)/float64(demandSpan), z.leastRate())
	if !z.set.Shed {
		d.part = 0
		z.shed(0)
		return
	}
	up, down := d.now >= set.Up, d.part > 0 && d.now < set.Up-set.Slack
	switch {
	case !up && !down:
		d.turning = 0
	case d.turning == 0 || d.up != up:
		d.turning, d.up = max(z.now, 1), up
	}
	if d.turning != 0 && z.now-d.turning >= set.Settle {
		step := float64(gap) / float64(rules.Second)
		if up {
			d.part = min(max(d.part, z.excess()), d.part+shedGrow*step)
		} else {
			d.part -= max(shedEase, d.part*shedFade) * step
		}
	}
	d.part = min(max(d.part, 0), shedMost)
	z.shed(d.part)
}

// excess is the part of what is asked for that can't be done, while a queue stands: then what is done is all that can be, and some
// of that is for the queue.
func (z *Zones) excess() float64 {
	d := &z.demand
	asked := 0.0
	for i := range d.rungs {
		asked += d.rungs[i].asked.now(z.now)
	}
	done := d.done.now(z.now)
	queue := (d.now - z.set.Ladder.Up) * done * float64(heldSpan) / float64(drainSpan)
	return 1 - (done-min(queue, done/2))/max(asked, 1e-9)
}

// leastRate is a rate of work, in cores, under which a gateway does too little to tell a pressure: a request of each class in
// the time over which it is averaged.
func (z *Zones) leastRate() (sum float64) {
	for _, w := range z.demand.usual {
		sum += w
	}
	return max(sum/float64(demandSpan), 1e-9)
}

// shed spreads a part of what is asked for over the rungs, from the first one up.
func (z *Zones) shed(part float64) {
	d := &z.demand
	total := 0.0
	for i := range d.rungs {
		total += d.rungs[i].asked.now(z.now)
	}
	left := part * total
	for i := range d.rungs {
		r := &d.rungs[i]
		r.part = 0
		if left > 0 {
			r.part = 1
			if r.asked.sum > left {
				r.part = left / r.asked.sum
			}
			left -= r.part * r.asked.sum
		}
	}
}

// noteShed notes that something was shed or kept waiting.
func (z *Zones) noteShed() {
	if z.since == 0 {
		z.since = max(z.now, 1)
	}
	z.last = z.now
}

// Return is how long a client that is refused should stay away, 0 if nothing of the zones keeps it waiting: until a zone that
// returns has its share again, else as long as it has lasted, since that is all that is known of an outage.
func (z *Zones) Return(now rules.Time) rules.Time {
	z.now = max(z.now, now)
	if z.since == 0 {
		return 0
	}
	longest := max(z.set.Ramp, leastReturn)
	for i := range z.all {
		if e := &z.all[i]; e.state == Returning {
			return min(max(rules.Time((1-z.share(e))*float64(z.set.Ramp)), leastReturn), longest)
		}
	}
	return min(max(z.now-z.since, leastReturn), longest)
}

// Shedding tells the pressure, the part of what is asked for that is shed, and what limits have done since the start.
func (z *Zones) Shedding() (pressure, part float64, counts Counts) {
	return z.demand.now, z.demand.part, z.count
}
