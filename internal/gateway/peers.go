package gateway

import (
	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/gossip"
	"foxlane/internal/replica"
	"foxlane/rules"
)

// This file carries what other gateways say to the copies, and what is made of it to the module and the zones. It decides
// nothing; without the operator's block `members` it does nothing, and nobody ever waits for a peer.

// PeerKind is what a PeerEvent tells.
type PeerKind int

// Kinds of peer events.
const (
	PeerJoined PeerKind = iota + 1
	PeerLeft
	PeerMessage
	PeerNameConflict // another process has a member's name
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

// Channels of what members say.
const (
	ChannelReplica    byte = iota + 1
	ChannelConsensus       // among the voters on directives
	ChannelDirectives      // of directives, to all
)

// peerState is what is held of other gateways.
type peerState struct {
	replica    *replica.Store
	gossip     *gossip.Observations
	lastStats  replica.Stats
	lastCounts gossip.Counts
	oddTick    bool                  // ticks
	joinedAt   map[string]rules.Time // members, by when they came
}

// newPeers returns the copies of a gateway that may talk, or nil.
func newPeers(cfg *config.Config, now rules.Time) *peerState {
	if cfg.Site == nil || cfg.Site.Members == nil {
		return nil
	}
	set := cfg.Site.Members.Replica
	set.Name, set.Incarnation, set.Seed = cfg.Name, uint64(now), cfg.Seed
	if i := cfg.Settings.Rules.Zone; i >= 0 && i < len(cfg.Settings.ZoneNames) {
		set.Zone = cfg.Settings.ZoneNames[i]
	}
	peers := &peerState{replica: replica.New(set, now), joinedAt: map[string]rules.Time{}}
	peers.gossip = gossip.New(cfg.Site.Members.Gossip, peers.replica, now)
	return peers
}

// reconfigurePeers goes over to what the operator's file says now: the block may come and go. What other settings of it mean
// holds from the next start of the talk on.
func (g *Gateway) reconfigurePeers() {
	on := g.cfg.Site != nil && g.cfg.Site.Members != nil
	switch {
	case on == (g.peers != nil):
	case !on:
		g.peers = nil // the book stays as it is, and grows old
		g.log(Info, "members: talk ends")
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

// handlePeer takes what has happened among the members.
func (g *Gateway) handlePeer(event PeerEvent) {
	peers := g.peers
	if peers == nil {
		return
	}
	switch event.Kind {
	case PeerJoined:
		peers.joinedAt[event.Name] = g.now
		g.log(Info, "members: joined", Attr{"member", event.Name}, Attr{"zone", event.Zone}, Attr{"members", len(peers.joinedAt)})
		g.handleReplica(replica.Event{Kind: replica.Joined, Member: replica.Member{Name: event.Name, Zone: event.Zone}})
	case PeerLeft:
		delete(peers.joinedAt, event.Name)
		g.log(Info, "members: left", Attr{"member", event.Name}, Attr{"members", len(peers.joinedAt)})
		g.handleReplica(replica.Event{Kind: replica.Left, Member: replica.Member{Name: event.Name}})
	case PeerMessage:
		switch {
		case event.Channel == ChannelReplica:
			g.handleReplica(replica.Event{Kind: replica.Received, Member: replica.Member{Name: event.Name}, Data: event.Data})
		case g.directives == nil:
		case event.Channel == ChannelConsensus:
			g.runDirectiveOutcomes(g.directives.proposer.Handle(g.now, directives.Event{Kind: directives.Received, From: event.Name, Data: event.Data}))
		case event.Channel == ChannelDirectives:
			g.runDirectiveOutcomes(g.directives.proposer.HandleStateMessage(g.now, event.Name, event.Data))
		}
	case PeerNameConflict:
		g.log(Warn, "members: a name comes twice", Attr{"member", event.Name}, Attr{"at", event.Text})
	}
}

// handleReplica hands an event to the copies and carries out what they ask for.
func (g *Gateway) handleReplica(event replica.Event) {
	for _, effect := range g.peers.replica.Handle(g.now, event) {
		switch effect.Kind {
		case replica.Send:
			g.emit(SendToMember{To: effect.To, Channel: ChannelReplica, Data: effect.Data})
		case replica.Reject:
			g.log(Warn, "members: message refused", Attr{"member", effect.Origin}, Attr{"error", effect.Err.Error()})
		}
	}
}

// tickPeers lets time pass among the copies: ours are written, those of others looked at.
func (g *Gateway) tickPeers() {
	peers := g.peers
	if peers == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.cfg.Site.Members.Replica.GossipInterval, kind: timerPeers})
	if peers.oddTick = !peers.oddTick; peers.oddTick { // what we hold changes slower than what is said
		g.handleReplica(replica.Event{Kind: replica.Tick})
		return
	}
	view := gossip.View{Engines: g.engineSights(), Learned: g.module.ClassEstimates(), SlowStart: g.module.SlowStartUsage(), Standing: g.module.LoadSummary()}
	if g.zones != nil {
		view.Zones = g.zones.router.Status(g.now)
	}
	peers.gossip.Publish(g.now, view)
	g.handleReplica(replica.Event{Kind: replica.Tick})
	weighed := peers.gossip.Evaluate(g.now, view)
	if g.cfg.Settings.Rules.Limits.Probes {
		for _, id := range weighed.Probe {
			g.probeEngine(id, true)
		}
	}
	for _, zone := range weighed.Suspect {
		g.zones.router.Suspect(zone)
	}
	for _, lesson := range weighed.Events {
		g.tellModule(lesson)
	}
}

// logPeers notes what was said since the last line.
func (g *Gateway) logPeers() {
	peers := g.peers
	if peers == nil {
		return
	}
	stats, last, counts := peers.replica.Stats(), peers.lastStats, peers.gossip.Counts()
	lastCounts := peers.lastCounts
	peers.lastStats, peers.lastCounts = stats, counts
	g.log(Info, "copies", Attr{"members", stats.Members}, Attr{"origins", stats.Origins}, Attr{"entries", stats.Entries}, Attr{"sent_bytes", stats.BytesSent - last.BytesSent},
		Attr{"received_bytes", stats.BytesReceived - last.BytesReceived}, Attr{"news", stats.NewEntries - last.NewEntries}, Attr{"known", stats.KnownEntries - last.KnownEntries}, Attr{"refused", stats.Rejected - last.Rejected},
		Attr{"mended", stats.Repaired - last.Repaired}, Attr{"held_back", stats.OverBudget - last.OverBudget}, Attr{"lag_ms", int64(stats.Lag / rules.Millisecond)},
		Attr{"engines_looked_at", counts.EnginesProbed - lastCounts.EnginesProbed}, Attr{"zones_doubted", counts.ZonesSuspected - lastCounts.ZonesSuspected}, Attr{"classes_taught", counts.ClassesLearned - lastCounts.ClassesLearned})
}
