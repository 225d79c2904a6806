package directives

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"foxlane/rules"
)

// This file replicates the committed state from the voters to all other gateways, the followers. Any gateway announces
// the index of its state, but followers accept the state itself from voters only.

const (
	announceInterval = rules.Second
	requestInterval  = 500 * rules.Millisecond
)

// Types of messages on ChannelState, by their first byte.
const (
	stateAnnouncement byte = iota + 1 // the sender's index, and whether it is a voter that sees a quorum
	stateRequest                      // a request for the state
	stateTransfer                     // the state, in JSON
)

const announcementBytes = 1 + 8 + 1 // type, index, quorum flag

// Node is a gateway in its role as a voter or a follower.
type Node struct {
	settings     Settings
	voter        *Voter // nil: this gateway is a follower, or has not opened its log yet
	state        State  // received as a follower
	rng          *rand.Rand
	lastAnnounce rules.Time
	lastRequest  rules.Time
	confirmedAt  rules.Time // when a voter with a quorum last had the same state; 0: never
	lastTick     rules.Time
	effects      []Effect
}

// NewNode returns a node with an empty state.
func NewNode(settings Settings, seed uint64) *Node {
	return &Node{settings: settings, rng: rand.New(rand.NewPCG(seed, 0x2545f4914f6cdd1d))}
}

// IsVoter reports whether this gateway is one of the voters.
func (n *Node) IsVoter() bool { return n.settings.voterID(n.settings.Self) != 0 }

// StartVoter starts the voter from its persisted log.
func (n *Node) StartVoter(now rules.Time, persisted PersistedState) error {
	v, err := NewVoter(n.settings, persisted, now)
	if err != nil {
		return err
	}
	n.voter = v
	return nil
}

// State returns the current state of this gateway. The caller must not change it.
func (n *Node) State() *State {
	if n.voter != nil && n.voter.state.Index >= n.state.Index {
		return &n.voter.state
	}
	return &n.state
}

// Status returns the status of the voter. It returns ok false on a gateway without a running voter.
func (n *Node) Status() (s Status, ok bool) {
	if n.voter == nil {
		return s, false
	}
	return n.voter.Status(), true
}

// Staleness returns the time since a voter that sees a quorum last confirmed the state. It returns ok false if none
// ever has.
func (n *Node) Staleness(now rules.Time) (age rules.Time, ok bool) {
	return now - n.confirmedAt, n.confirmedAt != 0
}

// seesQuorum reports whether this gateway is a working voter with a known leader.
func (n *Node) seesQuorum() bool {
	if n.voter == nil || n.voter.failure != nil {
		return false
	}
	return n.voter.Status().Leader != ""
}

// Tick advances the time. Every announceInterval, a random one of members, the other gateways, gets an announcement.
// The result is valid until the next call.
func (n *Node) Tick(now rules.Time, members []string) []Effect {
	n.effects = n.effects[:0]
	if n.voter != nil && now-n.lastTick >= n.settings.TickInterval {
		n.lastTick = now
		n.effects = append(n.effects, n.voter.Handle(now, Tick{})...)
	}
	if n.seesQuorum() {
		n.confirmedAt = now
	}
	if len(members) > 0 && now-n.lastAnnounce >= announceInterval {
		n.lastAnnounce = now
		n.send(members[n.rng.IntN(len(members))], n.announcement())
	}
	return n.effects
}

func (n *Node) send(to string, data []byte) {
	n.effects = append(n.effects, Send{To: to, Channel: ChannelState, Data: data})
}

func (n *Node) announcement() []byte {
	msg := binary.LittleEndian.AppendUint64([]byte{stateAnnouncement}, n.State().Index)
	if n.seesQuorum() {
		return append(msg, 1)
	}
	return append(msg, 0)
}

// Handle passes an event to the voter; without one, a proposal fails with ErrDiskFailed. The result is valid until the
// next call.
func (n *Node) Handle(now rules.Time, e Event) []Effect {
	n.effects = n.effects[:0]
	if n.voter == nil {
		if p, ok := e.(Propose); ok {
			n.effects = append(n.effects, Reply{RequestID: p.RequestID, Err: ErrDiskFailed})
		}
		return n.effects
	}
	n.effects = append(n.effects, n.voter.Handle(now, e)...)
	return n.effects
}

// HandleStateMessage handles a message on ChannelState; invalid messages are ignored. The result is valid until the
// next call.
func (n *Node) HandleStateMessage(now rules.Time, from string, data []byte) []Effect {
	n.effects = n.effects[:0]
	if len(data) == 0 {
		return nil
	}
	fromVoter := n.settings.voterID(from) != 0
	switch data[0] {
	case stateAnnouncement:
		if len(data) != announcementBytes {
			return nil
		}
		n.handleAnnouncement(now, from, fromVoter, binary.LittleEndian.Uint64(data[1:]), data[9] == 1)
	case stateRequest:
		if n.voter == nil {
			break
		}
		if raw, err := n.voter.state.encode(); err == nil {
			n.send(from, append([]byte{stateTransfer}, raw...))
		}
	case stateTransfer:
		var s State
		if !fromVoter || n.IsVoter() || json.Unmarshal(data[1:], &s) != nil || s.Index <= n.state.Index || len(s.Directives) > maxDirectives ||
			!slices.IsSortedFunc(s.Directives, compareDirectives) {
			return nil
		}
		n.state = s
		n.effects = append(n.effects, Applied{s.Index})
	}
	return n.effects
}

// handleAnnouncement requests the state if the sender's is newer, and announces the local one if the sender's is older.
// It answers any gateway, but requests the state from voters only, and only a voter's announcement confirms the local
// state.
func (n *Node) handleAnnouncement(now rules.Time, from string, fromVoter bool, index uint64, quorum bool) {
	switch own := n.State().Index; {
	case index > own && !n.IsVoter() && now-n.lastRequest >= requestInterval:
		to := from
		if !fromVoter {
			to = n.settings.Voters[n.rng.IntN(len(n.settings.Voters))]
		}
		n.lastRequest = now
		n.send(to, []byte{stateRequest})
	case index < own:
		n.send(from, n.announcement())
	case index == own && fromVoter && quorum:
		n.confirmedAt = now
	}
}
