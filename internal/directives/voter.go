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

// Settings name the voters.
type Settings struct {
	Self         string
	Voters       []string // the same list at every gateway
	TickInterval rules.Time
}

const (
	electionTicks      = 10
	heartbeatTicks     = 2
	maxMessageBytes    = 32 << 10
	maxInFlight        = 16
	compactThreshold   = 128 // entries in the log
	proposalTimeout    = 4 * rules.Second
	listenTicks        = 10 * electionTicks // for which a voter that lost its log follows a leader before it votes
	maxPendingRequests = 16
)

// Validate returns an error that names the first setting that can't be used.
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

// voterID is raft's number of a voter; 0: it is none.
func (s Settings) voterID(name string) uint64 { return uint64(slices.Index(s.Voters, name) + 1) }

// Voter is one of the voters.
type Voter struct {
	settings         Settings
	raftNode         *raft.RawNode
	storage          *raft.MemoryStorage
	confState        *pb.ConfState
	state            State
	now              rules.Time
	pendingReady     *raft.Ready // being persisted; nil: none
	inFlightPersists []bool      // in order: whether each is pendingReady, or else a snapshot of compact
	pendingRequests  []pendingRequest
	listenTicksLeft  int    // ticks for which the voter still listens only; 0: it votes
	highestTerm      uint64 // heard of while it listens
	lastUnsafeTerm   uint64 // the voter may have voted in terms up to this one, and votes in later ones only
	diskFailed       bool
	effects          []Effect
}

// pendingRequest is a Propose that is not answered yet.
type pendingRequest struct {
	requestID uint64
	commandID string
	deadline  rules.Time
}

// Each log begins at the same index and term, so that voters that start at different times agree on the first snapshot.
const (
	firstIndex = 1
	firstTerm  = 1
)

// NewVoter returns a voter with what its disk held.
func NewVoter(settings Settings, persisted PersistedState, now rules.Time) (*Voter, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	v := &Voter{settings: settings, storage: raft.NewMemoryStorage(), now: now, confState: &pb.ConfState{}}
	for i := range settings.Voters {
		v.confState.Voters = append(v.confState.Voters, uint64(i+1))
	}
	if settings.voterID(settings.Self) == 0 {
		return nil, fmt.Errorf("directives: %q is none of the voters", settings.Self)
	}
	snapshotIndex, err := v.restore(persisted)
	if err != nil {
		return nil, err
	}
	quiet := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	v.raftNode, err = raft.NewRawNode(&raft.Config{ID: settings.voterID(settings.Self), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: v.storage, Applied: snapshotIndex, MaxSizePerMsg: maxMessageBytes / 4, MaxInflightMsgs: maxInFlight, CheckQuorum: true, PreVote: true,
		MaxUncommittedEntriesSize: maxMessageBytes, Logger: quiet})
	if err != nil {
		return nil, fmt.Errorf("directives: raft: %w", err)
	}
	return v, nil
}

// restore fills the storage and the state with what the disk held, and returns the index of its snapshot. A log that lacks entries that
// were committed counts as lost: the voter listens before it votes.
func (v *Voter) restore(persisted PersistedState) (snapshotIndex uint64, err error) {
	snapshot := persisted.Snapshot
	if snapshot == nil {
		empty, err := (&State{}).encode()
		if err != nil {
			return 0, err
		}
		snapshot = &pb.Snapshot{Data: empty, Metadata: &pb.SnapshotMetadata{ConfState: v.confState, Index: proto.Uint64(firstIndex), Term: proto.Uint64(firstTerm)}}
	}
	snapshotIndex = snapshot.GetMetadata().GetIndex()
	if err := json.Unmarshal(snapshot.GetData(), &v.state); err != nil {
		return 0, fmt.Errorf("directives: the snapshot of index %d can't be read: %w", snapshotIndex, err)
	}
	if err := v.storage.ApplySnapshot(snapshot); err != nil {
		return 0, fmt.Errorf("directives: the snapshot of index %d: %w", snapshotIndex, err)
	}
	hard := persisted.HardState
	if hard == nil {
		hard = &pb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(snapshotIndex)}
	}
	if err := v.storage.Append(persisted.Entries); err != nil {
		return 0, fmt.Errorf("directives: the %d entries of the log: %w", len(persisted.Entries), err)
	}
	last, err := v.storage.LastIndex()
	if err != nil {
		return 0, fmt.Errorf("directives: the last index of the log: %w", err)
	}
	initialized := persisted.Initialized
	if hard.GetCommit() > last {
		initialized = false
		hard = &pb.HardState{Term: hard.Term, Vote: hard.Vote, Commit: proto.Uint64(last)}
	}
	if hard.GetCommit() < snapshotIndex {
		hard = &pb.HardState{Term: hard.Term, Vote: hard.Vote, Commit: proto.Uint64(snapshotIndex)}
	}
	if err := v.storage.SetHardState(hard); err != nil {
		return 0, fmt.Errorf("directives: the state of term %d: %w", hard.GetTerm(), err)
	}
	if !initialized {
		v.listenTicksLeft = listenTicks
	}
	return snapshotIndex, nil
}

