package emulator

import (
	"fmt"

	"foxlane/internal/gossip"
	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file has modelled gateways talk, as internal/gateway/peers.go has real ones: the same code decides. Membership is taken for
// granted: who comes is known at once, who has died after a while.

// HearsayModel is how gateways talk.
type HearsayModel struct {
	Way     TalkModel
	Notice  rules.Time // from a gateway's death until the others hold it to be dead
	Hearsay gossip.Settings
	Liars   int        // gateways, the first ones, that say of all engines that they fail, and of all zones that they are lost
	Silent  rules.Time // from then on nobody hears anybody; 0: never
}

func memberName(i int) string { return fmt.Sprintf("g%03d", i) }

// beginTalk has a gateway that has just started meet the others.
func (g *gateway) beginTalk() {
	f := g.f
	m := f.scene.Talk
	if m == nil {
		return
	}
	set := replica.Defaults()
	set.Name, set.Zone, set.Incarnation, set.Seed = memberName(g.index), fmt.Sprint("zone-", g.zone), uint64(f.now), f.rng.Uint64()
	g.copies = replica.New(set, f.now)
	g.hearsay = gossip.New(m.Hearsay, g.copies, f.now)
	for _, o := range f.gateways {
		if o == g || !o.up || o.copies == nil {
			continue
		}
		g.talk(replica.Event{Kind: replica.Joined, Member: replica.Member{Name: memberName(o.index), Zone: fmt.Sprint("zone-", o.zone)}})
		o.talk(replica.Event{Kind: replica.Joined, Member: replica.Member{Name: set.Name, Zone: set.Zone}})
	}
	life := g.life
	var tick func()
	tick = func() {
		if g.up && g.life == life {
			g.tickTalk()
			f.after(set.GossipInterval, tick)
		}
	}
	f.after(rules.Time(f.rng.Int64N(int64(set.GossipInterval))), tick)
}

// endTalk: a gateway has died, and the others find out.
func (g *gateway) endTalk() {
	f := g.f
	if f.scene.Talk == nil {
		return
	}
	life := g.life
	f.after(f.scene.Talk.Notice, func() {
		if g.up && g.life != life { // it is back
			return
		}
		for _, o := range f.gateways {
			if o != g && o.up && o.copies != nil {
				o.talk(replica.Event{Kind: replica.Left, Member: replica.Member{Name: memberName(g.index)}})
			}
		}
	})
}

func (g *gateway) view() gossip.View {
	v := gossip.View{Engines: g.sights(), Learned: g.module.ClassEstimates(), SlowStart: g.module.SlowStartUsage(), Standing: g.module.LoadSummary()}
	if g.zones != nil {
		v.Zones = g.zones.Status(g.f.now)
	}
	return v
}

func (g *gateway) tickTalk() {
	f, m := g.f, g.f.scene.Talk
	v := g.view()
	if g.index < m.Liars {
		lie := v
		lie.Engines = append([]zones.EngineObservation(nil), v.Engines...)
		for i := range lie.Engines {
			lie.Engines[i].Excluded = true
		}
		lie.Zones = append([]zones.Status(nil), v.Zones...)
		for i := range lie.Zones {
			lie.Zones[i].State = zones.Lost
		}
		for i := range lie.Learned {
			lie.Learned[i] = rules.ClassEstimate{CostRatio: 1000, MeanWork: 1e9, SampleWeight: 100}
		}
		g.hearsay.Publish(f.now, lie)
	} else {
		g.hearsay.Publish(f.now, v)
	}
	g.talk(replica.Event{Kind: replica.Tick})
	w := g.hearsay.Evaluate(f.now, v)
	for _, id := range w.Probe {
		g.probeFor(f.engine(id), true)
	}
	for _, zone := range w.Suspect {
		g.zones.Suspect(zone)
	}
	for _, lesson := range w.Events {
		g.tell(lesson)
	}
}

// talk hands an event to the copies, and sends what they say.
func (g *gateway) talk(e replica.Event) {
	f, m := g.f, g.f.scene.Talk
	for _, x := range g.copies.Handle(f.now, e) {
		if x.Kind != replica.Send {
			continue
		}
		f.Books.Said += len(x.Data)
		if f.rng.Float64() < m.Way.Loss || m.Silent != 0 && f.now >= f.scene.Start+m.Silent {
			continue
		}
		var to int
		if _, err := fmt.Sscanf(x.To, "g%d", &to); err != nil || to >= len(f.gateways) {
			continue
		}
		o, data, from := f.gateways[to], append([]byte(nil), x.Data...), memberName(g.index)
		if f.cut(g.zone, o.zone) {
			continue
		}
		life := o.life
		f.after(m.Way.Least+rules.Time(f.rng.Float64()*float64(m.Way.Most-m.Way.Least)), func() {
			if o.up && o.life == life && o.copies != nil {
				o.talk(replica.Event{Kind: replica.Received, Member: replica.Member{Name: from}, Data: data})
			}
		})
	}
}
