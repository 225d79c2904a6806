package directives

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"foxlane/rules"
)

// This file has a gateway hold the book, whether it votes or not: who does not follows what voters say is committed. Anybody tells how
// far the book goes; the book itself is taken from voters only.

// Channels of what is said.
const (
	ChannelRaft = iota + 1
	ChannelState
)

const (
	announceInterval = rules.Second
	requestInterval  = 500 * rules.Millisecond
)

const (
	stateAnnouncement byte = iota + 1 // how far ours goes, and whether we see a quorum
	stateRequest                      // give me yours
	stateTransfer                     // here it is
)

// Node is a gateway's.
type Node struct {
	settings     Settings
	voter        *Voter // nil: we don't vote, or have not opened the log yet
	state        State
	rng          *rand.Rand
	lastAnnounce rules.Time
	lastRequest  rules.Time
	confirmedAt  rules.Time // when a voter that sees a quorum last told of no more than we have; 0: never
	lastTick     rules.Time
	effects      []ChannelEffect
}

// ChannelEffect is an effect of a desk: one of a voter's, or something said on the channel of books.
type ChannelEffect struct {
	Effect
	Channel int
}

// NewNode returns one without a book.
func NewNode(set Settings, seed uint64) *Node {
	return &Node{settings: set, rng: rand.New(rand.NewPCG(seed, 0x2545f4914f6cdd1d))}
}

// IsVoter answers whether this gateway is one of the voters.
func (d *Node) IsVoter() bool { return d.settings.voterID(d.settings.Self) != 0 }

// StartVoter begins to vote with what the disk held.
func (d *Node) StartVoter(now rules.Time, kept PersistedState) error {
	v, err := NewVoter(d.settings, kept, now)
	if err != nil {
		return err
	}
	d.voter = v
	return nil
}

// State is what holds here. It is not to be changed.
func (d *Node) State() *State {
	if d.voter != nil && d.voter.state.Index >= d.state.Index {
		return &d.voter.state
	}
	return &d.state
}

// Status is how a voter stands; ok is false for others.
func (d *Node) Status() (s Status, ok bool) {
	if d.voter == nil {
		return s, false
	}
	return d.voter.Status(), true
}

// Staleness is for how long nobody who sees a quorum has confirmed the book; ok is false if nobody ever has.
func (d *Node) Staleness(now rules.Time) (age rules.Time, ok bool) {
	return now - d.confirmedAt, d.confirmedAt != 0
}

// seesQuorum answers whether we vote and see a leader.
func (d *Node) seesQuorum() bool {
	if d.voter == nil || d.voter.diskFailed {
		return false
	}
	return d.voter.Status().Leader != ""
}

// Tick lets time pass, among these members.
func (d *Node) Tick(now rules.Time, members []string) []ChannelEffect {
	d.effects = d.effects[:0]
	if d.voter != nil && now-d.lastTick >= d.settings.TickInterval {
		d.lastTick = now
		d.addVoterEffects(d.voter.Handle(now, Event{Kind: Tick}))
	}
	if d.seesQuorum() {
		d.confirmedAt = now
	}
	if len(members) > 0 && now-d.lastAnnounce >= announceInterval {
		d.lastAnnounce = now
		d.sendState(members[d.rng.IntN(len(members))], d.announcement())
	}
	return d.effects
}

func (d *Node) addVoterEffects(effects []Effect) {
	for _, f := range effects {
		d.effects = append(d.effects, ChannelEffect{f, ChannelRaft})
	}
}

func (d *Node) sendState(to string, data []byte) {
	d.effects = append(d.effects, ChannelEffect{Effect{Kind: Send, To: to, Data: data}, ChannelState})
}

func (d *Node) announcement() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{stateAnnouncement}, d.State().Index)
	if d.seesQuorum() {
		return append(b, 1)
	}
	return append(b, 0)
}

// Handle takes an event of the voter's.
func (d *Node) Handle(now rules.Time, e Event) []ChannelEffect {
	d.effects = d.effects[:0]
	if d.voter == nil {
		if e.Kind == Propose {
			d.effects = append(d.effects, ChannelEffect{Effect{Kind: Reply, RequestID: e.RequestID, Err: ErrDiskFailed}, ChannelRaft})
		}
		return d.effects
	}
	if e.Kind == Received && d.voter.HandleForgotten(e.From, e.Data) {
		e = Event{}
	}
	d.addVoterEffects(d.voter.Handle(now, e))
	return d.effects
}

// HandleStateMessage takes what a member says of books. What can't be used is let pass.
func (d *Node) HandleStateMessage(now rules.Time, from string, data []byte) []ChannelEffect {
	d.effects = d.effects[:0]
	if len(data) == 0 {
		return nil
	}
	votes := d.settings.voterID(from) != 0
	switch data[0] {
	case stateAnnouncement:
		if len(data) != 10 {
			return nil
		}
		index, quorum := binary.LittleEndian.Uint64(data[1:]), data[9] == 1
		switch ours := d.State().Index; {
		case index > ours && !d.IsVoter() && now-d.lastRequest >= requestInterval:
			to := from
			if !votes {
				to = d.settings.Voters[d.rng.IntN(len(d.settings.Voters))]
			}
			d.lastRequest = now
			d.sendState(to, []byte{stateRequest})
		case index < ours:
			d.sendState(from, d.announcement())
		case index == ours && votes && quorum:
			d.confirmedAt = now
		}
	case stateRequest:
		if d.voter != nil {
			d.sendState(from, append([]byte{stateTransfer}, d.voter.state.encode()...))
		}
	case stateTransfer:
		var b State
		if !votes || d.IsVoter() || json.Unmarshal(data[1:], &b) != nil || b.Index <= d.state.Index || len(b.Directives) > maxDirectives ||
			!slices.IsSortedFunc(b.Directives, compare) {
			return nil
		}
		d.state = b
		d.effects = append(d.effects, ChannelEffect{Effect{Kind: Applied, Index: b.Index}, ChannelState})
	}
	return d.effects
}
