package gateway

import (
	"encoding/json"
	"fmt"
	"time"

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
	PeerCame
	PeerNamesake // another process has a member's name
)

// PeerEvent is something that happened among the members.
type PeerEvent struct {
	Kind    PeerKind
	Name    string
	Zone    string
	Channel byte
	Text    string
}

// Channels of what members say.
const (
	ChannelCopies byte = iota + 1
	ChannelVotes       // among the voters on directives
	ChannelBooks       // of directives, to all
)

// peers is what is held of other gateways.
type peers struct {
	copies  *replica.Replica
	hearsay *gossip.Hearsay
	last    replica.Stats
	asked   gossip.Counts
	odd     bool                  // ticks
	since   map[string]rules.Time // members, by when they came
}

// newPeers returns the copies of a gateway that may talk, or nil.
func newPeers(cfg *config.Config, now rules.Time) *peers {
	if cfg.Site == nil || cfg.Site.Members == nil {
		return nil
	}
	set := cfg.Site.Members.Replica
	set.Name, set.Life, set.Seed = cfg.Name, uint64(now), cfg.Seed
	if i := cfg.Settings.Rules.Zone; i >= 0 && i < len(cfg.Settings.ZoneNames) {
		set.Zone = cfg.Settings.ZoneNames[i]
	}
	p := &peers{copies: replica.New(set, now), since: map[string]rules.Time{}}
	p.hearsay = gossip.New(cfg.Site.Members.Hearsay, p.copies, now)
	return p
}

// retunePeers goes over to what the operator's file says now: the block may come and go. What other settings of it mean
// holds from the next start of the talk on.
func (g *Gateway) retunePeers() {
	on := g.cfg.Site != nil && g.cfg.Site.Members != nil
	switch {
	case on == (g.peers != nil):
	case !on:
		g.peers = nil // the book stays as it is, and grows old
		g.log(Info, "members: talk ends")
		g.do(Effect{Kind: LeaveMembers})
	default:
		g.beginPeers()
		g.do(Effect{Kind: JoinMembers})
	}
}

func (g *Gateway) beginPeers() {
	if g.peers = newPeers(&g.cfg, g.now); g.peers != nil {
		g.timers.add(timer{at: g.now + g.cfg.Site.Members.Replica.Tick, kind: timerPeers})
	}
}

// peer takes what has happened among the members.
func (g *Gateway) peer(e Event) {
	p := g.peers
	if p == nil {
		return
	}
	switch x := e.Peer; x.Kind {
	case PeerJoined:
		p.since[x.Name] = g.now
		g.log(Info, "members: joined", Attr{"member", x.Name}, Attr{"zone", x.Zone}, Attr{"members", len(p.since)})
		g.atCopies(replica.Event{Kind: replica.Joined, Member: replica.Member{Name: x.Name, Zone: x.Zone}})
	case PeerLeft:
		delete(p.since, x.Name)
		g.log(Info, "members: left", Attr{"member", x.Name}, Attr{"members", len(p.since)})
		g.atCopies(replica.Event{Kind: replica.Left, Member: replica.Member{Name: x.Name}})
	case PeerCame:
		switch {
		case x.Channel == ChannelCopies:
			g.atCopies(replica.Event{Kind: replica.Came, Member: replica.Member{Name: x.Name}, Data: e.Data})
		case g.orders == nil:
		case x.Channel == ChannelVotes:
			g.carryOrders(g.orders.desk.Handle(g.now, directives.Event{Kind: directives.Came, From: x.Name, Data: e.Data}))
		case x.Channel == ChannelBooks:
			g.carryOrders(g.orders.desk.Said(g.now, x.Name, e.Data))
		}
	case PeerNamesake:
		g.log(Warn, "members: a name comes twice", Attr{"member", x.Name}, Attr{"at", x.Text})
	}
}

// atCopies hands an event to the copies and carries out what they ask for.
func (g *Gateway) atCopies(e replica.Event) {
	for _, f := range g.peers.copies.Handle(g.now, e) {
		switch f.Kind {
		case replica.Send:
			g.do(Effect{Kind: SendToMember, To: f.To, Channel: ChannelCopies, Data: f.Data})
		case replica.Refuse:
			g.log(Warn, "members: message refused", Attr{"member", f.Origin}, Attr{"error", f.Err.Error()})
		}
	}
}

// tickPeers lets time pass among the copies: ours are written, those of others looked at.
func (g *Gateway) tickPeers() {
	p := g.peers
	if p == nil {
		return
	}
	g.timers.add(timer{at: g.now + g.cfg.Site.Members.Replica.Tick, kind: timerPeers})
	if p.odd = !p.odd; p.odd { // what we hold changes slower than what is said
		g.atCopies(replica.Event{Kind: replica.Tick})
		return
	}
	v := gossip.View{Engines: g.sights(), Learned: g.module.ClassEstimates(), Cold: g.module.SlowStartUsage(), Standing: g.module.LoadSummary()}
	if g.sites != nil {
		v.Zones = g.sites.zones.Status(g.now)
	}
	p.hearsay.Tell(g.now, v)
	g.atCopies(replica.Event{Kind: replica.Tick})
	w := p.hearsay.Weigh(g.now, v)
	if g.cfg.Settings.Rules.Limits.Probes {
		for _, id := range w.Ask {
			g.probeFor(id, true)
		}
	}
	for _, zone := range w.Doubt {
		g.sites.zones.Doubt(zone)
	}
	for _, lesson := range w.Lessons {
		g.tell(lesson)
	}
}

