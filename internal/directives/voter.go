package directives

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"foxlane/rules"
)

// This file drives raft as a state machine: events in, effects out, one batch at a time.

// PersistedState is what a voter's disk held at its start.
type PersistedState struct {
	Initialized bool          // it was made a voter: without that it has forgotten, or is new
	HardState   *pb.HardState // nil: none
	Entries     []*pb.Entry
	Snapshot    *pb.Snapshot // nil: none
}

// Settings say who votes.
type Settings struct {
	Self         string
	Voters       []string // names, ours among them; the same list at all
	TickInterval rules.Time
}

const (
	electionTicks      = 10
	heartbeatTicks     = 2
	maxMessageBytes    = 32 << 10
	maxInFlight        = 16
	compactThreshold   = 128 // entries in the log
	proposalTimeout    = 4 * rules.Second
	listenTicks        = 10 * electionTicks // ticks for which one that has forgotten listens to a leader before it votes
	maxPendingRequests = 16
)

// Validate says what can't be used.
func (s Settings) Validate() error {
	switch {
	case len(s.Voters) != 1 && len(s.Voters) != 3 && len(s.Voters) != 5:
		return fmt.Errorf("directives: %d voters; 1, 3 or 5 are possible", len(s.Voters))
	case s.TickInterval <= 0:
		return errors.New("directives: tick must be over 0")
	}
	for i, v := range s.Voters {
		if v == "" || slices.Contains(s.Voters[:i], v) {
			return fmt.Errorf("directives: voter %q has no name of its own", v)
		}
	}
	return nil
}

func (s Settings) voterID(name string) uint64 { return uint64(slices.Index(s.Voters, name) + 1) }

// EventKind is what an Event tells.
type EventKind int

// Kinds of events.
const (
	Tick      EventKind = iota + 1
	Received            // Data came from the voter From
	Propose             // Command is asked for; Ask names who asks
	Persisted           // what Persist asked for is kept, or could not be: OK
)

// Event is something that happened.
type Event struct {
	Kind      EventKind
	From      string
	Data      []byte
	Command   Command
	RequestID uint64
	OK        bool
}

// EffectKind is what an Effect asks for.
type EffectKind int

// Kinds of effects.
const (
	Send    EffectKind = iota + 1 // Data to the voter To
	Persist                       // Keep it on the disk, synced, and tell Persisted
	Applied                       // the book has changed
	Reply                         // of Ask: the command holds as of Index, or Err
	Log                           // Text is for the log
)

// Batch is what is kept at once.
type Batch struct {
	HardState *pb.HardState
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot // takes the place of all before it
}

// Effect is something to do.
type Effect struct {
	Kind      EffectKind
	To        string
	Data      []byte
	Batch     Batch
	RequestID uint64
	Index     uint64
	Err       error
	Text      string
}

// Errors of proposals.
var (
	ErrNoQuorum   = errors.New("directives: no quorum of voters answers: the command may or may not come to hold; ask for the list")
	ErrBusy       = errors.New("directives: too many commands are on their way")
	ErrDiskFailed = errors.New("directives: the disk failed, this voter takes part again after a restart")
)

// Voter is one of the voters.
type Voter struct {
	settings         Settings
	raftNode         *raft.RawNode
	storage          *raft.MemoryStorage
	confState        *pb.ConfState
	state            State
	now              rules.Time
	pendingReady     *raft.Ready // on its way to the disk
	inFlightPersists []bool      // what is on its way, in order: the batch, or else a snapshot of ours
	pendingRequests  []pendingRequest
	listenTicksLeft  int    // ticks for which it still listens; 0: it votes
	highestTerm      uint64 // highest term heard while it listens
	lastUnsafeTerm   uint64 // it votes in later terms only
	diskFailed       bool
	effects          []Effect
}

type pendingRequest struct {
	requestID uint64
	commandID string
	deadline  rules.Time
}

var firstEntry = struct{ index, term uint64 }{1, 1} // where all logs begin

