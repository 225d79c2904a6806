package gateway

import (
	"math"
	"math/rand/v2"
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file shows the zones what the module and the sockets hold of their engines, hands the parts that they decide
// to the module, and logs what becomes of them. It decides nothing; without the operator's block `sites` it does
// nothing.

// sites are the zones of the gateway, with what is seen of those that are lost. The last one holds the engines of
// zones that the configuration does not name.
type sites struct {
	zones  *zones.Zones
	names  []string
	parts  []float64 // as the module knows them
	looks  []look    // by zone
	drains []int
	at     rules.Time // of the last look
}

// look is what probes of a lost zone say: the module leaves its engines out, and hears of them no more.
type look struct {
	next  int // engine to ask, by the order of the list
	asked rules.Time
	said  [lookBack]bool // the newest last
	lost  bool
}

const (
	lookBack   = 4                // probes by which a lost zone is judged
	lookEvery  = rules.Second     // between two of them: hundreds of gateways ask as well
	askedSince = 4 * rules.Second // engines that were asked for something within it tell whether a zone is silent
	partStep   = 0.01             // a part that changes by less is not told anew
)

// newSites returns the zones that the operator has set, or nil.
func newSites(cfg *config.Config, rng *rand.Rand, now rules.Time) *sites {
	if cfg.Site == nil || cfg.Site.Sites == nil || len(cfg.Settings.ZoneNames) == 0 {
		return nil
	}
	set, drained := cfg.Site.Sites.Resolve(cfg.Settings.ZoneNames)
	n := len(cfg.Settings.ZoneNames) + 1
	s := &sites{zones: zones.New(set, n, cfg.Settings.Rules.Zone, rng.Float64(), now), looks: make([]look, n),
		names: append(slices.Clone(cfg.Settings.ZoneNames), "elsewhere")}
	s.drain(drained, now)
	return s
}

// drain begins the drains that the file asks for, and ends the others.
func (s *sites) drain(drained []int, now rules.Time) {
	for _, z := range s.drains {
		if !slices.Contains(drained, z) {
			s.zones.DrainZone(now, z, false)
		}
	}
	for _, z := range drained {
		if !slices.Contains(s.drains, z) {
			s.zones.DrainZone(now, z, true)
		}
	}
	s.drains = drained
}

// retuneSites goes over to what the operator's file says now; the block may come and go.
func (g *Gateway) retuneSites() {
	on := g.cfg.Site != nil && g.cfg.Site.Sites != nil
	switch {
	case !on && g.sites != nil:
		g.sites = nil
		g.tell(rules.ZoneParts{})
	case on && g.sites == nil:
		g.sites = newSites(&g.cfg, g.rng, g.now)
	case on:
		set, drained := g.cfg.Site.Sites.Resolve(g.cfg.Settings.ZoneNames)
		g.sites.zones.Retune(set)
		g.sites.drain(drained, g.now)
	}
}

// sweepSites looks at all zones, and tells the module where its load goes if that has changed.
func (g *Gateway) sweepSites() {
	s := g.sites
	if s == nil {
		return
	}
	for _, c := range s.zones.See(g.now, g.sights()) {
		level := Info
		if c.To == zones.Lost {
			level = Warn
		}
		if c.From != c.To {
			s.looks[c.Zone] = look{}
		}
		g.log(level, "zone", Attr{"zone", s.names[c.Zone]}, Attr{"from", c.From.String()}, Attr{"to", c.To.String()}, Attr{"damped", c.Damped})
	}
	for i, st := range s.zones.Status(g.now) {
		if st.State == zones.Lost || st.State == zones.Returning {
			g.lookAt(i, st)
		}
	}
	split := s.zones.Split(g.now)
	if moved(s.parts, split.To) {
		s.parts = split.To
		g.tell(rules.ZoneParts{To: split.To})
	}
}

// moved answers whether parts differ so much that they are told anew.
func moved(a, b []float64) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		if math.Abs(a[i]-b[i]) >= partStep || (a[i] == 0) != (b[i] == 0) {
			return true
		}
	}
	return false
}

