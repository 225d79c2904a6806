package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"foxlane/internal/directives"
	"foxlane/internal/replica"
	"foxlane/rules"
)

// This file answers requests of operator commands on the control socket: queries by name, and directive commands in
// JSON. Each answer is one line of JSON.

// errDirectivesOff is the answer if the operator's file has no block `directives`.
var errDirectivesOff = errors.New("directives are off")

// errCommandAtShutdown is the answer to a directive command on which the voters have not agreed when the gateway shuts down.
var errCommandAtShutdown = errors.New("the gateway shuts down: the command may or may not come to hold; ask for the list")

// errMembersOff is the answer if the operator's file has no block `members`.
var errMembersOff = errors.New("talk is off")

// handleControlRequest answers a query or executes a directive command.
func (g *Gateway) handleControlRequest(event ControlRequest) {
	var answer any
	switch query := string(event.Data); {
	case len(event.Data) > 0 && event.Data[0] == '{':
		g.proposeDirective(event.Conn, event.Data)
		return
	case query == "book": // the directives in force
		answer = g.directiveStatus()
	case g.peers == nil:
		answer = errorAnswer(errMembersOff)
	case query == "members":
		answer = g.memberStatus()
	case query == "copies": // the replicated state
		answer = g.replicaEntries()
	default:
		answer = errorAnswer(fmt.Errorf("unknown question %.40q", query))
	}
	g.reply(event.Conn, answer)
}

// errorAnswer returns the JSON object that reports an error.
func errorAnswer(err error) map[string]string { return map[string]string{"error": err.Error()} }

// reply answers a control request with one line of JSON.
func (g *Gateway) reply(conn ConnID, answer any) {
	line, err := json.Marshal(answer)
	if err != nil {
		line = []byte(`{"error":"the answer can't be written"}`)
	}
	g.emit(ControlResponse{Conn: conn, Data: append(line, '\n')})
}

// MemberStatus is the status of a member as listed by `foxlane members`. Operators' scripts read the JSON keys, so
// they stay as they were in the first release.
type MemberStatus struct {
	Name               string  `json:"name"`
	Zone               string  `json:"zone"`
	SinceMS            int64   `json:"since_ms"`  // time since it joined; for this gateway, its uptime
	Entries            int     `json:"entries"`   // number of entries replicated from it
	NewestEntryMS      int64   `json:"newest_ms"` // age of its newest entry; -1: no entries
	Counter            uint64  `json:"counter"`
	Incarnation        string  `json:"life"` // start time of its process
	Self               bool    `json:"us,omitempty"`
	LagMS              int64   `json:"lag_ms,omitempty"` // set for this gateway only, as is SentBytesPerSecond
	SentBytesPerSecond float64 `json:"sent_bytes_s,omitempty"`
}

// memberStatus lists the members, including this gateway.
func (g *Gateway) memberStatus() any {
	peers := g.peers
	zoneOf := map[string]string{}
	for _, member := range peers.replica.Members() {
		zoneOf[member.Name] = member.Zone
	}
	stats := peers.replica.Stats()
	list := []MemberStatus{}
	for _, replicated := range peers.replica.Copies() {
		joinedAt, joined := peers.joinedAt[replicated.Origin]
		self := replicated.Origin == g.cfg.Name
		if !joined && !self {
			continue
		}
		status := MemberStatus{
			Name:          replicated.Origin,
			Zone:          zoneOf[replicated.Origin],
			Entries:       len(replicated.Entries),
			Counter:       replicated.Counter,
			NewestEntryMS: -1, // no entries
			Incarnation:   time.UnixMicro(int64(replicated.Incarnation)).UTC().Format(time.RFC3339),
			Self:          self,
		}
		for _, entry := range replicated.Entries {
			if age := milliseconds(g.now - entry.WrittenAt); status.NewestEntryMS < 0 || age < status.NewestEntryMS {
				status.NewestEntryMS = age
			}
		}
		if self {
			status.SinceMS, status.LagMS = milliseconds(g.now-rules.Time(replicated.Incarnation)), milliseconds(stats.Lag)
			status.SentBytesPerSecond = float64(stats.BytesSent) / max(float64(status.SinceMS)/1000, 1)
		} else {
			status.SinceMS = milliseconds(g.now - joinedAt)
		}
		list = append(list, status)
	}
	return list
}