// NewVoter returns a voter with what its disk held.
func NewVoter(set Settings, kept PersistedState, now rules.Time) (*Voter, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	v := &Voter{settings: set, storage: raft.NewMemoryStorage(), now: now, confState: &pb.ConfState{}}
	for i := range set.Voters {
		v.confState.Voters = append(v.confState.Voters, uint64(i+1))
	}
	if set.voterID(set.Self) == 0 {
		return nil, fmt.Errorf("directives: %q is none of the voters", set.Self)
	}
	snap := kept.Snapshot
	if snap == nil {
		snap = &pb.Snapshot{Data: (&State{}).encode(), Metadata: &pb.SnapshotMetadata{ConfState: v.confState, Index: proto.Uint64(firstEntry.index), Term: proto.Uint64(firstEntry.term)}}
	}
	if err := json.Unmarshal(snap.GetData(), &v.state); err != nil {
		return nil, fmt.Errorf("directives: the snapshot can't be read: %w", err)
	}
	if err := v.storage.ApplySnapshot(snap); err != nil {
		return nil, err
	}
	hard := kept.HardState
	if hard == nil {
		hard = &pb.HardState{Term: proto.Uint64(firstEntry.term), Commit: proto.Uint64(snap.GetMetadata().GetIndex())}
	}
	if err := v.storage.Append(kept.Entries); err != nil {
		return nil, err
	}
	last, err := v.storage.LastIndex()
	if err != nil {
		return nil, err
	}
	if hard.GetCommit() > last { // entries that were committed are gone
		kept.Initialized = false
		hard = &pb.HardState{Term: hard.Term, Vote: hard.Vote, Commit: proto.Uint64(last)}
	}
	if hard.GetCommit() < snap.GetMetadata().GetIndex() {
		hard = &pb.HardState{Term: hard.Term, Vote: hard.Vote, Commit: proto.Uint64(snap.GetMetadata().GetIndex())}
	}
	if err := v.storage.SetHardState(hard); err != nil {
		return nil, err
	}
	if !kept.Initialized {
		v.listenTicksLeft = listenTicks
	}
	quiet := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	v.raftNode, err = raft.NewRawNode(&raft.Config{ID: set.voterID(set.Self), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.storage,
		Applied: snap.GetMetadata().GetIndex(), MaxSizePerMsg: maxMessageBytes / 4, MaxInflightMsgs: maxInFlight, CheckQuorum: true, PreVote: true,
		MaxUncommittedEntriesSize: maxMessageBytes, Logger: quiet})
	return v, err
}

// State is what holds here. It is not to be changed.
func (v *Voter) State() *State { return &v.state }

// Status is what operators want to know of a voter.
type Status struct {
	Leader  string // empty: none is known
	Term    uint64
	Commit  uint64
	Listens bool // it has forgotten what it voted for, and does not vote yet
	Broken  bool
}

// Status tells how the voter stands.
func (v *Voter) Status() Status {
	b := v.raftNode.BasicStatus()
	s := Status{Term: b.HardState.GetTerm(), Commit: b.HardState.GetCommit(), Listens: v.listenTicksLeft > 0, Broken: v.diskFailed}
	if l := int(b.SoftState.Lead); l >= 1 && l <= len(v.settings.Voters) {
		s.Leader = v.settings.Voters[l-1]
	}
	return s
}

func (v *Voter) emit(e Effect) { v.effects = append(v.effects, e) }

// Handle takes one event and returns what to do. The result is valid until the next call.
func (v *Voter) Handle(now rules.Time, e Event) []Effect {
	v.effects = v.effects[:0]
	v.now = max(v.now, now)
	if v.diskFailed {
		if e.Kind == Propose {
			v.emit(Effect{Kind: Reply, RequestID: e.RequestID, Err: ErrDiskFailed})
		}
		return v.effects
	}
	switch e.Kind {
	case Tick:
		v.tick()
	case Received:
		v.receive(e.From, e.Data)
	case Propose:
		v.propose(e)
	case Persisted:
		v.handlePersisted(e.OK)
	}
	v.collectReady()
	return v.effects
}

