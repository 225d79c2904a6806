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

// testFleet is a gateway with peers that publish what a test specifies.
type testFleet struct {
	*Observations
	store *replica.Store
	peers []*replica.Store
}

func newTestFleet(peers int) *testFleet {
	newStore := func(name string) *replica.Store {
		s := replica.Defaults()
		s.Name, s.Incarnation = name, 1
		return replica.New(s, start)
	}
	f := &testFleet{store: newStore("us")}
	f.Observations = New(Defaults(), f.store, start)
	for i := range peers {
		name := fmt.Sprint("n", i)
		other := newStore(name)
		other.Handle(start, replica.Joined{Member: replica.Member{Name: "us"}})
		f.store.Handle(start, replica.Joined{Member: replica.Member{Name: name}})
		f.peers = append(f.peers, other)
	}
	return f
}

// report makes a peer publish an entry and the gateway receive it.
func (f *testFleet) report(now rules.Time, peer int, k replica.Kind, subject uint64, values ...float32) {
	var value replica.Value
	copy(value[:], values)
	f.peers[peer].Put(now, replica.Key{Kind: k, Subject: subject}, value)
	for _, effect := range f.peers[peer].Handle(now, replica.Tick{}) {
		if send, ok := effect.(replica.Send); ok {
			f.store.Handle(now, replica.Received{From: replica.Member{Name: fmt.Sprint("n", peer)}, Data: send.Data})
		}
	}
}

func viewOf(ids ...rules.EngineID) (view View) {
	for _, id := range ids {
		view.Engines = append(view.Engines, zones.EngineObservation{Engine: id})
	}
	return view
}

// A fault that only one peer reports has no effect. If two peers report it, the engine is probed, at intervals, and the
// number of probes at a time is bounded. Old and withdrawn reports do not count.
func TestTwoObserversAreNeeded(t *testing.T) {
	fleet := newTestFleet(3)
	view := viewOf(1, 2, 3, 4)
	fleet.report(start, 0, replica.EngineFault, 2, 1)
	if advice := fleet.Evaluate(start, view); len(advice.Probe) != 0 {
		t.Fatalf("one observer triggered probes of %v", advice.Probe)
	}
	fleet.report(start+ms, 1, replica.EngineFault, 2, 1)
	if advice := fleet.Evaluate(start+ms, view); len(advice.Probe) != 1 || advice.Probe[0] != 2 {
		t.Fatalf("two observers of engine 2 triggered probes of %v", advice.Probe)
	}
	if advice := fleet.Evaluate(start+200*ms, view); len(advice.Probe) != 0 {
		t.Errorf("probed again after 200 ms: %v", advice.Probe)
	}
	if advice := fleet.Evaluate(start+1200*ms, view); len(advice.Probe) != 1 {
		t.Errorf("not probed again after 1.2 s")
	}
	ejectedView := viewOf(1, 2)
	ejectedView.Engines[1].Excluded = true
	if advice := fleet.Evaluate(start+2500*ms, ejectedView); len(advice.Probe) != 0 {
		t.Errorf("an engine that is already ejected here was probed: %v", advice.Probe)
	}
	if advice := fleet.Evaluate(start+Defaults().MaxReportAge+100*ms, view); len(advice.Probe) != 0 {
		t.Errorf("old reports triggered probes of %v", advice.Probe)
	}
	fleet.report(start+6*second, 0, replica.EngineFault, 3, 1)
	fleet.report(start+6*second, 1, replica.EngineFault, 3, 1)
	fleet.report(start+6*second, 1, replica.EngineFault, 3, 0)
	if advice := fleet.Evaluate(start+6*second+ms, view); len(advice.Probe) != 0 {
		t.Errorf("one of two peers withdrew its report, probed anyway: %v", advice.Probe)
	}
	for id := range uint64(4) {
		for i := range 2 {
			fleet.report(start+8*second, i, replica.EngineFault, id+1, 1)
		}
	}
	if advice := fleet.Evaluate(start+8*second, view); len(advice.Probe) > Defaults().MaxProbes {
		t.Errorf("%d probes at a time", len(advice.Probe))
	}
}