// State returns the directives that hold here. It is not to be changed.
func (v *Voter) State() *State { return &v.state }

// Status is what operators see of a voter. The names of its fields are keys of the JSON that gateways answer.
type Status struct {
	Leader  string // empty: none is known
	Term    uint64
	Commit  uint64
	Listens bool // it has lost its log and does not vote yet
	Broken  bool // its disk failed
}

// Status returns the voter's status.
func (v *Voter) Status() Status {
	b := v.raftNode.BasicStatus()
	s := Status{Term: b.GetTerm(), Commit: b.GetCommit(), Listens: v.listenTicksLeft > 0, Broken: v.diskFailed}
	if leader := int(b.Lead); leader >= 1 && leader <= len(v.settings.Voters) {
		s.Leader = v.settings.Voters[leader-1]
	}
	return s
}

func (v *Voter) emit(e Effect) { v.effects = append(v.effects, e) }

// Handle takes one event and returns what to do. The result is valid until the next call.
func (v *Voter) Handle(now rules.Time, e Event) []Effect {
	v.effects = v.effects[:0]
	v.now = max(v.now, now)
	if v.diskFailed {
		if p, ok := e.(Propose); ok {
			v.emit(Reply{RequestID: p.RequestID, Err: ErrDiskFailed})
		}
		return v.effects
	}
	switch e := e.(type) {
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
				v.emit(Log{"directives: has listened long enough, votes again"})
			}
		}
	} else {
		v.raftNode.Tick()
	}
	waiting := v.pendingRequests[:0]
	for _, p := range v.pendingRequests {
		if v.now < p.deadline {
			waiting = append(waiting, p)
			continue
		}
		v.emit(Reply{RequestID: p.requestID, Err: ErrNoQuorum})
	}
	v.pendingRequests = waiting
}

func (v *Voter) propose(p Propose) {
	p.Command.AtMS = int64(v.now / rules.Millisecond)
	raw, err := json.Marshal(p.Command)
	if err == nil {
		err = p.Command.Validate()
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
		v.emit(Reply{RequestID: p.RequestID, Err: err})
		return
	}
	v.pendingRequests = append(v.pendingRequests, pendingRequest{p.RequestID, p.Command.ID, v.now + proposalTimeout})
}

// lostLogPrefix begins the message of a voter that has lost entries which it had acknowledged; its name follows. The leader would send
// only what follows those entries, so it hands over to another voter, which asks anew how far the log of each reaches.
const lostLogPrefix = "forgotten "

// receive takes a message of another voter.
func (v *Voter) receive(from string, data []byte) {
	if string(data) == lostLogPrefix+from {
		v.transferLeadership(from)
		return
	}
	m := &pb.Message{}
	if len(data) > 2*maxMessageBytes || proto.Unmarshal(data, m) != nil || m.GetTo() != v.settings.voterID(v.settings.Self) || m.GetFrom() != v.settings.voterID(from) || m.GetFrom() == 0 {
		v.emit(Log{fmt.Sprintf("directives: a message of %q can't be used", from)})
		return
	}
	if v.listenTicksLeft > 0 {
		v.highestTerm = max(v.highestTerm, m.GetTerm())
	}
	asksForVote := m.GetType() == pb.MsgVote || m.GetType() == pb.MsgPreVote
	if asksForVote && (v.listenTicksLeft > 0 || m.GetTerm() <= v.lastUnsafeTerm) { // it may have voted in that term, and does not know
		return
	}
	last, err := v.storage.LastIndex()
	if err == nil && m.GetType() == pb.MsgHeartbeat && m.GetCommit() > last && v.pendingReady == nil {
		// The leader has acknowledgements for entries that are not in the log: the disk is an old copy of itself.
		if v.listenTicksLeft == 0 {
			v.emit(Log{"directives: this voter has forgotten what it had kept; it listens before it votes again"})
		}
		v.listenTicksLeft, v.highestTerm = listenTicks, max(v.highestTerm, m.GetTerm())
		v.emit(Send{To: from, Channel: ChannelRaft, Data: []byte(lostLogPrefix + v.settings.Self)})
		return
	}
	_ = v.raftNode.Step(m) // raft recovers from a message that it does not accept as from one that is lost
}

