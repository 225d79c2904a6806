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

// GossipModel is how gateways talk.
type GossipModel struct {
	Network           DatagramModel
	DetectionDelay    rules.Time // from a gateway's death until the others hold it to be dead
	Settings          gossip.Settings
	ByzantineGateways int        // gateways, the first ones, that say of all engines that they fail, and of all zones that they are lost
	SilentFrom        rules.Time // from then on nobody hears anybody; 0: never
}

func memberName(i int) string { return fmt.Sprintf("g%03d", i) }

// startGossip has a gateway that has just started meet the others.
func (g *gateway) startGossip() {
	f := g.fleet
	m := f.scenario.Gossip
	if m == nil {
		return
	}
	set := replica.Defaults()
	set.Name, set.Zone, set.Incarnation, set.Seed = memberName(g.index), fmt.Sprint("zone-", g.zone), uint64(f.now), f.rng.Uint64()
	g.replica = replica.New(set, f.now)
	g.gossip = gossip.New(m.Settings, g.replica, f.now)
	for _, o := range f.gateways {
		if o == g || !o.up || o.replica == nil {
			continue
		}
		g.handleReplica(replica.Event{Kind: replica.Joined, Member: replica.Member{Name: memberName(o.index), Zone: fmt.Sprint("zone-", o.zone)}})
		o.handleReplica(replica.Event{Kind: replica.Joined, Member: replica.Member{Name: set.Name, Zone: set.Zone}})
	}
	life := g.incarnation
	var tick func()
	tick = func() {
		if g.up && g.incarnation == life {
			g.gossipTick()
			f.after(set.GossipInterval, tick)
		}
	}
	f.after(rules.Time(f.rng.Int64N(int64(set.GossipInterval))), tick)
}

// stopGossip: a gateway has died, and the others find out.
func (g *gateway) stopGossip() {
	f := g.fleet
	if f.scenario.Gossip == nil {
		return
	}
	life := g.incarnation
	f.after(f.scenario.Gossip.DetectionDelay, func() {
		if g.up && g.incarnation != life { // it is back
			return
		}
		for _, o := range f.gateways {
			if o != g && o.up && o.replica != nil {
				o.handleReplica(replica.Event{Kind: replica.Left, Member: replica.Member{Name: memberName(g.index)}})
			}
		}
	})
}

func (g *gateway) gossipView() gossip.View {
	v := gossip.View{Engines: g.engineObservations(), Learned: g.module.ClassEstimates(), SlowStart: g.module.SlowStartUsage()}
	if g.zones != nil {
		v.Zones = g.zones.Status(g.fleet.now)
	}
	return v
}

func (g *gateway) gossipTick() {
	f, m := g.fleet, g.fleet.scenario.Gossip
	v := g.gossipView()
	if g.index < m.ByzantineGateways {
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
		g.gossip.Publish(f.now, lie)
	} else {
		g.gossip.Publish(f.now, v)
	}
	g.handleReplica(replica.Event{Kind: replica.Tick})
	w := g.gossip.Evaluate(f.now, v)
	for _, id := range w.Probe {
		g.sendProbe(f.engineByID(id), true)
	}
	for _, zone := range w.Suspect {
		g.zones.Suspect(zone)
	}
	for _, lesson := range w.Events {
		g.handle(lesson)
	}
}

// handleReplica hands an event to the copies, and sends what they say.
func (g *gateway) handleReplica(e replica.Event) {
	f, m := g.fleet, g.fleet.scenario.Gossip
	for _, x := range g.replica.Handle(f.now, e) {
		if x.Kind != replica.Send {
			continue
		}
		f.Metrics.GossipBytes += len(x.Data)
		if f.rng.Float64() < m.Network.Loss || m.SilentFrom != 0 && f.now >= f.scenario.Start+m.SilentFrom {
			continue
		}
		var to int
		if _, err := fmt.Sscanf(x.To, "g%d", &to); err != nil || to >= len(f.gateways) {
			continue
		}
		o, data, from := f.gateways[to], append([]byte(nil), x.Data...), memberName(g.index)
		if f.isCut(g.zone, o.zone) {
			continue
		}
		life := o.incarnation
		f.after(m.Network.MinDelay+rules.Time(f.rng.Float64()*float64(m.Network.MaxDelay-m.Network.MinDelay)), func() {
			if o.up && o.incarnation == life && o.replica != nil {
				o.handleReplica(replica.Event{Kind: replica.Received, Member: replica.Member{Name: from}, Data: data})
			}
		})
	}
}
