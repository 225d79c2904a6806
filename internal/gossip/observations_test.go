package gossip

import (
	"fmt"
	"testing"

	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

const (
	ms     = rules.Millisecond
	second = rules.Second
	start  = 1000 * second
)

// testFleet is a gateway with others that say things.
type testFleet struct {
	*Observations
	store  *replica.Store
	others []*replica.Store
}

func newTestFleet(others int) *testFleet {
	set := func(name string) replica.Settings {
		s := replica.Defaults()
		s.Name, s.Incarnation = name, 1
		return s
	}
	p := &testFleet{store: replica.New(set("us"), start)}
	p.Observations = New(Defaults(), p.store, start)
	for i := range others {
		name := fmt.Sprint("n", i)
		o := replica.New(set(name), start)
		o.Handle(start, replica.Event{Kind: replica.Joined, Member: replica.Member{Name: "us"}})
		p.store.Handle(start, replica.Event{Kind: replica.Joined, Member: replica.Member{Name: name}})
		p.others = append(p.others, o)
	}
	return p
}

// report has one of the others write, and us hear it.
func (p *testFleet) report(now rules.Time, i int, k replica.Kind, subject uint64, v ...float32) {
	var value replica.Value
	copy(value[:], v)
	p.others[i].Put(now, replica.Key{Kind: k, Subject: subject}, value)
	for _, f := range p.others[i].Handle(now, replica.Event{Kind: replica.Tick}) {
		if f.Kind == replica.Send {
			p.store.Handle(now, replica.Event{Kind: replica.Received, Member: replica.Member{Name: fmt.Sprint("n", i)}, Data: f.Data})
		}
	}
}

func engines(ids ...rules.EngineID) (v View) {
	for _, id := range ids {
		v.Engines = append(v.Engines, zones.EngineObservation{Engine: id})
	}
	return v
}

// One that says an engine fails moves nothing; two have us look, now and then, at a bounded number; what they said long ago counts no more.
func TestTwoObserversAreNeeded(t *testing.T) {
	p := newTestFleet(3)
	v := engines(1, 2, 3, 4)
	p.report(start, 0, replica.EngineFault, 2, 1)
	if w := p.Evaluate(start, v); len(w.Probe) != 0 {
		t.Fatalf("one observer has us look at %v", w.Probe)
	}
	p.report(start+ms, 1, replica.EngineFault, 2, 1)
	if w := p.Evaluate(start+ms, v); len(w.Probe) != 1 || w.Probe[0] != 2 {
		t.Fatalf("two observers have us look at %v", w.Probe)
	}
	if w := p.Evaluate(start+200*ms, v); len(w.Probe) != 0 {
		t.Errorf("looked at again after 200 ms: %v", w.Probe)
	}
	if w := p.Evaluate(start+1200*ms, v); len(w.Probe) != 1 {
		t.Errorf("not looked at again after 1.2 s")
	}
	left := engines(1, 2)
	left.Engines[1].Excluded = true
	if w := p.Evaluate(start+2500*ms, left); len(w.Probe) != 0 {
		t.Errorf("we leave it out ourselves, and look for hearsay: %v", w.Probe)
	}
	if w := p.Evaluate(start+Defaults().MaxReportAge+100*ms, v); len(w.Probe) != 0 {
		t.Errorf("looked at for what was said long ago: %v", w.Probe)
	}
	p.report(start+6*second, 0, replica.EngineFault, 3, 1)
	p.report(start+6*second, 1, replica.EngineFault, 3, 1)
	p.report(start+6*second, 1, replica.EngineFault, 3, 0)
	if w := p.Evaluate(start+6*second+ms, v); len(w.Probe) != 0 {
		t.Errorf("one of two has taken it back: %v", w.Probe)
	}
	for id := range uint64(4) {
		for i := range 2 {
			p.report(start+8*second, i, replica.EngineFault, id+1, 1)
		}
	}
	if w := p.Evaluate(start+8*second, v); len(w.Probe) > Defaults().MaxProbes {
		t.Errorf("%d looks at one time", len(w.Probe))
	}
}

// A zone that two others hold to be lost is doubted; one that we hold to be lost, or that one other does, is not.
func TestZonesAreSuspected(t *testing.T) {
	p := newTestFleet(3)
	v := View{Zones: []zones.Status{{State: zones.Present}, {State: zones.Lost}, {State: zones.Present}}}
	for i := range 2 {
		for zone := range uint64(2) {
			p.report(start, i, replica.ZoneState, zone, float32(zones.Lost))
		}
	}
	p.report(start, 2, replica.ZoneState, 2, float32(zones.Lost))
	if w := p.Evaluate(start, v); len(w.Suspect) != 1 || w.Suspect[0] != 0 {
		t.Errorf("doubted: %v", w.Suspect)
	}
}

// One that has just started learns classes from others, once; one that lies moves little; own samples go first; later nothing is taken.
func TestClassesAreLearnedOnce(t *testing.T) {
	p := newTestFleet(5)
	v := View{Learned: make([]rules.ClassEstimate, 2)}
	v.Learned[1].SampleWeight = 20 // our own
	for i := range 5 {
		ratio := float32(1.5)
		if i == 4 {
			ratio = 1000
		}
		p.report(start, i, replica.ClassEstimate, 0, ratio, 5000, 10)
		p.report(start, i, replica.ClassEstimate, 1, ratio, 5000, 10)
	}
	w := p.Evaluate(start+ms, v)
	if len(w.Events) != 1 {
		t.Fatalf("%d lessons", len(w.Events))
	}
	if l := w.Events[0].(rules.PeerEstimate); l.Class != 0 || l.CostRatio < 1.4 || l.CostRatio > 1.6 || l.MeanWork != 5000 {
		t.Errorf("%+v", l)
	}
	late := newTestFleet(2)
	late.startedAt = start - 60*second
	for i := range 2 {
		late.report(start, i, replica.ClassEstimate, 0, 2, 5000, 10)
	}
	if w := late.Evaluate(start+ms, v); len(w.Events) != 0 {
		t.Errorf("a minute after our start: %v", w.Events)
	}
}

// What others have spent of a cold engine's budget is added up; of what is not cold nothing is told.
func TestPeerSlowStartSpend(t *testing.T) {
	p := newTestFleet(3)
	for i := range 3 {
		p.report(start, i, replica.SlowStartSpend, 7, float32(i+1)*1000)
	}
	w := p.Evaluate(start, View{SlowStart: []rules.SlowStartUsage{{Engine: 7}, {Engine: 8}}})
	want := []rules.Event{rules.PeerSlowStartUsage{Engine: 7, Work: 6000}, rules.PeerSlowStartUsage{Engine: 8}}
	if fmt.Sprint(w.Events) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", w.Events, want)
	}
}

// What we hold is told: engines left out, and that they are well again; zones lost; classes with some weight.
func TestPublish(t *testing.T) {
	p := newTestFleet(1)
	v := engines(1, 2)
	v.Engines[0].Excluded = true
	v.Zones = []zones.Status{{State: zones.Present}, {State: zones.Lost}}
	v.Learned = []rules.ClassEstimate{{CostRatio: 2, MeanWork: 100, SampleWeight: 5}, {CostRatio: 2, MeanWork: 100, SampleWeight: 0.5}}
	p.Publish(start, v)
	v.Engines[0].Excluded = false
	p.Publish(start+second, v)
	told := map[replica.Key]replica.Value{}
	for _, c := range p.store.Copies() {
		for _, e := range c.Entries {
			told[e.Key] = e.Value
		}
	}
	want := map[replica.Key]replica.Value{
		{Kind: replica.EngineFault, Subject: 1}:   {0},
		{Kind: replica.ZoneState, Subject: 1}:     {float32(zones.Lost)},
		{Kind: replica.ClassEstimate, Subject: 0}: {2, 100, 5},
	}
	if fmt.Sprint(told) != fmt.Sprint(want) {
		t.Errorf("told %v, want %v", told, want)
	}
}
