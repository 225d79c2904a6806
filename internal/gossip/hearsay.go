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
	Observers int        // others that must say so before an engine or a zone is looked at for it
	Fresh     rules.Time // how old what they say may be for that
	AskEvery  rules.Time // between two looks at one engine for hearsay
	AskMost   int        // looks at one time
	Warm      rules.Time // after our start, for how long what others have learned stands in for what we have not
	Chatty    int        // members up to which each tells what it runs on engines: more would not fit the budget
}

// Defaults are for gateways that see each other's news within a second.
func Defaults() Settings {
	return Settings{Observers: 2, Fresh: 4 * rules.Second, AskEvery: rules.Second, AskMost: 2, Warm: 10 * rules.Second, Chatty: 48}
}

// View is what a gateway holds itself.
type View struct {
	Engines  []zones.EngineObservation // that serve, in the order of the list
	Zones    []zones.Status            // nil: no plan
	Learned  []rules.ClassEstimate     // by class
	Cold     []rules.SlowStartUsage
	Standing rules.LoadSummary
}

// Hearsay is what one gateway remembers of what it has told and asked.
type Hearsay struct {
	set    Settings
	copies *replica.Replica
	born   rules.Time
	faults map[rules.EngineID]bool // told as left out
	asked  map[rules.EngineID]rules.Time
	taught bool
	counts Counts
}

// Counts are since the start.
type Counts struct {
	Asked   int // engines that were looked at for hearsay
	Doubted int // zones
	Taught  int // classes that were learned from others
}

// New returns a gateway's that has just started.
func New(set Settings, copies *replica.Replica, now rules.Time) *Hearsay {
	return &Hearsay{set: set, copies: copies, born: now, faults: map[rules.EngineID]bool{}, asked: map[rules.EngineID]rules.Time{}}
}

// Counts tells what was done.
func (h *Hearsay) Counts() Counts { return h.counts }

// Tell writes what others may want to know.
func (h *Hearsay) Tell(now rules.Time, v View) {
	put := func(k replica.Kind, subject uint64, value replica.Value) {
		h.copies.Put(now, replica.Key{Kind: k, Subject: subject}, value)
	}
	listed := map[rules.EngineID]bool{}
	for _, e := range v.Engines {
		listed[e.Engine] = true
		switch {
		case e.Excluded:
			h.faults[e.Engine] = true
			put(replica.EngineFault, uint64(e.Engine), replica.Value{1})
		case h.faults[e.Engine]:
			delete(h.faults, e.Engine)
			put(replica.EngineFault, uint64(e.Engine), replica.Value{0})
		}
	}
	for id := range h.faults {
		if !listed[id] {
			delete(h.faults, id)
		}
	}
	for id, at := range h.asked {
		if now-at > 2*h.set.AskEvery {
			delete(h.asked, id)
		}
	}
	for i, z := range v.Zones {
		if z.State == zones.Lost {
			put(replica.ZoneState, uint64(i), replica.Value{float32(z.State)})
		}
	}
	for c, l := range v.Learned {
		if l.SampleWeight > 1 {
			put(replica.ClassUsual, uint64(c), replica.Value{float32(l.CostRatio), float32(l.MeanWork), float32(min(l.SampleWeight, 100))})
		}
	}
	for _, c := range v.Cold {
		if c.Work > 0 {
			put(replica.ColdSpend, uint64(c.Engine), replica.Value{float32(c.Work)})
		}
	}
}

// Weighed is what is made of what others say.
type Weighed struct {
	Ask     []rules.EngineID // to be probed: what the probe says counts, not what others do
	Doubt   []int            // zones to be looked at
	Lessons []rules.Event    // for the decision module
}

// Weigh looks at what others say.
func (h *Hearsay) Weigh(now rules.Time, v View) (out Weighed) {
	said := h.said(now, replica.EngineFault, func(v replica.Value) bool { return v[0] > 0 })
	for _, e := range v.Engines {
		if len(out.Ask) >= h.set.AskMost {
			break
		}
		if said[uint64(e.Engine)] < h.set.Observers || e.Excluded || now-h.asked[e.Engine] < h.set.AskEvery {
			continue
		}
		h.asked[e.Engine] = now
		h.counts.Asked++
		out.Ask = append(out.Ask, e.Engine)
	}
	if v.Zones != nil {
		lost := h.said(now, replica.ZoneState, func(v replica.Value) bool { return zones.State(v[0]) == zones.Lost })
		for i, z := range v.Zones {
			if z.State == zones.Present && lost[uint64(i)] >= h.set.Observers {
				h.counts.Doubted++
				out.Doubt = append(out.Doubt, i)
			}
		}
	}
	out.Lessons = append(h.teach(now, v), h.spent(now, v)...)
	return out
}

// said counts the gateways that say so of a subject, and have said it lately.
func (h *Hearsay) said(now rules.Time, k replica.Kind, so func(replica.Value) bool) map[uint64]int {
	n := map[uint64]int{}
	h.copies.Each(k, func(_ string, e *replica.Entry) {
		if now-e.Born <= h.set.Fresh && so(e.Value) {
			n[e.Subject]++
		}
	})
	return n
}

// teach passes on what others have learned of classes, once, to a gateway that has just started: the median, as soon as half of the
// members, or many, are heard, so that some that lie move nothing. How much weight one claims to have does not count.
func (h *Hearsay) teach(now rules.Time, v View) (out []rules.Event) {
	if h.taught || now-h.born > h.set.Warm {
		return nil
	}
	ratios, usuals := make([][]float64, len(v.Learned)), make([][]float64, len(v.Learned))
	h.copies.Each(replica.ClassUsual, func(_ string, e *replica.Entry) {
		if e.Subject < uint64(len(ratios)) && e.Value[0] > 0 && e.Value[1] > 0 {
			ratios[e.Subject] = append(ratios[e.Subject], float64(e.Value[0]))
			usuals[e.Subject] = append(usuals[e.Subject], float64(e.Value[1]))
		}
	})
	enough := max(leastTeachers, min(len(h.copies.Members())/2, mostTeachers))
	for c := range ratios {
		if len(ratios[c]) < enough || v.Learned[c].SampleWeight > ownWeight {
			continue
		}
		out = append(out, rules.PeerEstimate{Class: c, CostRatio: median(ratios[c]), MeanWork: median(usuals[c])})
		h.counts.Taught++
	}
	if len(out) > 0 {
		h.taught = true
	}
	return out
}

func median(of []float64) float64 {
	slices.Sort(of)
	return (of[(len(of)-1)/2] + of[len(of)/2]) / 2
}

const (
	leastTeachers = 3
	mostTeachers  = 15
)

// ownWeight is the weight of own samples of a class from which nothing of others is wanted.
const ownWeight = 8

// spent adds up what others have sent to cold engines of late.
func (h *Hearsay) spent(now rules.Time, v View) (out []rules.Event) {
	if len(v.Cold) == 0 {
		return nil
	}
	sums := map[uint64]float64{}
	h.copies.Each(replica.ColdSpend, func(_ string, e *replica.Entry) { sums[e.Subject] += float64(e.Value[0]) })
	for _, c := range v.Cold {
		out = append(out, rules.PeerSlowStartUsage{Engine: c.Engine, Work: sums[uint64(c.Engine)]})
	}
	return out
}
