package zones

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"foxlane/rules"
)

const (
	ms     = rules.Millisecond
	second = rules.Second
)

// hall is a zone of 100 cores of which a part is well, all of it warm.
func hall(well float64) Sight {
	return Sight{Listed: 100, Well: 100 * well, Warm: 100 * well, Engines: 4}
}

// play shows the same sights for a while and returns the last of them.
func (z *Zones) play(from, length rules.Time, sights ...Sight) rules.Time {
	for now := from; now < from+length; now += 50 * ms {
		z.See(now, sights)
	}
	return from + length
}

func three() *Zones { return New(Defaults(), 3, 0, 0.5, 0) }

func TestLossAndReturn(t *testing.T) {
	z := three()
	now := z.play(1, second, hall(1), hall(1), hall(1))
	z.See(now, []Sight{hall(0), hall(1), hall(1)})
	if s := z.Status(now)[0]; s.State != Failing || s.Share != 1 {
		t.Fatalf("at the first sign %v with a share of %v", s.State, s.Share)
	}
	now = z.play(now, second, hall(0), hall(1), hall(1))
	if s := z.Status(now)[0]; s.State != Lost || s.Share != 0 || s.Losses != 1 {
		t.Fatalf("after a second %+v", s)
	}
	if to := z.Split(now).To; to[0] != 0 || math.Abs(to[1]-0.5) > 1e-9 || math.Abs(to[2]-0.5) > 1e-9 {
		t.Fatalf("the lost zone's gateways send to %v", to)
	}
	now = z.play(now, 600*ms, hall(1), hall(1), hall(1))
	if s := z.Status(now)[0]; s.State != Returning || s.Share != 0 {
		t.Fatalf("back for 0.6 s, our jitter not over: %+v", s)
	}
	last := 0.0
	for range 30 {
		now = z.play(now, 500*ms, hall(1), hall(1), hall(1))
		s := z.Status(now)[0]
		if s.Share < last || s.Share > last+0.05 {
			t.Fatalf("the share went from %v to %v within half a second of a ramp of 15 s", last, s.Share)
		}
		last = s.Share
	}
	now = z.play(now, 5*second, hall(1), hall(1), hall(1))
	if s := z.Status(now)[0]; s.State != Present || s.Share != 1 {
		t.Fatalf("in the end %+v", s)
	}
}

// A zone that is half well stays as it is, whichever way it came there.
func TestHysteresis(t *testing.T) {
	z := three()
	now := z.play(1, 5*second, hall(0.5), hall(1), hall(1))
	if s := z.Status(now)[0].State; s != Present {
		t.Errorf("present and half well: %v", s)
	}
	now = z.play(now, second, hall(0.2), hall(1), hall(1))
	now = z.play(now, 5*second, hall(0.5), hall(1), hall(1))
	if s := z.Status(now)[0].State; s != Lost {
		t.Errorf("lost and half well: %v", s)
	}
	now = z.play(now, 400*ms, hall(0.8), hall(1), hall(1))
	z.play(now, 100*ms, hall(0.5), hall(1), hall(1))
	if s := z.Status(now + 600*ms)[0].State; s != Lost {
		t.Errorf("well for less than the settling time: %v", s)
	}
}

// After its third loss a zone that flaps every 2 s is kept away until it has been still, and no longer than the longest.
func TestFlapsAreDamped(t *testing.T) {
	for _, every := range []rules.Time{2 * second, 10 * second, 60 * second} {
		z := three()
		z.set.Ramp = second
		now, returns := rules.Time(1), 0
		for flap := range 12 {
			now = z.play(now, every, hall(0), hall(1), hall(1))
			before := z.Status(now)[0].State
			for range every / (50 * ms) {
				for _, c := range z.See(now, []Sight{hall(1), hall(1), hall(1)}) {
					if c.Zone == 0 && c.To == Returning && flap >= 3 {
						returns++
					}
				}
				now += 50 * ms
			}
			if before != Lost && before != Failing {
				t.Fatalf("%v: not lost: %v", every, before)
			}
		}
		t.Logf("flaps every %d s: %d returns in 9 flaps after the third", every/second, returns)
		if every == 2*second && returns > 0 || every == 60*second && returns != 9 {
			t.Errorf("flaps every %d s: %d returns in 9 flaps after the third", every/second, returns)
		}
		now = z.play(now, z.set.Damping.Longest+2*second, hall(1), hall(1), hall(1))
		if s := z.Status(now)[0]; s.State != Present {
			t.Errorf("flaps every %d s, then still for the longest time: %+v", every/second, s)
		}
	}
}

// All that we have out in a zone is silent: that is a cut link at once, however well its engines are held to be.
func TestSilenceOfAZoneIsACut(t *testing.T) {
	z := three()
	cut := hall(1)
	cut.Silent = cut.Engines
	now := z.play(1, second, cut, hall(1), hall(1))
	if s := z.Status(now)[0]; s.State != Lost || s.Losses != 1 {
		t.Errorf("%+v", s)
	}
	one := Sight{Listed: 100, Well: 100, Warm: 100, Engines: 1, Silent: 1}
	z = three()
	now = z.play(1, second, one, hall(1), hall(1))
	if s := z.Status(now)[0]; s.State != Present {
		t.Errorf("a zone of one engine, silent for a moment: %+v", s)
	}
}