// A zone that two peers report as lost is suspected, unless it is already lost here. A report of one peer has no
// effect.
func TestZonesAreSuspected(t *testing.T) {
	fleet := newTestFleet(3)
	view := View{Zones: []zones.Status{{State: zones.Present}, {State: zones.Lost}, {State: zones.Present}}}
	for i := range 2 {
		for zone := range uint64(2) {
			fleet.report(start, i, replica.ZoneState, zone, float32(zones.Lost))
		}
	}
	fleet.report(start, 2, replica.ZoneState, 2, float32(zones.Lost))
	if advice := fleet.Evaluate(start, view); len(advice.Suspect) != 1 || advice.Suspect[0] != 0 {
		t.Errorf("suspected zones %v, want zone 0 only", advice.Suspect)
	}
}

// A gateway that has just started learns class estimates from peers once. A false report moves the result little, own
// samples take precedence, and nothing is learned after LearnWindow.
func TestClassesAreLearnedOnce(t *testing.T) {
	fleet := newTestFleet(5)
	view := View{ClassEstimates: make([]rules.ClassEstimate, 2)}
	view.ClassEstimates[1].SampleWeight = 20 // of own samples
	for i := range 5 {
		ratio := float32(1.5)
		if i == 4 {
			ratio = 1000
		}
		fleet.report(start, i, replica.ClassEstimate, 0, ratio, 5000, 10)
		fleet.report(start, i, replica.ClassEstimate, 1, ratio, 5000, 10)
	}
	advice := fleet.Evaluate(start+ms, view)
	if len(advice.Events) != 1 {
		t.Fatalf("%d events, want 1", len(advice.Events))
	}
	if estimate := advice.Events[0].(rules.PeerEstimate); estimate.Class != 0 || estimate.CostRatio < 1.4 || estimate.CostRatio > 1.6 || estimate.MeanWork != 5000 {
		t.Errorf("%+v", estimate)
	}
	lateFleet := newTestFleet(2)
	lateFleet.startedAt = start - 60*second
	for i := range 2 {
		lateFleet.report(start, i, replica.ClassEstimate, 0, 2, 5000, 10)
	}
	if advice := lateFleet.Evaluate(start+ms, view); len(advice.Events) != 0 {
		t.Errorf("learned a minute after the start: %v", advice.Events)
	}
}

// The work that peers have sent to an engine in slow start is summed; an engine without reports has 0.
func TestPeerSlowStartSpend(t *testing.T) {
	fleet := newTestFleet(3)
	for i := range 3 {
		fleet.report(start, i, replica.SlowStartSpend, 7, float32(i+1)*1000)
	}
	advice := fleet.Evaluate(start, View{SlowStart: []rules.SlowStartUsage{{Engine: 7}, {Engine: 8}}})
	want := []rules.Event{rules.PeerSlowStartUsage{Engine: 7, Work: 6000}, rules.PeerSlowStartUsage{Engine: 8}}
	if fmt.Sprint(advice.Events) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", advice.Events, want)
	}
}

// Publish writes ejected and recovered engines, lost zones, and classes with enough sample weight.
func TestPublish(t *testing.T) {
	fleet := newTestFleet(1)
	view := viewOf(1, 2)
	view.Engines[0].Excluded = true
	view.Zones = []zones.Status{{State: zones.Present}, {State: zones.Lost}}
	view.ClassEstimates = []rules.ClassEstimate{{CostRatio: 2, MeanWork: 100, SampleWeight: 5}, {CostRatio: 2, MeanWork: 100, SampleWeight: 0.5}}
	fleet.Publish(start, view)
	view.Engines[0].Excluded = false
	fleet.Publish(start+second, view)
	published := map[replica.Key]replica.Value{}
	for _, c := range fleet.store.Copies() {
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
