package gateway

import (
	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/gossip"
	"foxlane/internal/replica"
	"foxlane/rules"
)

// This file connects the reducer with the other gateways: it hands their messages to the replicated state, and what package gossip makes
// of that to the module and the zones. It decides nothing, and nothing here ever waits for a peer. Without the block `members` in
// the operator's file no other gateway is contacted.

// PeerKind is the kind of a PeerEvent.
type PeerKind int

// Kinds of peer events.
const (
	PeerJoined PeerKind = iota + 1
	PeerLeft
	PeerMessage
	PeerNameConflict // another process uses a member's name
)

// PeerEvent is an Event: something that happened among the members.
type PeerEvent struct {
	Kind    PeerKind
	Name    string
	Zone    string
	Channel byte   // with PeerMessage, as Data
	Data    []byte // valid during Step only
	Text    string // with PeerNameConflict: the other's address
}

// Channels of messages among members.
const (
	ChannelReplica    byte = iota + 1
	ChannelConsensus       // among the voters on directives
	ChannelDirectives      // directives in force, to all members
)

// peerState is what this gateway knows of the others.
type peerState struct {
	replica    *replica.Store
	gossip     *gossip.Observations
	lastStats  replica.Stats         // when figures were last logged
	lastCounts gossip.Counts         // when figures were last logged
	oddTick    bool                  // of the current tick
	joinedAt   map[string]rules.Time // when each member joined
}

// newPeers returns the state that the operator has configured, or nil.
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

// reconfigurePeers takes over the operator's file as it is now: the block may come and go. Its settings take effect when members are
// joined the next time.
func (g *Gateway) reconfigurePeers() {
	on := g.cfg.Site != nil && g.cfg.Site.Members != nil
	switch {
	case on == (g.peers != nil):
	case !on:
		g.peers = nil // the directives stay as they are, and become stale
		g.log(Info, "members: leaving")
		g.emit(LeaveMembers{})
	default:
		g.startPeers()
		g.emit(JoinMembers{})
	}
}

func (g *Gateway) startPeers() {
	if g.peers = newPeers(&g.cfg, g.now); g.peers != nil {
		g.timers.add(timer{at: g.now + g.cfg.Site.Members.Replica.GossipInterval, kind: timerPeers})
	}
}

// handlePeer takes an event among the members.
func (g *Gateway) handlePeer(event PeerEvent) {
	peers := g.peers
	if peers == nil {
		return
	}
	switch event.Kind {
	case PeerJoined:
		peers.joinedAt[event.Name] = g.now
		g.log(Info, "members: joined", Attr{keyMember, event.Name}, Attr{keyZone, event.Zone}, Attr{keyMembers, len(peers.joinedAt)})
		g.handleReplica(replica.Joined{Member: replica.Member{Name: event.Name, Zone: event.Zone}})
	case PeerLeft:
		delete(peers.joinedAt, event.Name)
		g.log(Info, "members: left", Attr{keyMember, event.Name}, Attr{keyMembers, len(peers.joinedAt)})
		g.handleReplica(replica.Left{Member: replica.Member{Name: event.Name}})
	case PeerMessage:
		switch {
		case event.Channel == ChannelReplica:
			g.handleReplica(replica.Received{From: replica.Member{Name: event.Name}, Data: event.Data})
		case g.directives == nil:
		case event.Channel == ChannelConsensus:
			g.runDirectiveOutcomes(g.directives.proposer.Handle(g.now, directives.Received{From: event.Name, Data: event.Data}))
		case event.Channel == ChannelDirectives:
			g.runDirectiveOutcomes(g.directives.proposer.HandleStateMessage(g.now, event.Name, event.Data))
		}
	case PeerNameConflict:
		g.log(Warn, "members: duplicate name", Attr{keyMember, event.Name}, Attr{"at", event.Text})
	}
}

// handleReplica hands an event to the replicated state and carries out what that asks for.
func (g *Gateway) handleReplica(event replica.Event) {
	for _, effect := range g.peers.replica.Handle(g.now, event) {
		switch effect := effect.(type) {
		case replica.Send:
			g.emit(SendToMember{To: effect.To, Channel: ChannelReplica, Data: effect.Data})
		case replica.Reject:
			g.log(Warn, "members: message rejected", Attr{keyMember, effect.From}, Attr{keyError, effect.Err.Error()})
		}
	}
}

// tickPeers lets time pass for the replicated state. On every other tick our own observations are published and those of others are
// evaluated, since they change slower than messages must be sent.
func (g *Gateway) tickPeers() {
	peers := g.peers
	if peers == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.cfg.Site.Members.Replica.GossipInterval, kind: timerPeers})
	if peers.oddTick = !peers.oddTick; peers.oddTick {
		g.handleReplica(replica.Tick{})
		return
	}
	view := gossip.View{Engines: g.engineSights(), Learned: g.module.ClassEstimates(), SlowStart: g.module.SlowStartUsage()}
	if g.zones != nil {
		view.Zones = g.zones.router.Status(g.now)
	}
	peers.gossip.Publish(g.now, view)
	g.handleReplica(replica.Tick{})
	advice := peers.gossip.Evaluate(g.now, view)
	if g.cfg.Settings.Rules.Limits.Probes {
		for _, id := range advice.Probe {
			g.probeEngine(id, true)
		}
	}
	for _, zone := range advice.Suspect {
		g.zones.router.Suspect(zone)
	}
	for _, event := range advice.Events {
		g.tellModule(event)
	}
}

// logPeers logs what was exchanged with other gateways since the last such line.
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