func (v *Voter) tick() {
	if v.listenTicksLeft > 0 {
		v.raftNode.TickQuiesced()
		if v.Status().Leader != "" {
			if v.listenTicksLeft--; v.listenTicksLeft == 0 {
				v.lastUnsafeTerm = v.highestTerm
				v.emit(Effect{Kind: Log, Text: "directives: has listened long enough, votes again"})
			}
		}
	} else {
		v.raftNode.Tick()
	}
	kept := v.pendingRequests[:0]
	for _, p := range v.pendingRequests {
		if v.now < p.deadline {
			kept = append(kept, p)
			continue
		}
		v.emit(Effect{Kind: Reply, RequestID: p.requestID, Err: ErrNoQuorum})
	}
	v.pendingRequests = kept
}

func (v *Voter) propose(e Event) {
	e.Command.Directive.AtMS = int64(v.now / rules.Millisecond)
	raw, err := json.Marshal(e.Command)
	if err == nil {
		err = e.Command.Validate()
	}
	switch {
	case err != nil:
	case len(v.pendingRequests) >= maxPendingRequests:
		err = ErrBusy
	default:
		if err = v.raftNode.Propose(raw); errors.Is(err, raft.ErrProposalDropped) {
			err = ErrNoQuorum
		}
	}
	if err != nil {
		v.emit(Effect{Kind: Reply, RequestID: e.RequestID, Err: err})
		return
	}
	v.pendingRequests = append(v.pendingRequests, pendingRequest{e.RequestID, e.Command.ID, v.now + proposalTimeout})
}

// receive takes a message of another voter.
func (v *Voter) receive(from string, data []byte) {
	m := &pb.Message{}
	if len(data) > 2*maxMessageBytes || proto.Unmarshal(data, m) != nil || m.GetTo() != v.settings.voterID(v.settings.Self) || m.GetFrom() != v.settings.voterID(from) || m.GetFrom() == 0 {
		v.emit(Effect{Kind: Log, Text: fmt.Sprintf("directives: a message of %q can't be used", from)})
		return
	}
	vote := m.GetType() == pb.MsgVote || m.GetType() == pb.MsgPreVote
	if v.listenTicksLeft > 0 {
		v.highestTerm = max(v.highestTerm, m.GetTerm())
	}
	if vote && (v.listenTicksLeft > 0 || m.GetTerm() <= v.lastUnsafeTerm) { // it may have voted in that term, and does not know
		return
	}
	last, err := v.storage.LastIndex()
	if err == nil && m.GetType() == pb.MsgHeartbeat && m.GetCommit() > last && v.pendingReady == nil {
		// The leader holds that we have kept more than we have: our disk is an old copy of itself.
		if v.listenTicksLeft == 0 {
			v.emit(Effect{Kind: Log, Text: "directives: this voter has forgotten what it had kept; it listens before it votes again"})
		}
		v.listenTicksLeft, v.highestTerm = listenTicks, max(v.highestTerm, m.GetTerm())
		v.emit(Effect{Kind: Send, To: from, Data: []byte(forgottenPrefix + v.settings.Self)})
		return
	}
	_ = v.raftNode.Step(m) // what can't be stepped is dropped, as if lost
}

// forgottenPrefix begins what a voter says that has lost what it had acknowledged: the leader, who would send only what comes behind that,
// hands over to another, who asks anew how far each has come.
const forgottenPrefix = "forgotten "

// HandleForgotten takes such a word. It answers whether data is one.
func (v *Voter) HandleForgotten(from string, data []byte) bool {
	if string(data) != forgottenPrefix+from {
		return false
	}
	if v.diskFailed || v.Status().Leader != v.settings.Self {
		return true
	}
	for i, name := range v.settings.Voters {
		if name != from && name != v.settings.Self {
			v.raftNode.TransferLeader(uint64(i + 1))
			break
		}
	}
	return true
}