// ReplicaEntry is a replicated entry as compared by `foxlane replica diff`.
type ReplicaEntry struct {
	Origin      string        `json:"origin"`
	Incarnation uint64        `json:"life"`
	Kind        string        `json:"kind"`
	Subject     uint64        `json:"subject"`
	Counter     uint64        `json:"counter"`
	AgeMS       int64         `json:"age_ms"`
	ExpiresInMS int64         `json:"left_ms"` // until it expires
	Value       replica.Value `json:"value"`
}

// replicaEntries lists all entries of the replicated state.
func (g *Gateway) replicaEntries() any {
	list := []ReplicaEntry{}
	settings := &g.cfg.Site.Members.Replica
	for _, replicated := range g.peers.replica.Copies() {
		for _, entry := range replicated.Entries {
			list = append(list, ReplicaEntry{
				Origin:      replicated.Origin,
				Incarnation: replicated.Incarnation,
				Kind:        entry.Kind.String(),
				Subject:     entry.Subject,
				Counter:     entry.Counter,
				AgeMS:       milliseconds(g.now - entry.WrittenAt),
				ExpiresInMS: milliseconds(entry.WrittenAt + settings.MaxAge[entry.Kind] - g.now),
				Value:       entry.Value,
			})
		}
	}
	return list
}

// DirectiveStatus is the state of the directives as listed by `foxlane directive list`.
type DirectiveStatus struct {
	Index   uint64                 `json:"index"`
	InForce []directives.Directive `json:"held"`
	History []directives.Change    `json:"history"`
	AgeMS   int64                  `json:"age_ms"` // since the last confirmation by a voter that sees a quorum; -1: never
	IsVoter bool                   `json:"votes"`
	Voters  []string               `json:"voters"`
	Status  *directives.Status     `json:"status,omitempty"`
}

// directiveStatus returns the DirectiveStatus, or an error answer if directives are not configured.
func (g *Gateway) directiveStatus() any {
	state := g.directives
	if state == nil {
		return errorAnswer(errDirectivesOff)
	}
	inForce := state.node.State()
	status := DirectiveStatus{
		Index:   inForce.Index,
		InForce: inForce.Directives,
		History: inForce.History,
		AgeMS:   -1, // never confirmed
		IsVoter: state.node.IsVoter(),
		Voters:  state.voters,
	}
	if staleness, ok := state.node.Staleness(g.now); ok {
		status.AgeMS = milliseconds(staleness)
	}
	if voter, ok := state.node.Status(); ok {
		status.Status = &voter
	}
	return status
}

// proposeDirective proposes an operator's directive command to the voters. It is answered once they have agreed on
// it, or at once if it cannot be proposed.
func (g *Gateway) proposeDirective(conn ConnID, raw []byte) {
	state := g.directives
	var command directives.Command
	err := json.Unmarshal(raw, &command)
	switch {
	case state == nil:
		err = errDirectivesOff
	case err == nil && !state.node.IsVoter():
		err = fmt.Errorf("%s does not vote: ask one of %v", g.cfg.Name, state.voters)
	case err == nil:
		err = command.Validate()
	}
	if err == nil && g.answersOverdue() {
		err = errCommandAtShutdown
	}
	if err != nil {
		g.reply(conn, errorAnswer(err))
		return
	}
	state.lastCommandID++
	state.pendingCommands[state.lastCommandID] = conn
	g.runDirectiveEffects(state.node.Handle(g.now, directives.Propose{Command: command, RequestID: state.lastCommandID}))
}

// answerProposal answers the pending directive command commandID with the index of the change or with an error.
func (g *Gateway) answerProposal(commandID, index uint64, err error) {
	conn, ok := g.directives.pendingCommands[commandID]
	if !ok {
		return
	}
	delete(g.directives.pendingCommands, commandID)
	if err != nil {
		g.reply(conn, errorAnswer(err))
		return
	}
	g.reply(conn, map[string]uint64{"index": index})
}

// pendingProposals returns the number of directive commands that are not answered yet.
func (g *Gateway) pendingProposals() int {
	if g.directives == nil {
		return 0
	}
	return len(g.directives.pendingCommands)
}

// endProposals answers the pending directive commands at the deadline of the shutdown, in the order in which they came.
func (g *Gateway) endProposals() {
	if g.directives == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(g.directives.pendingCommands)) {
		g.answerProposal(id, 0, errCommandAtShutdown)
	}
}
