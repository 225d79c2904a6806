package gateway

import (
	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/gossip"
	"foxlane/internal/replica"
	"foxlane/rules"
)

// This file connects the reducer to the other gateways. It applies their messages to the replicated state, and
// passes the conclusions of package gossip to the module and the zones. Nothing here ever waits for a peer. Without
// the block `members` in the operator's file, the gateway does not contact others.

// PeerKind is the kind of a PeerEvent.
type PeerKind int

// The kinds of peer events.
const (
	PeerJoined PeerKind = iota + 1
	PeerLeft
	PeerMessage
	PeerNameConflict // another process uses the name of a member
)

// PeerEvent is an Event that reports a change of membership or a message from a member.
type PeerEvent struct {
	Kind    PeerKind
	Name    string
	Zone    string
	Channel byte   // set for PeerMessage
	Data    []byte // set for PeerMessage; valid only during Step
	Text    string // set for PeerNameConflict: address of the other process
}

// The channels of messages between members.
const (
	ChannelReplica    byte = iota + 1
	ChannelConsensus       // consensus among the voters on directives
	ChannelDirectives      // directives in force, sent to all members
)

// peerState holds the replicated state and the known members.
type peerState struct {
	replica    *replica.Store
	gossip     *gossip.Observations
	lastStats  replica.Stats         // as of the last statistics log line
	lastCounts gossip.Counts         // as of the last statistics log line
	oddTick    bool                  // alternates with each tick; see tickPeers
	joinedAt   map[string]rules.Time // join time of each other member
}

// newPeers returns the configured peer state, or nil if members are not configured.
func newPeers(cfg *config.Config, now rules.Time) *peerState {
	if cfg.Site == nil || cfg.Site.Members == nil {
		return nil
	}
	settings := cfg.Site.Members.Replica
	settings.Name, settings.Incarnation, settings.Seed = cfg.Name, uint64(now), cfg.Seed
	if i := cfg.Settings.Rules.Zone; i >= 0 && i < len(cfg.Settings.ZoneNames) {
		settings.Zone = cfg.Settings.ZoneNames[i]
	}
	peers := &peerState{replica: replica.New(settings, now), joinedAt: map[string]rules.Time{}}
	peers.gossip = gossip.New(cfg.Site.Members.Gossip, peers.replica, now)
	return peers
}

// reconfigurePeers starts or stops the exchange with peers after a reload added or removed the block `members`.
// Changed settings of the block take effect at the next join.
func (g *Gateway) reconfigurePeers() {
	on := g.cfg.Site != nil && g.cfg.Site.Members != nil
	switch {
	case on == (g.peers != nil):
	case !on:
		g.peers = nil // the directives stay unchanged and become stale
		g.log(Info, "members: leaving")
		g.emit(LeaveMembers{})
	default:
		g.startPeers()
		g.emit(JoinMembers{})
	}
}

// startPeers creates the peer state and starts its tick timer, if members are configured.
func (g *Gateway) startPeers() {
	if g.peers = newPeers(&g.cfg, g.now); g.peers != nil {
		g.timers.add(timer{at: g.now + g.cfg.Site.Members.Replica.GossipInterval, kind: timerPeers})
	}
}