func TestDrainOnPurpose(t *testing.T) {
	z := three()
	all := []Sight{hall(1), hall(1), hall(1)}
	now := z.play(1, second, all...)
	z.DrainZone(now, 0, true)
	now = z.play(now, 5*second, all...)
	if s := z.Status(now)[0]; s.State != Draining || math.Abs(s.Share-0.5) > 0.02 {
		t.Fatalf("half way %+v", s)
	}
	if to := z.Split(now).To; math.Abs(to[0]-0.7) > 0.02 {
		t.Errorf("half drained, it keeps %v of its load: half of its capacity counts 1.4 times", to[0])
	}
	now = z.play(now, 6*second, all...)
	if s := z.Status(now)[0]; s.State != Drained || s.Losses != 0 {
		t.Fatalf("in the end %+v", s)
	}
	z.DrainZone(now, 0, false)
	now = z.play(now, 19*second, all...)
	if s := z.Status(now)[0].State; s != Present {
		t.Errorf("drained, then not: %v", s)
	}
}

// Where too little is well to believe it, health is let pass: leaving so much out would push the rest over.
func TestPanic(t *testing.T) {
	z := three()
	now := z.play(1, 2*second, hall(0), hall(0), hall(0.9))
	s := z.Split(now)
	if !s.Panic || math.Abs(s.To[0]-1.0/3) > 1e-9 {
		t.Errorf("two of three zones lost: %+v", s)
	}
}

func TestTiersInOrder(t *testing.T) {
	set := Defaults()
	set.Tiers = map[int][][]int{0: {{2}}}
	z := New(set, 4, 0, 0, 0)
	now := z.play(1, 2*second, hall(0), hall(1), hall(1), hall(1))
	if to := z.Split(now).To; to[2] != 1 {
		t.Errorf("lost, with zone 2 preferred: %v", to)
	}
	now = z.play(now, 2*second, hall(0), hall(1), hall(0.5), hall(1))
	if to := z.Split(now).To; math.Abs(to[2]-0.7) > 1e-9 || math.Abs(to[1]-0.15) > 1e-9 {
		t.Errorf("and half of zone 2 gone: %v", to)
	}
	if s := z.Split(now + 1); s.Panic {
		t.Error("5 of 8 well is no panic")
	}
}

// A zone whose engines have died and left the list is not taken for whole.
func TestHalfOfAZoneLeavesTheList(t *testing.T) {
	z := New(Defaults(), 2, 0, 0, 0)
	now := z.play(1, 2*second, hall(1), hall(1))
	half := Sight{Listed: 50, Well: 50, Warm: 50, Engines: 2}
	now = z.play(now, second, half, hall(1))
	if to := z.Split(now).To; math.Abs(to[0]-0.7) > 0.02 {
		t.Errorf("half of it off the list: it keeps %v of its load, 0.7 wanted", to[0])
	}
	now = z.play(now, 5*z.set.Damping.Longest, half, hall(1))
	if to := z.Split(now).To; to[0] < 0.99 {
		t.Errorf("half of it gone for long: it keeps %v of its load", to[0])
	}
}

// 300 gateways that all see a zone's limit keep to it together, with queries larger and smaller than their part.
func TestSpillStaysUnderItsLimit(t *testing.T) {
	for _, work := range []rules.Time{5 * ms, 2 * second} {
		const gateways = 300
		set := Defaults()
		sent, limit := 0.0, set.Spill*100
		all := make([]*Zones, gateways)
		for i := range all {
			all[i] = New(set, 2, 0, 0, 0)
		}
		const length = 20 * second
		for now := rules.Time(1); now < length; now += 100 * ms {
			for i, z := range all {
				z.See(now, []Sight{hall(0), hall(1)})
				_, lot := math.Modf(float64(i)*math.Phi + float64(now/second)*0.37)
				for range 4 {
					if ok, back := z.Spill(now, 1, float64(work), gateways, lot); ok {
						sent += float64(work)
					} else if back <= now {
						t.Fatalf("refused at %d, to come back at %d", now, back)
					}
				}
			}
		}
		if cores := sent / float64(length); cores > limit*1.1 || cores < limit*0.7 {
			t.Errorf("queries of %d ms: %v cores of foreign load, the limit is %v", work/ms, cores, limit)
		}
	}
}

