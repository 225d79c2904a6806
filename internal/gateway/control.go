package gateway

import (
	"encoding/json"
	"fmt"
	"foxlane/internal/directives"
	"foxlane/internal/replica"
	"foxlane/rules"
	"time"
)

// This file answers the questions and commands that operators' commands send to the process.

// answerInquiry answers a question of an operator's command with one line of JSON.
func (g *Gateway) answerInquiry(event ControlRequest) {
	var answer any
	switch what := string(event.Data); {
	case len(event.Data) > 0 && event.Data[0] == '{':
		g.proposeDirective(event.Conn, event.Data)
		return
	case what == "book":
		answer = g.directiveStatus()
	case g.peers == nil:
		answer = map[string]string{"error": "talk is off"}
	case what == "members":
		answer = g.memberStatus()
	case what == "copies":
		answer = g.replicaEntries()
	default:
		answer = map[string]string{"error": fmt.Sprintf("unknown question %.40q", what)}
	}
	g.reply(event.Conn, answer)
}

func (g *Gateway) reply(conn ConnID, answer any) {
	line, err := json.Marshal(answer)
	if err != nil {
		line = []byte(`{"error":"the answer can't be written"}`)
	}
	g.emit(ControlResponse{Conn: conn, Data: append(line, '\n')})
}

// MemberStatus is a member as `foxlane members` shows it.
type MemberStatus struct {
	Name               string  `json:"name"`
	Zone               string  `json:"zone"`
	SinceMS            int64   `json:"since_ms"` // how long it has been there; of ourselves how long we run
	Entries            int     `json:"entries"`  // copies that are held of it
	NewestEntryMS      int64   `json:"newest_ms"`
	Counter            uint64  `json:"counter"`
	Incarnation        string  `json:"life"` // when it began
	Self               bool    `json:"us,omitempty"`
	LagMS              int64   `json:"lag_ms,omitempty"` // ours
	SentBytesPerSecond float64 `json:"sent_bytes_s,omitempty"`
}

func (g *Gateway) memberStatus() any {
	peers := g.peers
	zone := map[string]string{}
	for _, member := range peers.replica.Members() {
		zone[member.Name] = member.Zone
	}
	stats := peers.replica.Stats()
	out := []MemberStatus{}
	for _, entries := range peers.replica.Copies() {
		_, there := peers.joinedAt[entries.Origin]
		us := entries.Origin == g.cfg.Name
		if !there && !us {
			continue
		}
		status := MemberStatus{Name: entries.Origin, Zone: zone[entries.Origin], Entries: len(entries.Entries), Counter: entries.Counter, NewestEntryMS: -1,
			Incarnation: time.UnixMicro(int64(entries.Incarnation)).UTC().Format(time.RFC3339), Self: us}
		for _, entry := range entries.Entries {
			if age := int64((g.now - entry.WrittenAt) / rules.Millisecond); status.NewestEntryMS < 0 || age < status.NewestEntryMS {
				status.NewestEntryMS = age
			}
		}
		if us {
			status.SinceMS, status.LagMS = int64((g.now-rules.Time(entries.Incarnation))/rules.Millisecond), int64(stats.Lag/rules.Millisecond)
			status.SentBytesPerSecond = float64(stats.BytesSent) / max(float64(status.SinceMS)/1000, 1)
		} else {
			status.SinceMS = int64((g.now - peers.joinedAt[entries.Origin]) / rules.Millisecond)
		}
		out = append(out, status)
	}
	return out
}

// ReplicaEntry is an entry as `foxlane replica diff` compares it.
type ReplicaEntry struct {
	Origin      string        `json:"origin"`
	Incarnation uint64        `json:"life"`
	Kind        string        `json:"kind"`
	Subject     uint64        `json:"subject"`
	Counter     uint64        `json:"counter"`
	AgeMS       int64         `json:"age_ms"`
	ExpiresInMS int64         `json:"left_ms"` // until it is forgotten
	Value       replica.Value `json:"value"`
}

func (g *Gateway) replicaEntries() any {
	out := []ReplicaEntry{}
	set := &g.cfg.Site.Members.Replica
	for _, entries := range g.peers.replica.Copies() {
		for _, entry := range entries.Entries {
			out = append(out, ReplicaEntry{entries.Origin, entries.Incarnation, entry.Kind.String(), entry.Subject, entry.Counter, int64((g.now - entry.WrittenAt) / rules.Millisecond),
				int64((entry.WrittenAt + set.MaxAge[entry.Kind] - g.now) / rules.Millisecond), entry.Value})
		}
	}
	return out
}

// DirectiveStatus is the book as `foxlane directive list` shows it.
type DirectiveStatus struct {
	Index   uint64                 `json:"index"`
	InForce []directives.Directive `json:"held"`
	History []directives.Change    `json:"history"`
	AgeMS   int64                  `json:"age_ms"` // since a voter that sees a quorum confirmed it; -1: never
	IsVoter bool                   `json:"votes"`
	Voters  []string               `json:"voters"`
	Status  *directives.Status     `json:"status,omitempty"`
}

func (g *Gateway) directiveStatus() any {
	state := g.directives
	if state == nil {
		return map[string]string{"error": "directives are off"}
	}
	inForce := state.proposer.State()
	status := DirectiveStatus{Index: inForce.Index, InForce: inForce.Directives, History: inForce.History, AgeMS: -1, IsVoter: state.proposer.IsVoter(), Voters: g.cfg.Site.Directives.Voters}
	if age, ok := state.proposer.Staleness(g.now); ok {
		status.AgeMS = int64(age / rules.Millisecond)
	}
	if s, ok := state.proposer.Status(); ok {
		status.Status = &s
	}
	return status
}

// order takes an operator's command. Its answer may come later; a question that is none is answered at once.
func (g *Gateway) proposeDirective(conn ConnID, raw []byte) {
	state := g.directives
	var command directives.Command
	err := json.Unmarshal(raw, &command)
	switch {
	case state == nil:
		err = fmt.Errorf("directives are off")
	case err == nil && !state.proposer.IsVoter():
		err = fmt.Errorf("%s does not vote: ask one of %v", g.cfg.Name, g.cfg.Site.Directives.Voters)
	case err == nil:
		err = command.Validate()
	}
	if err != nil {
		g.reply(conn, map[string]string{"error": err.Error()})
		return
	}
	state.lastCommand++
	state.waiting[state.lastCommand] = conn
	g.runDirectiveOutcomes(state.proposer.Handle(g.now, directives.Event{Kind: directives.Propose, Command: command, RequestID: state.lastCommand}))
}

func (g *Gateway) answerProposal(ask, index uint64, err error) {
	conn, ok := g.directives.waiting[ask]
	if !ok {
		return
	}
	delete(g.directives.waiting, ask)
	if err != nil {
		g.reply(conn, map[string]string{"error": err.Error()})
		return
	}
	g.reply(conn, map[string]uint64{"index": index})
}