// transferLeadership hands over to a voter other than the given one, if this voter leads.
func (v *Voter) transferLeadership(except string) {
	if v.Status().Leader != v.settings.Self {
		return
	}
	for i, name := range v.settings.Voters {
		if name != except && name != v.settings.Self {
			v.raftNode.TransferLeader(uint64(i + 1))
			return
		}
	}
}

// collectReady takes the next batch out of raft, unless one is being persisted.
func (v *Voter) collectReady() {
	for v.pendingReady == nil && !v.diskFailed && v.raftNode.HasReady() {
		ready := v.raftNode.Ready()
		v.pendingReady = &ready
		b := Batch{HardState: ready.HardState, Entries: ready.Entries}
		if !raft.IsEmptySnap(ready.Snapshot) {
			b.Snapshot = ready.Snapshot
		}
		if b.HardState == nil && len(b.Entries) == 0 && b.Snapshot == nil {
			v.applyReady()
			continue
		}
		v.inFlightPersists = append(v.inFlightPersists, true)
		v.emit(Persist{b})
	}
}

// handlePersisted goes on with a batch that is persisted. If the disk failed, the voter sends nothing any more: what it would send may
// rest on what is not persisted.
func (v *Voter) handlePersisted(ok bool) {
	if len(v.inFlightPersists) == 0 {
		return
	}
	isReady := v.inFlightPersists[0]
	v.inFlightPersists = v.inFlightPersists[1:]
	if !ok {
		v.diskFailed = true
		v.emit(Log{ErrDiskFailed.Error()})
		for _, p := range v.pendingRequests {
			v.emit(Reply{RequestID: p.requestID, Err: ErrDiskFailed})
		}
		v.pendingRequests = nil
		return
	}
	if isReady {
		v.applyReady()
	}
}

// applyReady sends and applies what the persisted batch allows.
func (v *Voter) applyReady() {
	ready := *v.pendingReady
	v.pendingReady = nil
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := v.storage.ApplySnapshot(ready.Snapshot); err == nil {
			var state State
			if json.Unmarshal(ready.Snapshot.GetData(), &state) == nil {
				v.state = state
				v.emit(Applied{state.Index})
			}
		}
	}
	_ = v.storage.Append(ready.Entries)
	if ready.HardState != nil {
		_ = v.storage.SetHardState(ready.HardState)
	}
	for _, m := range ready.Messages {
		if to := int(m.GetTo()); to >= 1 && to <= len(v.settings.Voters) {
			if raw, err := proto.Marshal(m); err == nil {
				v.emit(Send{To: v.settings.Voters[to-1], Channel: ChannelRaft, Data: raw})
			}
			if m.GetType() == pb.MsgSnap { // whether it arrives is not known: raft sends it again if it is asked to
				v.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
	}
	v.applyCommitted(ready.CommittedEntries)
	v.raftNode.Advance(ready)
	v.compact()
}

// applyCommitted applies entries to the state and answers the requests that they came from.
func (v *Voter) applyCommitted(entries []*pb.Entry) {
	changed := false
	for _, e := range entries {
		if e.GetIndex() <= v.state.Index {
			continue
		}
		c, err := v.state.apply(e.GetIndex(), e.GetData())
		changed = true
		v.pendingRequests = slices.DeleteFunc(v.pendingRequests, func(p pendingRequest) bool {
			if p.commandID == c.ID && c.ID != "" {
				v.emit(Reply{RequestID: p.requestID, Index: e.GetIndex(), Err: err})
				return true
			}
			return false
		})
	}
	if changed {
		v.emit(Applied{v.state.Index})
	}
}

// compact replaces a long log by a snapshot.
func (v *Voter) compact() {
	first, err := v.storage.FirstIndex()
	if err != nil || v.state.Index < first+compactThreshold {
		return
	}
	state := v.state.clone()
	raw, err := state.encode()
	if err != nil {
		return
	}
	snapshot, err := v.storage.CreateSnapshot(state.Index, v.confState, raw)
	if err != nil {
		return
	}
	if err := v.storage.Compact(state.Index); err == nil {
		hard, _, _ := v.storage.InitialState()
		last, _ := v.storage.LastIndex()
		entries, _ := v.storage.Entries(state.Index+1, last+1, ^uint64(0))
		v.inFlightPersists = append(v.inFlightPersists, false)
		v.emit(Persist{Batch{HardState: hard, Entries: entries, Snapshot: snapshot}})
	}
}