func (g *Gateway) zoneOf(e *engineState) int { return indexOf(g.cfg.Settings.ZoneNames, e.entry.Zone) }

// sights is what is seen of each zone.
func (g *Gateway) sights() []zones.Sight {
	s := g.sites
	states := s.zones.Status(g.now)
	var engines []zones.EngineSight
	for _, b := range g.module.Beliefs() {
		e := g.engines[b.Engine]
		if e == nil || e.state != rules.EngineServing {
			continue
		}
		i, cores := g.zoneOf(e), 1.0
		if k := indexOf(g.cfg.Settings.KindNames, e.entry.Kind); k < len(g.cfg.Settings.Rules.Kinds) {
			cores = max(g.cfg.Settings.Rules.Kinds[k].Cores, 1)
		}
		// What is left out for faults from before a return is well until it faults again: the module hears that by
		// its trickle, and a zone whose engines all wait for theirs is not lost once more.
		left := b.LeftOut && !(states[i].State == zones.Returning && e.fault < states[i].Since)
		engines = append(engines, zones.EngineSight{Zone: i, Cores: cores, Warm: b.Warm, Slow: b.Slow, LeftOut: left,
			Asked: g.now-e.asked < askedSince, Silent: e.heard < e.asked})
	}
	out := zones.Sights(len(s.names), engines)
	for i := range out {
		if l := &s.looks[i]; l.lost { // nothing is sent there by which it could be well again
			good := 0
			for _, ok := range l.said {
				if ok {
					good++
				}
			}
			out[i].Well = out[i].Listed * float64(good) / lookBack
			out[i].Warm, out[i].Silent = out[i].Well, 0
		}
	}
	return out
}

// lookAt asks one engine of a lost zone whether it is there again, one after the other, and of one that returns, more
// often, those that the module still leaves out: it hears of what they say. Where probes are not allowed a lost zone is
// tried after as long, on its ramp: what fails there makes it lost again, and damped.
func (g *Gateway) lookAt(zone int, st zones.Status) {
	l := &g.sites.looks[zone]
	l.lost = st.State == zones.Lost
	every := lookEvery
	if !l.lost {
		every /= lookBack
	}
	switch {
	case !g.cfg.Settings.Rules.Limits.Probes:
		for i := range l.said {
			l.said[i] = g.now-st.Since >= lookBack*lookEvery
		}
		return
	case g.now-l.asked < every:
		return
	}
	var there []rules.EngineID
	for _, b := range g.module.Beliefs() {
		if e := g.engines[b.Engine]; e != nil && e.state == rules.EngineServing && g.zoneOf(e) == zone && (l.lost || b.LeftOut) {
			there = append(there, b.Engine)
		}
	}
	if len(there) == 0 {
		return
	}
	l.asked = g.now
	l.next++
	g.probe(there[l.next%len(there)])
}

// looked takes what a probe of a lost zone said.
func (g *Gateway) looked(e *engineState, ok bool) {
	if g.sites == nil {
		return
	}
	if l := &g.sites.looks[g.zoneOf(e)]; l.lost {
		copy(l.said[:], l.said[1:])
		l.said[lookBack-1] = ok
	}
}

// logSites notes each zone.
func (g *Gateway) logSites() {
	if g.sites == nil {
		return
	}
	for i, st := range g.sites.zones.Status(g.now) {
		part := 0.0
		if i < len(g.sites.parts) {
			part = g.sites.parts[i]
		}
		g.log(Info, "zone state", Attr{"zone", g.sites.names[i]}, Attr{"state", st.State.String()}, Attr{"share", round2(st.Share)},
			Attr{"part", round2(part)}, Attr{"well", round2(st.Well)}, Attr{"penalty", round2(st.Penalty)}, Attr{"losses", st.Losses})
	}
}

func round2(x float64) float64 { return math.Round(100*x) / 100 }