// handlePeer handles a change of membership or a message from a member.
func (g *Gateway) handlePeer(event PeerEvent) {
	peers := g.peers
	if peers == nil {
		return
	}
	switch event.Kind {
	case PeerJoined:
		peers.joinedAt[event.Name] = g.now
		g.log(Info, "members: joined", Attr{keyMember, event.Name}, Attr{keyZone, event.Zone}, Attr{keyMembers, len(peers.joinedAt)})
		g.notifyReplica(replica.Joined{Member: replica.Member{Name: event.Name, Zone: event.Zone}})
	case PeerLeft:
		delete(peers.joinedAt, event.Name)
		g.log(Info, "members: left", Attr{keyMember, event.Name}, Attr{keyMembers, len(peers.joinedAt)})
		g.notifyReplica(replica.Left{Member: replica.Member{Name: event.Name}})
	case PeerMessage:
		switch {
		case event.Channel == ChannelReplica:
			g.notifyReplica(replica.Received{From: replica.Member{Name: event.Name}, Data: event.Data})
		case g.directives == nil:
		case event.Channel == ChannelConsensus:
			g.runDirectiveEffects(g.directives.node.Handle(g.now, directives.Received{From: event.Name, Data: event.Data}))
		case event.Channel == ChannelDirectives:
			g.runDirectiveEffects(g.directives.node.HandleStateMessage(g.now, event.Name, event.Data))
		}
	case PeerNameConflict:
		g.log(Warn, "members: duplicate name", Attr{keyMember, event.Name}, Attr{"at", event.Text})
	}
}

// notifyReplica passes an event to the replicated state and executes the resulting effects.
func (g *Gateway) notifyReplica(event replica.Event) {
	for _, effect := range g.peers.replica.Handle(g.now, event) {
		switch effect := effect.(type) {
		case replica.Send:
			g.emit(SendToMember{To: effect.To, Channel: ChannelReplica, Data: effect.Data})
		case replica.Reject:
			g.log(Warn, "members: message rejected", Attr{keyMember, effect.From}, Attr{keyError, effect.Err.Error()})
		}
	}
}

// tickPeers ticks the clock of the replicated state. Every other tick also publishes this gateway's observations
// and evaluates those of peers, since these change more slowly than messages must be sent.
func (g *Gateway) tickPeers() {
	peers := g.peers
	if peers == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.cfg.Site.Members.Replica.GossipInterval, kind: timerPeers})
	if peers.oddTick = !peers.oddTick; peers.oddTick {
		g.notifyReplica(replica.Tick{})
		return
	}
	view := gossip.View{Engines: g.engineObservations(), ClassEstimates: g.module.ClassEstimates(), SlowStart: g.module.SlowStartUsage()}
	if g.zones != nil {
		view.Zones = g.zones.controller.Status(g.now)
	}
	peers.gossip.Publish(g.now, view)
	g.notifyReplica(replica.Tick{})
	advice := peers.gossip.Evaluate(g.now, view)
	if g.cfg.Settings.Rules.Limits.Probes {
		for _, id := range advice.Probe {
			g.probeEngine(id, true)
		}
	}
	for _, zone := range advice.Suspect {
		g.zones.controller.Suspect(zone)
	}
	for _, event := range advice.Events {
		g.notifyModule(event)
	}
}

// logPeers logs the statistics of the exchange with peers since its last log line.
func (g *Gateway) logPeers() {
	peers := g.peers
	if peers == nil {
		return
	}
	stats, last, counts := peers.replica.Stats(), peers.lastStats, peers.gossip.Counts()
	lastCounts := peers.lastCounts
	peers.lastStats, peers.lastCounts = stats, counts
	g.log(Info, "replica", Attr{keyMembers, stats.Members}, Attr{"origins", stats.Origins}, Attr{"entries", stats.Entries},
		Attr{"sent_bytes", stats.BytesSent - last.BytesSent}, Attr{"received_bytes", stats.BytesReceived - last.BytesReceived},
		Attr{"new_entries", stats.NewEntries - last.NewEntries}, Attr{"known_entries", stats.KnownEntries - last.KnownEntries},
		Attr{keyRejected, stats.Rejected - last.Rejected}, Attr{"repaired", stats.Repaired - last.Repaired},
		Attr{"over_budget", stats.OverBudget - last.OverBudget}, Attr{"lag_ms", milliseconds(stats.Lag)},
		Attr{"engines_probed", counts.EnginesProbed - lastCounts.EnginesProbed},
		Attr{"zones_suspected", counts.ZonesSuspected - lastCounts.ZonesSuspected},
		Attr{"classes_learned", counts.ClassesLearned - lastCounts.ClassesLearned})
}
