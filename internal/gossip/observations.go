// Package gossip decides what a gateway publishes to the others, and what it makes of what they publish. An observation of a peer never
// takes effect by itself: it triggers a probe of this gateway, or stands in where this gateway has no samples yet. So a peer that reports
// falsely costs a few probes, and with all peers gone a gateway behaves as if it had none.
//
// The package is pure: time is an argument, and it reads and writes a replica.Store of the caller.
package gossip

import (
	"slices"

	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// Settings bound what is made of what peers publish.
type Settings struct {
	MinObservers  int        // peers that must report a fault before this gateway probes for it
	MaxReportAge  rules.Time // of reports that count
	ProbeInterval rules.Time // between two probes of one engine on the word of peers
	MaxProbes     int        // per Evaluate
	LearnWindow   rules.Time // after the start, in which classes may be learned from peers
}

// Defaults are for gateways that see each other's updates within a second.
func Defaults() Settings {
	return Settings{MinObservers: 2, MaxReportAge: 4 * rules.Second, ProbeInterval: rules.Second, MaxProbes: 2, LearnWindow: 10 * rules.Second}
}

// View is what a gateway itself holds.
type View struct {
	Engines   []zones.EngineObservation // that serve, in the order of the endpoint list
	Zones     []zones.Status            // nil: zones are not configured
	Learned   []rules.ClassEstimate     // by class
	SlowStart []rules.SlowStartUsage
}

// Observations exchanges observations with peers by way of a store.
type Observations struct {
	settings        Settings
	store           *replica.Store
	startedAt       rules.Time
	publishedFaults map[rules.EngineID]bool // engines that were published as ejected
	probedAt        map[rules.EngineID]rules.Time
	learned         bool // classes have been learned from peers: that happens once
	counts          Counts
}

// Counts are since the start.
type Counts struct {
	EnginesProbed  int
	ZonesSuspected int
	ClassesLearned int
}

// New returns the observations of a gateway that has just started.
func New(settings Settings, store *replica.Store, now rules.Time) *Observations {
	return &Observations{settings: settings, store: store, startedAt: now, publishedFaults: map[rules.EngineID]bool{},
		probedAt: map[rules.EngineID]rules.Time{}}
}

// Counts returns what was done since the start.
func (o *Observations) Counts() Counts { return o.counts }

// Publish writes to the store what peers may want to know.
func (o *Observations) Publish(now rules.Time, v View) {
	put := func(k replica.Kind, subject uint64, value replica.Value) {
		o.store.Put(now, replica.Key{Kind: k, Subject: subject}, value)
	}
	listed := map[rules.EngineID]bool{}
	for _, e := range v.Engines {
		listed[e.Engine] = true
		switch {
		case e.Excluded:
			o.publishedFaults[e.Engine] = true
			put(replica.EngineFault, uint64(e.Engine), replica.Value{1})
		case o.publishedFaults[e.Engine]:
			delete(o.publishedFaults, e.Engine)
			put(replica.EngineFault, uint64(e.Engine), replica.Value{0})
		}
	}
	for id := range o.publishedFaults {
		if !listed[id] {
			delete(o.publishedFaults, id)
		}
	}
	for id, at := range o.probedAt {
		if now-at > 2*o.settings.ProbeInterval {
			delete(o.probedAt, id)
		}
	}
	for i, z := range v.Zones {
		if z.State == zones.Lost {
			put(replica.ZoneState, uint64(i), replica.Value{float32(z.State)})
		}
	}
	for class, l := range v.Learned {
		if l.SampleWeight > 1 {
			put(replica.ClassEstimate, uint64(class), replica.Value{float32(l.CostRatio), float32(l.MeanWork), float32(min(l.SampleWeight, 100))})
		}
	}
	for _, c := range v.SlowStart {
		if c.Work > 0 {
			put(replica.SlowStartSpend, uint64(c.Engine), replica.Value{float32(c.Work)})
		}
	}
}

// Advice is what follows from the reports of peers.
type Advice struct {
	Probe   []rules.EngineID // the result of the probe counts, not the reports
	Suspect []int            // zones that are to be probed
	Events  []rules.Event    // for the decision module
}

// Evaluate reads the reports of peers.
func (o *Observations) Evaluate(now rules.Time, v View) (out Advice) {
	observers := o.countObservers(now, replica.EngineFault, func(v replica.Value) bool { return v[0] > 0 })
	for _, e := range v.Engines {
		if len(out.Probe) >= o.settings.MaxProbes {
			break
		}
		if observers[uint64(e.Engine)] < o.settings.MinObservers || e.Excluded || now-o.probedAt[e.Engine] < o.settings.ProbeInterval {
			continue
		}
		o.probedAt[e.Engine] = now
		o.counts.EnginesProbed++
		out.Probe = append(out.Probe, e.Engine)
	}
	if v.Zones != nil {
		lost := o.countObservers(now, replica.ZoneState, func(v replica.Value) bool { return zones.State(v[0]) == zones.Lost })
		for i, z := range v.Zones {
			if z.State == zones.Present && lost[uint64(i)] >= o.settings.MinObservers {
				o.counts.ZonesSuspected++
				out.Suspect = append(out.Suspect, i)
			}
		}
	}
	out.Events = append(o.learnClasses(now, v), o.peerSlowStartSpend(v)...)
	return out
}

// countObservers counts, by subject, the peers whose value matches and is not older than MaxReportAge.
func (o *Observations) countObservers(now rules.Time, k replica.Kind, matches func(replica.Value) bool) map[uint64]int {
	n := map[uint64]int{}
	o.store.Each(k, func(_ string, e *replica.Entry) {
		if now-e.WrittenAt <= o.settings.MaxReportAge && matches(e.Value) {
			n[e.Subject]++
		}
	})
	return n
}

const (
	minLearnSources = 3
	maxLearnSources = 15
	// sufficientOwnWeight is the weight of own samples of a class from which on those of peers are not used.
	sufficientOwnWeight = 8
)

// learnClasses returns, once, what peers have learned of classes, to a gateway that has just started: the median, as soon as half of the
// members or maxLearnSources have reported, so that a few false reports move it little. The weight that a peer claims is ignored.
func (o *Observations) learnClasses(now rules.Time, v View) (out []rules.Event) {
	if o.learned || now-o.startedAt > o.settings.LearnWindow {
		return nil
	}
	ratios, works := make([][]float64, len(v.Learned)), make([][]float64, len(v.Learned))
	o.store.Each(replica.ClassEstimate, func(_ string, e *replica.Entry) {
		if e.Subject < uint64(len(ratios)) && e.Value[0] > 0 && e.Value[1] > 0 {
			ratios[e.Subject] = append(ratios[e.Subject], float64(e.Value[0]))
			works[e.Subject] = append(works[e.Subject], float64(e.Value[1]))
		}
	})
	enough := max(minLearnSources, min(len(o.store.Members())/2, maxLearnSources))
	for class := range ratios {
		if len(ratios[class]) < enough || v.Learned[class].SampleWeight > sufficientOwnWeight {
			continue
		}
		out = append(out, rules.PeerEstimate{Class: class, CostRatio: median(ratios[class]), MeanWork: median(works[class])})
		o.counts.ClassesLearned++
	}
	if len(out) > 0 {
		o.learned = true
	}
	return out
}

func median(of []float64) float64 {
	slices.Sort(of)
	return (of[(len(of)-1)/2] + of[len(of)/2]) / 2
}

// peerSlowStartSpend sums what peers have sent to engines in slow start within the last window.
func (o *Observations) peerSlowStartSpend(v View) (out []rules.Event) {
	if len(v.SlowStart) == 0 {
		return nil
	}
	sums := map[uint64]float64{}
	o.store.Each(replica.SlowStartSpend, func(_ string, e *replica.Entry) { sums[e.Subject] += float64(e.Value[0]) })
	for _, c := range v.SlowStart {
		out = append(out, rules.PeerSlowStartUsage{Engine: c.Engine, Work: sums[uint64(c.Engine)]})
	}
	return out
}