// The ladder goes up one rung at a time, comes down with slack, and refuses the dearest class last.
func TestLadder(t *testing.T) {
	z := three()
	press := func(from rules.Time, p float64) (h int) {
		for now := from; now < from+4*second; now += 100 * ms {
			h = z.Press(now, p, 3)
		}
		return h
	}
	if h := press(1, 1); h != 0 {
		t.Fatalf("no pressure: %d rungs", h)
	}
	for i, p := range []float64{1.15, 1.3, 1.45, 1.6, 9} {
		h := press(rules.Time(i+1)*10*second, p)
		if h != min(i+1, 4) {
			t.Errorf("pressure %v: %d rungs", p, h)
		}
		if z.Sheds(Kind{Rank: 2}) || z.Sheds(Kind{Rank: 0, MayHaveRun: true}) {
			t.Errorf("pressure %v: the dearest class, or what may have run, is refused", p)
		}
		for _, c := range []struct {
			kind Kind
			from int
		}{{Kind{OverShare: true, Rank: 2}, 1}, {Kind{Repeat: true, Rank: 2}, 2}, {Kind{Rank: 0}, 3}, {Kind{Rank: 1}, 4}} {
			if got := z.Sheds(c.kind); got != (h >= c.from) {
				t.Errorf("pressure %v: %+v refused: %v", p, c.kind, got)
			}
		}
	}
	if h := press(100*second, 1.5); h != 4 {
		t.Errorf("pressure back to 1.5, within the slack of the rung at 1.55: %d rungs", h)
	}
	if h := press(110*second, 1.4); h != 3 {
		t.Errorf("pressure back to 1.4: %d rungs", h)
	}
}

// Whatever is seen: parts add up to one and lie within 0 and 1, nothing goes to a zone that lists nothing, a share
// never jumps up, and what is drained gets nothing while another zone is there.
func TestSplitIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "zones")
		z := New(Defaults(), n, rapid.IntRange(0, n-1).Draw(t, "own"), rapid.Float64Range(0, 1).Draw(t, "jitter"), 0)
		now := rules.Time(1)
		before := z.Status(now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			gap := rules.Time(rapid.IntRange(1, 3000).Draw(t, "gap")) * ms
			now += gap
			sights := make([]Sight, n)
			listed := 0.0
			for i := range sights {
				s := Sight{Listed: rapid.Float64Range(0, 200).Draw(t, "listed"), Slow: rapid.Float64Range(0, 9).Draw(t, "slow"),
					Engines: rapid.IntRange(0, 4).Draw(t, "engines")}
				s.Well = s.Listed * rapid.Float64Range(0, 1.1).Draw(t, "well")
				s.Warm = s.Well * rapid.Float64Range(0, 1).Draw(t, "warm")
				s.Silent = rapid.IntRange(0, s.Engines).Draw(t, "silent")
				sights[i] = s
				listed += s.Listed
			}
			if rapid.Bool().Draw(t, "drains") {
				z.DrainZone(now, rapid.IntRange(0, n-1).Draw(t, "zone"), rapid.Bool().Draw(t, "on"))
			}
			z.See(now, sights)
			status := z.Status(now)
			for i := range status {
				if up := status[i].Share - before[i].Share; up > float64(gap)/float64(z.set.Ramp)+1e-9 {
					t.Fatalf("the share of zone %d rose by %v in %d ms", i, up, gap/ms)
				}
			}
			before = status
			split, sum := z.Split(now), 0.0
			for i, p := range split.To {
				if math.IsNaN(p) || p < 0 || p > 1+1e-9 {
					t.Fatalf("parts %v", split.To)
				}
				if p > 0 && sights[i].Listed <= 0 {
					t.Fatalf("zone %d lists nothing and gets %v", i, p)
				}
				sum += p
			}
			if listed > 0 && math.Abs(sum-1) > 1e-9 || listed == 0 && sum != 0 {
				t.Fatalf("parts %v add up to %v, %v cores are listed", split.To, sum, listed)
			}
		}
	})
}

// A plan of three halls: the loss of one is taken by the others within the limit of spill, and its return is paced.
func TestPlan(t *testing.T) {
	sc := Scenario{
		Zones:   []ZoneSpec{{"a", 100, 60}, {"b", 100, 60}, {"c", 100, 60}},
		Classes: []ClassSpec{{"point", 0.1, 2}, {"report", 0.6, 0}, {"load", 0.3, 1}},
		Lose:    []int{0}, At: 5 * second, Back: 30 * second, Unlisted: 3 * second, Notice: 2 * second,
		ColdFrom: 0.33, ColdFor: 15 * second, Length: 60 * second,
	}
	for _, m := range Play(Defaults(), sc) {
		at := int(m.At / second)
		asked := 0.0
		for _, z := range m.Zones {
			asked += z.Own + z.Foreign + z.Held + z.Shed
			if z.Foreign > Defaults().Spill*100+1e-9 {
				t.Errorf("second %d: %v cores of foreign load", at, z.Foreign)
			}
		}
		if math.Abs(asked-m.Asked) > 1e-6 {
			t.Errorf("second %d: %v cores asked for, %v accounted for", at, m.Asked, asked)
		}
		if (at < 5 || at > 55) && (m.Left > 1e-6 || m.Zones[0].Own < 59) {
			t.Errorf("second %d, all is well: %+v", at, m)
		}
		if at > 7 && at < 30 && (m.Zones[0].Own+m.Zones[0].Foreign > 1e-9 || m.Left > 1) {
			t.Errorf("second %d, a is lost and its clients fit the others: %+v", at, m)
		}
		if at == 33 && (m.Zones[0].Own > 30 || m.Zones[0].State != Returning) {
			t.Errorf("second %d, a is back for 3 s: %+v", at, m.Zones[0])
		}
	}
}
