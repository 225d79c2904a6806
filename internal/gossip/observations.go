// Package gossip owns the exchange of observations among gateways: which ones this gateway publishes, and how it
// evaluates those of its peers. A peer observation has no effect by itself. It triggers a probe by this gateway, or is
// used while this gateway has no samples of its own, so a false report costs a few probes at most. Without peers a
// gateway behaves as if it were alone.
//
// The package does no I/O and reads no clock: time is an argument, and it reads and writes a replica.Store of the
// caller.
package gossip

import (
	"slices"

	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// Settings bound the effect of peer observations.
type Settings struct {
	MinObservers  int        // peers that must report a fault before this gateway probes
	MaxReportAge  rules.Time // older reports are ignored
	ProbeInterval rules.Time // minimum time between probes of an engine triggered by peers
	MaxProbes     int        // probes per Evaluate
	LearnWindow   rules.Time // time after the start in which class estimates are learned from peers
}

// Defaults returns settings for gateways that receive each other's updates within a second.
func Defaults() Settings {
	return Settings{MinObservers: 2, MaxReportAge: 4 * rules.Second, ProbeInterval: rules.Second, MaxProbes: 2, LearnWindow: 10 * rules.Second}
}

// View holds this gateway's own observations.
type View struct {
	Engines        []zones.EngineObservation // serving engines, in the order of the endpoint list
	Zones          []zones.Status            // nil: zones are not configured
	ClassEstimates []rules.ClassEstimate     // by class
	SlowStart      []rules.SlowStartUsage    // engines in slow start
}

// Observations exchanges observations with peers through a replica.Store.
type Observations struct {
	settings        Settings
	store           *replica.Store
	startedAt       rules.Time
	publishedFaults map[rules.EngineID]bool       // engines that were last published as ejected
	probedAt        map[rules.EngineID]rules.Time // last probes triggered by peers
	classesLearned  bool                          // class estimates were learned from peers, which happens once
	counts          Counts
}

// Counts are totals since the start.
type Counts struct {
	EnginesProbed  int // probes of engines triggered by peers
	ZonesSuspected int // zones suspected because of peers
	ClassesLearned int // class estimates learned from peers
}

// New returns the Observations of a gateway that has just started.
func New(settings Settings, store *replica.Store, now rules.Time) *Observations {
	return &Observations{settings: settings, store: store, startedAt: now, publishedFaults: map[rules.EngineID]bool{},
		probedAt: map[rules.EngineID]rules.Time{}}
}

// Counts returns the totals since the start.
func (o *Observations) Counts() Counts { return o.counts }

// Publish writes this gateway's observations to the store: ejected and recovered engines, lost zones, class estimates
// and work sent to engines in slow start.
func (o *Observations) Publish(now rules.Time, view View) {
	put := func(k replica.Kind, subject uint64, value replica.Value) {
		o.store.Put(now, replica.Key{Kind: k, Subject: subject}, value)
	}
	listed := map[rules.EngineID]bool{}
	for _, engine := range view.Engines {
		listed[engine.Engine] = true
		switch {
		case engine.Excluded:
			o.publishedFaults[engine.Engine] = true
			put(replica.EngineFault, uint64(engine.Engine), replica.Value{1})
		case o.publishedFaults[engine.Engine]:
			delete(o.publishedFaults, engine.Engine)
			put(replica.EngineFault, uint64(engine.Engine), replica.Value{0})
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
	for i, zone := range view.Zones {
		if zone.State == zones.Lost {
			put(replica.ZoneState, uint64(i), replica.Value{float32(zone.State)})
		}
	}
	for class, estimate := range view.ClassEstimates {
		if estimate.SampleWeight > 1 {
			put(replica.ClassEstimate, uint64(class), replica.Value{float32(estimate.CostRatio), float32(estimate.MeanWork), float32(min(estimate.SampleWeight, 100))})
		}
	}
	for _, usage := range view.SlowStart {
		if usage.Work > 0 {
			put(replica.SlowStartSpend, uint64(usage.Engine), replica.Value{float32(usage.Work)})
		}
	}
}

// Advice lists the actions that follow from the observations of peers.
type Advice struct {
	Probe   []rules.EngineID // engines to probe; only the results of these probes have an effect
	Suspect []int            // zones to probe
	Events  []rules.Event    // for the decision module
}

// Evaluate returns the actions that follow from the observations of peers now.
func (o *Observations) Evaluate(now rules.Time, view View) (advice Advice) {
	observers := o.countObservers(now, replica.EngineFault, func(v replica.Value) bool { return v[0] > 0 })
	for _, engine := range view.Engines {
		if len(advice.Probe) >= o.settings.MaxProbes {
			break
		}
		if observers[uint64(engine.Engine)] < o.settings.MinObservers || engine.Excluded || now-o.probedAt[engine.Engine] < o.settings.ProbeInterval {
			continue
		}
		o.probedAt[engine.Engine] = now
		o.counts.EnginesProbed++
		advice.Probe = append(advice.Probe, engine.Engine)
	}
	if view.Zones != nil {
		lost := o.countObservers(now, replica.ZoneState, func(v replica.Value) bool { return zones.State(v[0]) == zones.Lost })
		for i, zone := range view.Zones {
			if zone.State == zones.Present && lost[uint64(i)] >= o.settings.MinObservers {
				o.counts.ZonesSuspected++
				advice.Suspect = append(advice.Suspect, i)
			}
		}
	}
	advice.Events = append(o.learnClasses(now, view), o.peerSlowStartSpend(view)...)
	return advice
}

// countObservers counts, by subject, the peers with an entry of a kind that matches and is not older than MaxReportAge.
func (o *Observations) countObservers(now rules.Time, kind replica.Kind, matches func(replica.Value) bool) map[uint64]int {
	counts := map[uint64]int{}
	o.store.Each(kind, func(_ string, entry *replica.Entry) {
		if now-entry.WrittenAt <= o.settings.MaxReportAge && matches(entry.Value) {
			counts[entry.Subject]++
		}
	})
	return counts
}

const (
	minLearnSources = 3  // peers needed for a class estimate, in small fleets
	maxLearnSources = 15 // peers needed for a class estimate, in large fleets
	// sufficientOwnWeight is the weight of own samples of a class above which the estimates of peers are not used.
	sufficientOwnWeight = 8
)

// learnClasses returns class estimates of peers as events, once and only within LearnWindow after the start. An
// estimate is the median over peers, taken as soon as half of the members or maxLearnSources have reported, so that a
// few false reports move it little. The sample weights that peers claim are ignored.
func (o *Observations) learnClasses(now rules.Time, view View) (events []rules.Event) {
	if o.classesLearned || now-o.startedAt > o.settings.LearnWindow {
		return nil
	}
	ratios, meanWorks := make([][]float64, len(view.ClassEstimates)), make([][]float64, len(view.ClassEstimates))
	o.store.Each(replica.ClassEstimate, func(_ string, entry *replica.Entry) {
		if entry.Subject < uint64(len(ratios)) && entry.Value[0] > 0 && entry.Value[1] > 0 {
			ratios[entry.Subject] = append(ratios[entry.Subject], float64(entry.Value[0]))
			meanWorks[entry.Subject] = append(meanWorks[entry.Subject], float64(entry.Value[1]))
		}
	})
	required := max(minLearnSources, min(len(o.store.Members())/2, maxLearnSources))
	for class := range ratios {
		if len(ratios[class]) < required || view.ClassEstimates[class].SampleWeight > sufficientOwnWeight {
			continue
		}
		events = append(events, rules.PeerEstimate{Class: class, CostRatio: median(ratios[class]), MeanWork: median(meanWorks[class])})
		o.counts.ClassesLearned++
	}
	if len(events) > 0 {
		o.classesLearned = true
	}
	return events
}

func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// peerSlowStartSpend returns, for each engine in slow start, the work that peers have sent to it within the last
// window.
func (o *Observations) peerSlowStartSpend(view View) (events []rules.Event) {
	if len(view.SlowStart) == 0 {
		return nil
	}
	sums := map[uint64]float64{}
	o.store.Each(replica.SlowStartSpend, func(_ string, entry *replica.Entry) { sums[entry.Subject] += float64(entry.Value[0]) })
	for _, usage := range view.SlowStart {
		events = append(events, rules.PeerSlowStartUsage{Engine: usage.Engine, Work: sums[uint64(usage.Engine)]})
	}
	return events
}