// collectReady takes the next batch out of raft, unless one is on its way to the disk.
func (v *Voter) collectReady() {
	for v.pendingReady == nil && !v.diskFailed && v.raftNode.HasReady() {
		rd := v.raftNode.Ready()
		v.pendingReady = &rd
		b := Batch{HardState: rd.HardState, Entries: rd.Entries}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.Snapshot = rd.Snapshot
		}
		if b.HardState == nil && len(b.Entries) == 0 && b.Snapshot == nil {
			v.applyReady()
			continue
		}
		v.inFlightPersists = append(v.inFlightPersists, true)
		v.emit(Effect{Kind: Persist, Batch: b})
	}
}

// handlePersisted: what was to be kept is, or the disk has failed, and nothing is said that rests on it.
func (v *Voter) handlePersisted(ok bool) {
	if len(v.inFlightPersists) == 0 {
		return
	}
	batch := v.inFlightPersists[0]
	v.inFlightPersists = v.inFlightPersists[1:]
	if !ok {
		v.diskFailed = true
		v.emit(Effect{Kind: Log, Text: ErrDiskFailed.Error()})
		for _, p := range v.pendingRequests {
			v.emit(Effect{Kind: Reply, RequestID: p.requestID, Err: ErrDiskFailed})
		}
		v.pendingRequests = nil
		return
	}
	if batch {
		v.applyReady()
	}
}

// applyReady says and applies what a kept batch allows.
func (v *Voter) applyReady() {
	rd := *v.pendingReady
	v.pendingReady = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.storage.ApplySnapshot(rd.Snapshot); err == nil {
			var b State
			if json.Unmarshal(rd.Snapshot.GetData(), &b) == nil {
				v.state = b
				v.emit(Effect{Kind: Applied, Index: b.Index})
			}
		}
	}
	_ = v.storage.Append(rd.Entries)
	if rd.HardState != nil {
		_ = v.storage.SetHardState(rd.HardState)
	}
	for _, m := range rd.Messages {
		if to := int(m.GetTo()); to >= 1 && to <= len(v.settings.Voters) {
			if raw, err := proto.Marshal(m); err == nil {
				v.emit(Effect{Kind: Send, To: v.settings.Voters[to-1], Data: raw})
			}
			if m.GetType() == pb.MsgSnap { // datagrams or connections: it is sent once, and asked for again
				v.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
	}
	changed := false
	for _, e := range rd.CommittedEntries {
		if e.GetIndex() <= v.state.Index {
			continue
		}
		c, err := v.state.apply(e.GetIndex(), e.GetData())
		changed = true
		v.pendingRequests = slices.DeleteFunc(v.pendingRequests, func(p pendingRequest) bool {
			if p.commandID == c.ID && c.ID != "" {
				v.emit(Effect{Kind: Reply, RequestID: p.requestID, Index: e.GetIndex(), Err: err})
				return true
			}
			return false
		})
	}
	if changed {
		v.emit(Effect{Kind: Applied, Index: v.state.Index})
	}
	v.raftNode.Advance(rd)
	v.compact()
}

// compact puts a snapshot in the place of a long log.
func (v *Voter) compact() {
	begin, err := v.storage.FirstIndex()
	if err != nil || v.state.Index < begin+compactThreshold {
		return
	}
	b := v.state.clone()
	snap, err := v.storage.CreateSnapshot(b.Index, v.confState, b.encode())
	if err != nil {
		return
	}
	if err := v.storage.Compact(b.Index); err == nil {
		hard, _, _ := v.storage.InitialState()
		last, _ := v.storage.LastIndex()
		entries, _ := v.storage.Entries(b.Index+1, last+1, ^uint64(0))
		v.inFlightPersists = append(v.inFlightPersists, false)
		v.emit(Effect{Kind: Persist, Batch: Batch{HardState: hard, Entries: entries, Snapshot: snap}})
	}
}
