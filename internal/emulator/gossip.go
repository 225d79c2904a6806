package emulator

import (
	"fmt"
	"slices"

	"foxlane/internal/gossip"
	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file connects modelled gateways by gossip, with the same decision code as internal/gateway/peers.go uses.
// Membership itself is not modelled: all gateways learn of a start at once, and of a crash after a fixed delay.

// GossipModel holds the parameters of gossip between gateways.
type GossipModel struct {
	Network           DatagramModel
	DetectionDelay    rules.Time // from a gateway's crash until the others detect it
	Settings          gossip.Settings
	ByzantineGateways int        // the first gateways, which report all engines as failing and all zones as lost
	SilentFrom        rules.Time // time since the start from which all datagrams are lost; 0: never
}

func memberName(gateway int) string { return fmt.Sprintf("g%03d", gateway) }

func (g *gateway) member() replica.Member {
	return replica.Member{Name: memberName(g.index), Zone: fmt.Sprint("zone-", g.zone)}
}

// isGossiping reports whether the gateway is up and has a replica.
func (g *gateway) isGossiping() bool { return g.up && g.replica != nil }

// startGossip creates the replica of a gateway that has just started, and joins it with all others.
func (g *gateway) startGossip() {
	f := g.fleet
	m := f.scenario.Gossip
	if m == nil {
		return
	}
	s := replica.Defaults()
	s.Name, s.Zone, s.Incarnation, s.Seed = g.member().Name, g.member().Zone, uint64(f.now), f.rng.Uint64()
	g.replica = replica.New(s, f.now)
	g.gossip = gossip.New(m.Settings, g.replica, f.now)
	for _, other := range f.gateways {
		if other == g || !other.isGossiping() {
			continue
		}
		g.handleReplica(replica.Joined{Member: other.member()})
		other.handleReplica(replica.Joined{Member: g.member()})
	}
	g.every(s.GossipInterval, g.gossipTick)
}

// scheduleCrashDetection notifies the others after DetectionDelay that the gateway has crashed.
func (g *gateway) scheduleCrashDetection() {
	f := g.fleet
	if f.scenario.Gossip == nil {
		return
	}
	incarnation := g.incarnation
	f.after(f.scenario.Gossip.DetectionDelay, func() {
		if g.up && g.incarnation != incarnation { // it has already joined again as a new incarnation
			return
		}
		for _, other := range f.gateways {
			if other != g && other.isGossiping() {
				other.handleReplica(replica.Left{Member: replica.Member{Name: memberName(g.index)}})
			}
		}
	})
}

// gossipView returns what the gateway observes and publishes.
func (g *gateway) gossipView() gossip.View {
	v := gossip.View{Engines: g.engineObservations(), ClassEstimates: g.module.ClassEstimates(), SlowStart: g.module.SlowStartUsage()}
	if g.zones != nil {
		v.Zones = g.zones.Status(g.fleet.now)
	}
	return v
}

// byzantineView returns what a byzantine gateway publishes in place of its own view.
func byzantineView(v gossip.View) gossip.View {
	v.Engines, v.Zones = slices.Clone(v.Engines), slices.Clone(v.Zones)
	for i := range v.Engines {
		v.Engines[i].Excluded = true
	}
	for i := range v.Zones {
		v.Zones[i].State = zones.Lost
	}
	for i := range v.ClassEstimates { // not cloned: the gateway also uses these estimates itself
		v.ClassEstimates[i] = rules.ClassEstimate{CostRatio: 1000, MeanWork: 1e9, SampleWeight: 100}
	}
	return v
}

// gossipTick publishes the gateway's view, and acts on what others have published.
func (g *gateway) gossipTick() {
	f := g.fleet
	view := g.gossipView()
	published := view
	if g.index < f.scenario.Gossip.ByzantineGateways {
		published = byzantineView(view)
	}
	g.gossip.Publish(f.now, published)
	g.handleReplica(replica.Tick{})
	evaluated := g.gossip.Evaluate(f.now, view)
	for _, id := range evaluated.Probe {
		g.sendProbe(f.engineByID(id), true)
	}
	for _, zone := range evaluated.Suspect {
		g.zones.Suspect(zone)
	}
	for _, event := range evaluated.Events {
		g.handle(event)
	}
}

// handleReplica passes an event to the gateway's replica, and sends the resulting datagrams.
func (g *gateway) handleReplica(e replica.Event) {
	f, m := g.fleet, g.fleet.scenario.Gossip
	for _, effect := range g.replica.Handle(f.now, e) {
		send, ok := effect.(replica.Send)
		if !ok {
			continue
		}
		f.Metrics.GossipBytes += len(send.Data)
		if f.rng.Float64() < m.Network.Loss || m.SilentFrom != 0 && f.now >= f.scenario.Start+m.SilentFrom {
			continue
		}
		var index int
		if _, err := fmt.Sscanf(send.To, "g%d", &index); err != nil || index >= len(f.gateways) {
			continue
		}
		// Cloned because the data is valid only until the next call of the replica.
		to, data, from := f.gateways[index], slices.Clone(send.Data), memberName(g.index)
		if f.isCut(g.zone, to.zone) {
			continue
		}
		to.after(m.Network.drawDelay(f.rng), func() {
			if to.replica != nil {
				to.handleReplica(replica.Received{From: replica.Member{Name: from}, Data: data})
			}
		})
	}
}
