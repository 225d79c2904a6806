package emu

import (
	"math"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file joins the zones to modelled gateways, as internal/gateway joins them to real ones.

// seen is what a gateway remembers of an engine beside what its module does.
type seen struct {
	asked, heard, fault rules.Time
}

type sites struct {
	zones *zones.Zones
	parts []float64
	lost  []probes
}

// probes are the latest of a zone that is lost.
type probes struct {
	next int
	said [4]bool
	at   rules.Time
	on   bool
}

const sitesEvery = 200 * rules.Millisecond

func (g *gateway) of(id rules.EngineID) *seen {
	s := g.seen[id]
	if s == nil {
		s = &seen{}
		g.seen[id] = s
	}
	return s
}

func (g *gateway) beginSites() {
	if g.f.scene.Sites == nil {
		return
	}
	n := max(1, g.f.scene.Zones)
	g.sites = &sites{zones: zones.New(*g.f.scene.Sites, n, g.zone, g.f.rng.Float64(), g.f.now), lost: make([]probes, n)}
	life := g.life
	var look func()
	look = func() {
		if g.up && g.life == life {
			g.look()
			g.f.after(sitesEvery, look)
		}
	}
	g.f.after(rules.Time(g.f.rng.Int64N(int64(sitesEvery))), look)
}

// look shows the zones what is held of their engines, and tells the module the parts.
func (g *gateway) look() {
	f, s := g.f, g.sites
	states := s.zones.Status(f.now)
	var list []zones.EngineSight
	for _, b := range g.module.Beliefs() {
		e := f.engine(b.Engine)
		if e.state != rules.EngineServing {
			continue
		}
		k := g.of(b.Engine)
		left := b.LeftOut && !(states[e.zone].State == zones.Returning && k.fault < states[e.zone].Since)
		list = append(list, zones.EngineSight{Zone: e.zone, Cores: f.scene.Engine.Cores, Warm: b.Warm, Slow: b.Slow, LeftOut: left,
			Asked: f.now-k.asked < 4*rules.Second, Silent: k.heard < k.asked})
	}
	sights := zones.Sights(len(states), list)
	for i := range sights {
		if p := &s.lost[i]; p.on {
			good := 0
			for _, ok := range p.said {
				if ok {
					good++
				}
			}
			sights[i].Well = sights[i].Listed * float64(good) / float64(len(p.said))
			sights[i].Warm, sights[i].Silent = sights[i].Well, 0
		}
	}
	for _, c := range s.zones.See(f.now, sights) {
		if c.From != c.To {
			s.lost[c.Zone] = probes{}
			f.Books.Moves++
		}
	}
	for i, st := range s.zones.Status(f.now) {
		if st.State == zones.Lost || st.State == zones.Returning {
			g.probe(i, st.State == zones.Lost)
		}
	}
	to := s.zones.Split(f.now).To
	for i := range to {
		if len(s.parts) != len(to) || math.Abs(s.parts[i]-to[i]) >= 0.01 || (s.parts[i] == 0) != (to[i] == 0) {
			s.parts = to
			g.tell(rules.ZoneParts{To: to})
			return
		}
	}
}

func (g *gateway) probe(zone int, lost bool) {
	f, p := g.f, &g.sites.lost[zone]
	every := rules.Second
	if !lost {
		every /= 4
	}
	if p.on = lost; f.now-p.at < every {
		return
	}
	var there []*engine
	for _, b := range g.module.Beliefs() {
		if e := f.engine(b.Engine); e.zone == zone && e.state == rules.EngineServing && (lost || b.LeftOut) {
			there = append(there, e)
		}
	}
	if len(there) == 0 {
		return
	}
	p.at = f.now
	p.next++
	e, life := there[p.next%len(there)], g.life
	f.Books.Probes++
	f.after(f.way(g, e)*2, func() {
		if !g.up || g.life != life {
			return
		}
		ok := !e.silent && !e.gone && !e.fallen
		copy(p.said[:], p.said[1:])
		p.said[len(p.said)-1] = ok
		v := rules.VerdictTimeout
		if ok {
			v = rules.VerdictOK
		}
		g.tell(rules.ProbeResult{Engine: e.id, Verdict: v})
	})
}
