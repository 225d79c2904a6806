package zones

import (
	"errors"

	"foxlane/rules"
)

// This file decides what is refused first when less is left than is asked for: a ladder, each rung of which adds
// one kind of request to what is refused.

// Rung is a kind of request that a ladder sheds.
type Rung int

// Rungs, in the order in which they are climbed.
const (
	OverShare Rung = iota // of tenants over their share
	Repeats               // of requests that failed before
	Cheap                 // of the class that earns least for its work; one rung for each class but the dearest
)

// Ladder is how it is climbed. Pressure is what is asked for over what there is to take it.
type Ladder struct {
	Up     float64    // pressure from which the first rung is entered
	Step   float64    // and this much more for each further one
	Slack  float64    // a rung is left when pressure is this much under where it was entered
	Settle rules.Time // how long either must last
}

// DefaultLadder refuses nothing until a tenth more is asked for than there is.
func DefaultLadder() Ladder {
	return Ladder{Up: 1.1, Step: 0.15, Slack: 0.1, Settle: 500 * rules.Millisecond}
}

func (l Ladder) validate() error {
	if !(l.Up > 0) || !(l.Step >= 0) || !(l.Slack > 0 && l.Slack < l.Up) || l.Settle < 0 {
		return errors.New("ladder: up and slack must be over 0, slack under up, step and settle at least 0")
	}
	return nil
}

// ladder is where we stand on it.
type ladder struct {
	height  int        // rungs entered
	turning rules.Time // since when the next rung, or the one below, is called for; 0: neither is
	up      bool       // which of the two
}

// Kind is what a ladder must know of a request.
type Kind struct {
	OverShare  bool // its tenant is over its share
	Repeat     bool // it failed before, here or elsewhere
	Rank       int  // of its class by what it earns for its work: 0 earns least
	MayHaveRun bool // an attempt of an unsafe class is out or may have run: refusing would promise too much
}

// Press takes the pressure as it is now, for a site of so many classes, and returns how many rungs are entered.
func (z *Zones) Press(now rules.Time, pressure float64, classes int) int {
	z.now = max(z.now, now)
	l, set := &z.ladder, z.set.Ladder
	most := int(Cheap) + max(classes-1, 0)
	enter := func(rung int) float64 { return set.Up + set.Step*float64(rung) }
	up := l.height < most && pressure >= enter(l.height)
	down := l.height > 0 && pressure < enter(l.height-1)-set.Slack
	switch {
	case !up && !down:
		l.turning = 0
	case l.turning == 0 || l.up != up:
		l.turning, l.up = max(z.now, 1), up
	}
	if l.turning != 0 && z.now-l.turning >= set.Settle {
		l.turning = max(z.now, 1)
		if up {
			l.height++
		} else {
			l.height--
		}
	}
	return l.height
}

// Sheds answers whether a request is refused on the rungs that are entered. What may have run is never refused.
func (z *Zones) Sheds(k Kind) bool {
	h := z.ladder.height
	switch {
	case k.MayHaveRun:
		return false
	case h > int(OverShare) && k.OverShare, h > int(Repeats) && k.Repeat:
		return true
	}
	return h > int(Cheap)+k.Rank
}
