// Package hearsay decides what a gateway tells the others of what it holds, and what it makes of what they tell. An observation of
// others never acts by itself: it has us look for ourselves, or stands where we know nothing yet. So one that lies costs a few
// probes, and all peers gone leaves a gateway as it would be without any.
//
// It is pure: time is an argument, and what it reads and writes is a replica of the caller's.
package gossip

import (
	"slices"

	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// Settings are how much is made of what others say.
type Settings struct {
	MinObservers  int        // others that must say so before an engine or a zone is looked at for it
	MaxReportAge  rules.Time // how old what they say may be for that
	ProbeInterval rules.Time // between two looks at one engine for hearsay
	MaxProbes     int        // looks at one time
	LearnWindow   rules.Time // after our start, for how long what others have learned stands in for what we have not
	Chatty        int        // members up to which each tells what it runs on engines: more would not fit the budget
}

// Defaults are for gateways that see each other's news within a second.
func Defaults() Settings {
	return Settings{MinObservers: 2, MaxReportAge: 4 * rules.Second, ProbeInterval: rules.Second, MaxProbes: 2, LearnWindow: 10 * rules.Second, Chatty: 48}
}

// View is what a gateway holds itself.
type View struct {
	Engines   []zones.EngineObservation // that serve, in the order of the list
	Zones     []zones.Status            // nil: no plan
	Learned   []rules.ClassEstimate     // by class
	SlowStart []rules.SlowStartUsage
	Standing  rules.LoadSummary
}

// Observations is what one gateway remembers of what it has told and asked.
type Observations struct {
	settings        Settings
	store           *replica.Store
	startedAt       rules.Time
	publishedFaults map[rules.EngineID]bool // told as left out
	probedAt        map[rules.EngineID]rules.Time
	learned         bool
	counts          Counts
}

// Counts are since the start.
type Counts struct {
	EnginesProbed  int // engines that were looked at for hearsay
	ZonesSuspected int // zones
	ClassesLearned int // classes that were learned from others
}

// New returns a gateway's that has just started.
func New(set Settings, copies *replica.Store, now rules.Time) *Observations {
	return &Observations{settings: set, store: copies, startedAt: now, publishedFaults: map[rules.EngineID]bool{}, probedAt: map[rules.EngineID]rules.Time{}}
}

// Counts tells what was done.
func (h *Observations) Counts() Counts { return h.counts }

// Publish writes what others may want to know.
func (h *Observations) Publish(now rules.Time, v View) {
	put := func(k replica.Kind, subject uint64, value replica.Value) {
		h.store.Put(now, replica.Key{Kind: k, Subject: subject}, value)
	}
	listed := map[rules.EngineID]bool{}
	for _, e := range v.Engines {
		listed[e.Engine] = true
		switch {
		case e.Excluded:
			h.publishedFaults[e.Engine] = true
			put(replica.EngineFault, uint64(e.Engine), replica.Value{1})
		case h.publishedFaults[e.Engine]:
			delete(h.publishedFaults, e.Engine)
			put(replica.EngineFault, uint64(e.Engine), replica.Value{0})
		}
	}
	for id := range h.publishedFaults {
		if !listed[id] {
			delete(h.publishedFaults, id)
		}
	}
	for id, at := range h.probedAt {
		if now-at > 2*h.settings.ProbeInterval {
			delete(h.probedAt, id)
		}
	}
	for i, z := range v.Zones {
		if z.State == zones.Lost {
			put(replica.ZoneState, uint64(i), replica.Value{float32(z.State)})
		}
	}
	for c, l := range v.Learned {
		if l.SampleWeight > 1 {
			put(replica.ClassEstimate, uint64(c), replica.Value{float32(l.CostRatio), float32(l.MeanWork), float32(min(l.SampleWeight, 100))})
		}
	}
	for _, c := range v.SlowStart {
		if c.Work > 0 {
			put(replica.SlowStartSpend, uint64(c.Engine), replica.Value{float32(c.Work)})
		}
	}
}

// Advice is what is made of what others say.
type Advice struct {
	Probe   []rules.EngineID // to be probed: what the probe says counts, not what others do
	Suspect []int            // zones to be looked at
	Events  []rules.Event    // for the decision module
}

// Evaluate looks at what others say.
func (h *Observations) Evaluate(now rules.Time, v View) (out Advice) {
	said := h.countObservers(now, replica.EngineFault, func(v replica.Value) bool { return v[0] > 0 })
	for _, e := range v.Engines {
		if len(out.Probe) >= h.settings.MaxProbes {
			break
		}
		if said[uint64(e.Engine)] < h.settings.MinObservers || e.Excluded || now-h.probedAt[e.Engine] < h.settings.ProbeInterval {
			continue
		}
		h.probedAt[e.Engine] = now
		h.counts.EnginesProbed++
		out.Probe = append(out.Probe, e.Engine)
	}
	if v.Zones != nil {
		lost := h.countObservers(now, replica.ZoneState, func(v replica.Value) bool { return zones.State(v[0]) == zones.Lost })
		for i, z := range v.Zones {
			if z.State == zones.Present && lost[uint64(i)] >= h.settings.MinObservers {
				h.counts.ZonesSuspected++
				out.Suspect = append(out.Suspect, i)
			}
		}
	}
	out.Events = append(h.learnClasses(now, v), h.peerSlowStartSpend(now, v)...)
	return out
}

// countObservers counts the gateways that say so of a subject, and have said it lately.
func (h *Observations) countObservers(now rules.Time, k replica.Kind, so func(replica.Value) bool) map[uint64]int {
	n := map[uint64]int{}
	h.store.Each(k, func(_ string, e *replica.Entry) {
		if now-e.WrittenAt <= h.settings.MaxReportAge && so(e.Value) {
			n[e.Subject]++
		}
	})
	return n
}

// learnClasses passes on what others have learned of classes, once, to a gateway that has just started: the median, as soon as half of the
// members, or many, are heard, so that some that lie move nothing. How much weight one claims to have does not count.
func (h *Observations) learnClasses(now rules.Time, v View) (out []rules.Event) {
	if h.learned || now-h.startedAt > h.settings.LearnWindow {
		return nil
	}
	ratios, usuals := make([][]float64, len(v.Learned)), make([][]float64, len(v.Learned))
	h.store.Each(replica.ClassEstimate, func(_ string, e *replica.Entry) {
		if e.Subject < uint64(len(ratios)) && e.Value[0] > 0 && e.Value[1] > 0 {
			ratios[e.Subject] = append(ratios[e.Subject], float64(e.Value[0]))
			usuals[e.Subject] = append(usuals[e.Subject], float64(e.Value[1]))
		}
	})
	enough := max(minLearnSources, min(len(h.store.Members())/2, maxLearnSources))
	for c := range ratios {
		if len(ratios[c]) < enough || v.Learned[c].SampleWeight > sufficientOwnWeight {
			continue
		}
		out = append(out, rules.PeerEstimate{Class: c, CostRatio: median(ratios[c]), MeanWork: median(usuals[c])})
		h.counts.ClassesLearned++
	}
	if len(out) > 0 {
		h.learned = true
	}
	return out
}

func median(of []float64) float64 {
	slices.Sort(of)
	return (of[(len(of)-1)/2] + of[len(of)/2]) / 2
}

const (
	minLearnSources = 3
	maxLearnSources = 15
)

// sufficientOwnWeight is the weight of own samples of a class from which nothing of others is wanted.
const sufficientOwnWeight = 8

// peerSlowStartSpend adds up what others have sent to cold engines of late.
func (h *Observations) peerSlowStartSpend(now rules.Time, v View) (out []rules.Event) {
	if len(v.SlowStart) == 0 {
		return nil
	}
	sums := map[uint64]float64{}
	h.store.Each(replica.SlowStartSpend, func(_ string, e *replica.Entry) { sums[e.Subject] += float64(e.Value[0]) })
	for _, c := range v.SlowStart {
		out = append(out, rules.PeerSlowStartUsage{Engine: c.Engine, Work: sums[uint64(c.Engine)]})
	}
	return out
}
