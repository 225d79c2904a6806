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

// testFleet is a gateway with peers that publish what a test has them publish.
type testFleet struct {
	*Observations
	store  *replica.Store
	others []*replica.Store
}

func newTestFleet(others int) *testFleet {
	newStore := func(name string) *replica.Store {
		s := replica.Defaults()
		s.Name, s.Incarnation = name, 1
		return replica.New(s, start)
	}
	f := &testFleet{store: newStore("us")}
	f.Observations = New(Defaults(), f.store, start)
	for i := range others {
		name := fmt.Sprint("n", i)
		other := newStore(name)
		other.Handle(start, replica.Joined{Member: replica.Member{Name: "us"}})
		f.store.Handle(start, replica.Joined{Member: replica.Member{Name: name}})
		f.others = append(f.others, other)
	}
	return f
}

// report has one of the peers publish an entry, and the gateway receive it.
func (f *testFleet) report(now rules.Time, i int, k replica.Kind, subject uint64, v ...float32) {
	var value replica.Value
	copy(value[:], v)
	f.others[i].Put(now, replica.Key{Kind: k, Subject: subject}, value)
	for _, effect := range f.others[i].Handle(now, replica.Tick{}) {
		if send, ok := effect.(replica.Send); ok {
			f.store.Handle(now, replica.Received{From: replica.Member{Name: fmt.Sprint("n", i)}, Data: send.Data})
		}
	}
}

func engines(ids ...rules.EngineID) (v View) {
	for _, id := range ids {
		v.Engines = append(v.Engines, zones.EngineObservation{Engine: id})
	}
	return v
}

// One peer that reports a fault has no effect. Two have the engine probed, at intervals, and a bounded number of engines at a time. Reports
// that are old or taken back do not count.
func TestTwoObserversAreNeeded(t *testing.T) {
	f := newTestFleet(3)
	v := engines(1, 2, 3, 4)
	f.report(start, 0, replica.EngineFault, 2, 1)
	if w := f.Evaluate(start, v); len(w.Probe) != 0 {
		t.Fatalf("one observer triggers probes of %v", w.Probe)
	}
	f.report(start+ms, 1, replica.EngineFault, 2, 1)
	if w := f.Evaluate(start+ms, v); len(w.Probe) != 1 || w.Probe[0] != 2 {
		t.Fatalf("two observers trigger probes of %v", w.Probe)
	}
	if w := f.Evaluate(start+200*ms, v); len(w.Probe) != 0 {
		t.Errorf("probed again after 200 ms: %v", w.Probe)
	}
	if w := f.Evaluate(start+1200*ms, v); len(w.Probe) != 1 {
		t.Errorf("not probed again after 1.2 s")
	}
	left := engines(1, 2)
	left.Engines[1].Excluded = true
	if w := f.Evaluate(start+2500*ms, left); len(w.Probe) != 0 {
		t.Errorf("it is ejected here, and probed for the reports of peers: %v", w.Probe)
	}
	if w := f.Evaluate(start+Defaults().MaxReportAge+100*ms, v); len(w.Probe) != 0 {
		t.Errorf("probed for old reports: %v", w.Probe)
	}
	f.report(start+6*second, 0, replica.EngineFault, 3, 1)
	f.report(start+6*second, 1, replica.EngineFault, 3, 1)
	f.report(start+6*second, 1, replica.EngineFault, 3, 0)
	if w := f.Evaluate(start+6*second+ms, v); len(w.Probe) != 0 {
		t.Errorf("one of two has taken its report back: %v", w.Probe)
	}
	for id := range uint64(4) {
		for i := range 2 {
			f.report(start+8*second, i, replica.EngineFault, id+1, 1)
		}
	}
	if w := f.Evaluate(start+8*second, v); len(w.Probe) > Defaults().MaxProbes {
		t.Errorf("%d probes at one time", len(w.Probe))
	}
}

// A zone that two peers hold to be lost is suspected; one that is held to be lost here, or by one peer only, is not.
func TestZonesAreSuspected(t *testing.T) {
	f := newTestFleet(3)
	v := View{Zones: []zones.Status{{State: zones.Present}, {State: zones.Lost}, {State: zones.Present}}}
	for i := range 2 {
		for zone := range uint64(2) {
			f.report(start, i, replica.ZoneState, zone, float32(zones.Lost))
		}
	}
	f.report(start, 2, replica.ZoneState, 2, float32(zones.Lost))
	if w := f.Evaluate(start, v); len(w.Suspect) != 1 || w.Suspect[0] != 0 {
		t.Errorf("suspected: %v", w.Suspect)
	}
}

// A gateway that has just started learns classes from peers, once. A false report moves the result little, own samples take precedence, and
// later nothing is learned.
func TestClassesAreLearnedOnce(t *testing.T) {
	f := newTestFleet(5)
	v := View{Learned: make([]rules.ClassEstimate, 2)}
	v.Learned[1].SampleWeight = 20 // of own samples
	for i := range 5 {
		ratio := float32(1.5)
		if i == 4 {
			ratio = 1000
		}
		f.report(start, i, replica.ClassEstimate, 0, ratio, 5000, 10)
		f.report(start, i, replica.ClassEstimate, 1, ratio, 5000, 10)
	}
	w := f.Evaluate(start+ms, v)
	if len(w.Events) != 1 {
		t.Fatalf("%d events", len(w.Events))
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

// What peers have spent of the budget of an engine in slow start is summed; an engine without reports has 0.
func TestPeerSlowStartSpend(t *testing.T) {
	f := newTestFleet(3)
	for i := range 3 {
		f.report(start, i, replica.SlowStartSpend, 7, float32(i+1)*1000)
	}
	w := f.Evaluate(start, View{SlowStart: []rules.SlowStartUsage{{Engine: 7}, {Engine: 8}}})
	want := []rules.Event{rules.PeerSlowStartUsage{Engine: 7, Work: 6000}, rules.PeerSlowStartUsage{Engine: 8}}
	if fmt.Sprint(w.Events) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", w.Events, want)
	}
}

// Publish writes engines that are ejected, and that they have recovered; zones that are lost; classes with some weight.
func TestPublish(t *testing.T) {
	f := newTestFleet(1)
	v := engines(1, 2)
	v.Engines[0].Excluded = true
	v.Zones = []zones.Status{{State: zones.Present}, {State: zones.Lost}}
	v.Learned = []rules.ClassEstimate{{CostRatio: 2, MeanWork: 100, SampleWeight: 5}, {CostRatio: 2, MeanWork: 100, SampleWeight: 0.5}}
	f.Publish(start, v)
	v.Engines[0].Excluded = false
	f.Publish(start+second, v)
	published := map[replica.Key]replica.Value{}
	for _, c := range f.store.Copies() {
		for _, e := range c.Entries {
			published[e.Key] = e.Value
		}
	}
	want := map[replica.Key]replica.Value{
		{Kind: replica.EngineFault, Subject: 1}:   {0},
		{Kind: replica.ZoneState, Subject: 1}:     {float32(zones.Lost)},
		{Kind: replica.ClassEstimate, Subject: 0}: {2, 100, 5},
	}
	if fmt.Sprint(published) != fmt.Sprint(want) {
		t.Errorf("published %v, want %v", published, want)
	}
}