// logPeers notes what was said since the last line.
func (g *Gateway) logPeers() {
	p := g.peers
	if p == nil {
		return
	}
	s, l, c := p.copies.Stats(), p.last, p.hearsay.Counts()
	a := p.asked
	p.last, p.asked = s, c
	g.log(Info, "copies", Attr{"members", s.Members}, Attr{"origins", s.Origins}, Attr{"entries", s.Entries}, Attr{"sent_bytes", s.Sent - l.Sent},
		Attr{"received_bytes", s.Received - l.Received}, Attr{"news", s.New - l.New}, Attr{"known", s.Old - l.Old}, Attr{"refused", s.Refused - l.Refused},
		Attr{"mended", s.Mended - l.Mended}, Attr{"held_back", s.Held - l.Held}, Attr{"lag_ms", int64(s.Lag / rules.Millisecond)},
		Attr{"engines_looked_at", c.Asked - a.Asked}, Attr{"zones_doubted", c.Doubted - a.Doubted}, Attr{"classes_taught", c.Taught - a.Taught})
}

// ---- operators' questions

// inquire answers a question of an operator's command with one line of JSON.
func (g *Gateway) inquire(e Event) {
	var answer any
	switch what := string(e.Data); {
	case len(e.Data) > 0 && e.Data[0] == '{':
		g.takeOrder(e.Conn, e.Data)
		return
	case what == "book":
		answer = g.tellBook()
	case g.peers == nil:
		answer = map[string]string{"error": "talk is off"}
	case what == "members":
		answer = g.tellMembers()
	case what == "copies":
		answer = g.tellCopies()
	default:
		answer = map[string]string{"error": fmt.Sprintf("unknown question %.40q", what)}
	}
	g.reply(e.Conn, answer)
}

func (g *Gateway) reply(conn ConnID, answer any) {
	line, err := json.Marshal(answer)
	if err != nil {
		line = []byte(`{"error":"the answer can't be written"}`)
	}
	g.do(Effect{Kind: ControlResponse, Conn: conn, Data: append(line, '\n')})
}

// MemberLine is a member as `foxlane members` shows it.
type MemberLine struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone"`
	SinceMS  int64   `json:"since_ms"` // how long it has been there; of ourselves how long we run
	Entries  int     `json:"entries"`  // copies that are held of it
	NewestMS int64   `json:"newest_ms"`
	Counter  uint64  `json:"counter"`
	Life     string  `json:"life"` // when it began
	Us       bool    `json:"us,omitempty"`
	LagMS    int64   `json:"lag_ms,omitempty"` // ours
	SentBS   float64 `json:"sent_bytes_s,omitempty"`
}

func (g *Gateway) tellMembers() any {
	p := g.peers
	zone := map[string]string{}
	for _, m := range p.copies.Members() {
		zone[m.Name] = m.Zone
	}
	stats := p.copies.Stats()
	out := []MemberLine{}
	for _, c := range p.copies.Copies() {
		_, there := p.since[c.Origin]
		us := c.Origin == g.cfg.Name
		if !there && !us {
			continue
		}
		l := MemberLine{Name: c.Origin, Zone: zone[c.Origin], Entries: len(c.Entries), Counter: c.Counter, NewestMS: -1,
			Life: time.UnixMicro(int64(c.Life)).UTC().Format(time.RFC3339), Us: us}
		for _, e := range c.Entries {
			if age := int64((g.now - e.Born) / rules.Millisecond); l.NewestMS < 0 || age < l.NewestMS {
				l.NewestMS = age
			}
		}
		if us {
			l.SinceMS, l.LagMS = int64((g.now-rules.Time(c.Life))/rules.Millisecond), int64(stats.Lag/rules.Millisecond)
			l.SentBS = float64(stats.Sent) / max(float64(l.SinceMS)/1000, 1)
		} else {
			l.SinceMS = int64((g.now - p.since[c.Origin]) / rules.Millisecond)
		}
		out = append(out, l)
	}
	return out
}

// CopyLine is an entry as `foxlane replica diff` compares it.
type CopyLine struct {
	Origin  string        `json:"origin"`
	Life    uint64        `json:"life"`
	Kind    string        `json:"kind"`
	Subject uint64        `json:"subject"`
	Counter uint64        `json:"counter"`
	AgeMS   int64         `json:"age_ms"`
	LeftMS  int64         `json:"left_ms"` // until it is forgotten
	Value   replica.Value `json:"value"`
}

func (g *Gateway) tellCopies() any {
	out := []CopyLine{}
	set := &g.cfg.Site.Members.Replica
	for _, c := range g.peers.copies.Copies() {
		for _, e := range c.Entries {
			out = append(out, CopyLine{c.Origin, c.Life, e.Kind.String(), e.Subject, e.Counter, int64((g.now - e.Born) / rules.Millisecond),
				int64((e.Born + set.Keep[e.Kind] - g.now) / rules.Millisecond), e.Value})
		}
	}
	return out
}
