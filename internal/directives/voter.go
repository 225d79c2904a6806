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

// This file runs raft as a state machine: it handles one event at a time and returns the effects.

// Settings identifies this gateway and the voters.
type Settings struct {
	Self         string   // name of this gateway
	Voters       []string // same names in the same order at every gateway: raft IDs are positions in this list
	TickInterval rules.Time
}

const (
	electionTicks      = 10
	heartbeatTicks     = 2
	maxMessageBytes    = 32 << 10
	maxInFlight        = 16
	compactThreshold   = 128 // entries in the log
	proposalTimeout    = 4 * rules.Second
	listenTicks        = 10 * electionTicks // how long a voter that lost its log follows a leader before it votes
	maxPendingRequests = 16
)

// Validate returns an error for the first invalid setting.
func (s Settings) Validate() error {
	switch {
	case len(s.Voters) != 1 && len(s.Voters) != 3 && len(s.Voters) != 5:
		return fmt.Errorf("directives: %d voters are named; 1, 3 or 5 are allowed", len(s.Voters))
	case s.TickInterval <= 0:
		return errors.New("directives: tick must be over 0")
	}
	for i, v := range s.Voters {
		if v == "" || slices.Contains(s.Voters[:i], v) {
			return fmt.Errorf("directives: voter %q is named twice, or its name is empty", v)
		}
	}
	return nil
}

// voterID returns the raft ID of a voter, or 0 if name is not a voter.
func (s Settings) voterID(name string) uint64 { return uint64(slices.Index(s.Voters, name) + 1) }

// Voter is a member of the raft group.
type Voter struct {
	settings         Settings
	raftNode         *raft.RawNode
	storage          *raft.MemoryStorage
	confState        *pb.ConfState
	state            State
	now              rules.Time
	pendingReady     *raft.Ready // being persisted; nil: none
	inFlightPersists []bool      // outstanding Persists, oldest first; true: pendingReady, false: a snapshot by compact
	pendingRequests  []pendingRequest
	listenTicksLeft  int    // ticks with a leader until the voter votes again; 0: it votes
	highestTermSeen  uint64 // highest term in messages received while the voter listens
	maxVotedTerm     uint64 // highest term of a possible vote before the log was lost; it votes in later terms only
	failure          error  // ErrDiskFailed or ErrLogInvalid: the voter is stopped until a restart; nil: it runs
	effects          []Effect
}

// pendingRequest is an unanswered Propose.
type pendingRequest struct {
	requestID uint64
	commandID string
	deadline  rules.Time
}

// Index and term at which every log starts. They are fixed so that voters that start at different times agree on the
// first snapshot.
const (
	firstIndex = 1
	firstTerm  = 1
)

// NewVoter returns a voter that continues from its persisted log.
func NewVoter(settings Settings, persisted PersistedState, now rules.Time) (*Voter, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	v := &Voter{settings: settings, storage: raft.NewMemoryStorage(), now: now, confState: &pb.ConfState{}}
	for i := range settings.Voters {
		v.confState.Voters = append(v.confState.Voters, uint64(i+1))
	}
	if settings.voterID(settings.Self) == 0 {
		return nil, fmt.Errorf("directives: %q is not a voter", settings.Self)
	}
	snapshotIndex, err := v.restore(persisted)
	if err != nil {
		return nil, err
	}
	discardLogger := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	v.raftNode, err = raft.NewRawNode(&raft.Config{ID: settings.voterID(settings.Self), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: v.storage, Applied: snapshotIndex, MaxSizePerMsg: maxMessageBytes / 4, MaxInflightMsgs: maxInFlight, CheckQuorum: true, PreVote: true,
		MaxUncommittedEntriesSize: maxMessageBytes, Logger: discardLogger})
	if err != nil {
		return nil, fmt.Errorf("directives: start raft: %w", err)
	}
	return v, nil
}

// restore loads the persisted log into the storage and the state, and returns the index of its snapshot. A log without
// all its committed entries counts as lost: the voter listens before it votes.
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
		return 0, fmt.Errorf("directives: decode the snapshot at index %d: %w", snapshotIndex, err)
	}
	if err := v.storage.ApplySnapshot(snapshot); err != nil {
		return 0, fmt.Errorf("directives: restore the snapshot at index %d: %w", snapshotIndex, err)
	}
	hardState := persisted.HardState
	if hardState == nil {
		hardState = &pb.HardState{Term: proto.Uint64(firstTerm), Commit: proto.Uint64(snapshotIndex)}
	}
	if err := v.storage.Append(persisted.Entries); err != nil {
		return 0, fmt.Errorf("directives: restore the %d entries of the log: %w", len(persisted.Entries), err)
	}
	last, err := v.storage.LastIndex()
	if err != nil {
		return 0, fmt.Errorf("directives: look up the last index of the log: %w", err)
	}
	initialized := persisted.Initialized
	if hardState.GetCommit() > last {
		initialized = false
		hardState = &pb.HardState{Term: hardState.Term, Vote: hardState.Vote, Commit: proto.Uint64(last)}
	}
	if hardState.GetCommit() < snapshotIndex {
		hardState = &pb.HardState{Term: hardState.Term, Vote: hardState.Vote, Commit: proto.Uint64(snapshotIndex)}
	}
	if err := v.storage.SetHardState(hardState); err != nil {
		return 0, fmt.Errorf("directives: restore the hard state of term %d: %w", hardState.GetTerm(), err)
	}
	if !initialized {
		v.listenTicksLeft = listenTicks
	}
	return snapshotIndex, nil
}

// State returns the committed state of this voter. The caller must not change it.
func (v *Voter) State() *State { return &v.state }

// Status describes a voter to operators. Its field names are keys of the JSON in gateways' answers.
type Status struct {
	Leader  string // empty: unknown
	Term    uint64
	Commit  uint64
	Listens bool // it lost its log and does not vote yet
	Broken  bool // its disk failed, or its log is invalid
}

// Status returns the voter's status.
func (v *Voter) Status() Status {
	basicStatus := v.raftNode.BasicStatus()
	s := Status{Term: basicStatus.GetTerm(), Commit: basicStatus.GetCommit(), Listens: v.listenTicksLeft > 0, Broken: v.failure != nil}
	if leader := int(basicStatus.Lead); leader >= 1 && leader <= len(v.settings.Voters) {
		s.Leader = v.settings.Voters[leader-1]
	}
	return s
}

func (v *Voter) emit(e Effect) { v.effects = append(v.effects, e) }

// fail stops the voter until a restart, logs text, and fails all pending requests.
func (v *Voter) fail(failure error, text string) {
	v.failure = failure
	v.emit(Log{text})
	for _, p := range v.pendingRequests {
		v.emit(Reply{RequestID: p.requestID, Err: failure})
	}
	v.pendingRequests = nil
}

// Handle handles one event and returns its effects. The result is valid until the next call.
func (v *Voter) Handle(now rules.Time, e Event) []Effect {
	v.effects = v.effects[:0]
	v.now = max(v.now, now)
	if v.failure != nil {
		if p, ok := e.(Propose); ok {
			v.emit(Reply{RequestID: p.RequestID, Err: v.failure})
		}
		return v.effects
	}
	if err := v.step(e); err != nil {
		v.effects = v.effects[:0] // no message may depend on this log any more
		v.fail(ErrLogInvalid, fmt.Sprintf("%v: %v", ErrLogInvalid, err))
	}
	return v.effects
}

// step passes an event to raft. Raft panics on a message that contradicts its log, such as one that overwrites a
// committed entry. Senders are not authenticated, so such a message must not crash the process: step returns the panic
// as an error.
func (v *Voter) step(e Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("raft: %v", p)
		}
	}()
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
	return v.collectReady()
}

// tick advances raft or the listening time, and fails requests that are past their deadline.
func (v *Voter) tick() {
	if v.listenTicksLeft > 0 {
		v.raftNode.TickQuiesced()
		if v.Status().Leader != "" {
			if v.listenTicksLeft--; v.listenTicksLeft == 0 {
				v.maxVotedTerm = v.highestTermSeen
				v.emit(Log{"directives: has listened long enough, votes again"})
			}
		}
	} else {
		v.raftNode.Tick()
	}
	remaining := v.pendingRequests[:0]
	for _, p := range v.pendingRequests {
		if v.now < p.deadline {
			remaining = append(remaining, p)
			continue
		}
		v.emit(Reply{RequestID: p.requestID, Err: ErrNoQuorum})
	}
	v.pendingRequests = remaining
}

// propose passes a command to raft. The request stays pending until the command is committed.
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

// lostLogPrefix, followed by the sender's name, is the message of a voter that lost entries it had acknowledged. The
// leader counts those entries as received and would send only later ones. It therefore transfers leadership to another
// voter, which determines anew how far each voter's log reaches.
const lostLogPrefix = "forgotten "

// receive handles a message from another voter.
func (v *Voter) receive(from string, data []byte) {
	if string(data) == lostLogPrefix+from {
		v.transferLeadership(from)
		return
	}
	m := &pb.Message{}
	self := v.settings.voterID(v.settings.Self)
	if len(data) > 2*maxMessageBytes || proto.Unmarshal(data, m) != nil || m.GetTo() != self || m.GetFrom() != v.settings.voterID(from) || m.GetFrom() == 0 ||
		m.GetFrom() == self || !isPeerMessage(m) {
		v.emit(Log{fmt.Sprintf("directives: a message of %q can't be used", from)})
		return
	}
	if v.listenTicksLeft > 0 {
		v.highestTermSeen = max(v.highestTermSeen, m.GetTerm())
	}
	isVoteRequest := m.GetType() == pb.MsgVote || m.GetType() == pb.MsgPreVote
	// A voter that lost its log may have voted in this term already.
	if isVoteRequest && (v.listenTicksLeft > 0 || m.GetTerm() <= v.maxVotedTerm) {
		return
	}
	last, err := v.storage.LastIndex()
	if err == nil && m.GetType() == pb.MsgHeartbeat && m.GetCommit() > last && v.pendingReady == nil {
		// The leader has acknowledgements from this voter for entries that its log lacks: the disk was reset to an
		// older state.
		if v.listenTicksLeft == 0 {
			v.emit(Log{"directives: this voter has forgotten what it had kept; it listens before it votes again"})
		}
		v.listenTicksLeft, v.highestTermSeen = listenTicks, max(v.highestTermSeen, m.GetTerm())
		v.emit(Send{To: from, Channel: ChannelRaft, Data: []byte(lostLogPrefix + v.settings.Self)})
		return
	}
	_ = v.raftNode.Step(m) // raft recovers from a rejected message as it does from a lost one
}

// isPeerMessage reports whether voters send each other messages of this type. All other types are internal to a raft
// process, and raft panics on some of them.
func isPeerMessage(m *pb.Message) bool {
	switch m.GetType() {
	case pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgSnap, pb.MsgTimeoutNow:
		return true
	case pb.MsgProp: // forwarded by a follower to its leader
		return m.GetTerm() == 0 && len(m.GetEntries()) > 0
	}
	return false
}

// transferLeadership transfers leadership to a voter other than except, if this voter is the leader.
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

// maxBatches bounds the batches of one event that need no disk write: if committed entries can't be read from the log,
// raft returns the same batch forever.
const maxBatches = 1000

// collectReady takes batches from raft until one has to be persisted; it takes none while one is being persisted.
func (v *Voter) collectReady() error {
	for batches := 0; v.pendingReady == nil && v.failure == nil && v.raftNode.HasReady(); batches++ {
		if batches == maxBatches {
			return fmt.Errorf("raft: %d batches without progress", batches)
		}
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
	return nil
}

// handlePersisted continues with a batch that has been persisted. If the disk failed, the voter stops sending, because
// its messages could depend on state that is not persisted.
func (v *Voter) handlePersisted(ok bool) {
	if len(v.inFlightPersists) == 0 {
		return
	}
	isReady := v.inFlightPersists[0]
	v.inFlightPersists = v.inFlightPersists[1:]
	if !ok {
		v.fail(ErrDiskFailed, ErrDiskFailed.Error())
		return
	}
	if isReady {
		v.applyReady()
	}
}

// applyReady sends the messages and applies the committed entries of the persisted batch.
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
			// The arrival of a snapshot is not tracked: raft sends it again if the receiver rejects later entries.
			if m.GetType() == pb.MsgSnap {
				v.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
	}
	v.applyCommitted(ready.CommittedEntries)
	v.raftNode.Advance(ready)
	v.compact()
}

// applyCommitted applies entries to the state and answers the requests that proposed them.
func (v *Voter) applyCommitted(entries []*pb.Entry) {
	changed := false
	for _, e := range entries {
		if e.GetIndex() <= v.state.Index {
			continue
		}
		c, err := v.state.applyEntry(e.GetIndex(), e.GetData())
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

// compact replaces the log with a snapshot once it has compactThreshold entries.
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
		hardState, _, _ := v.storage.InitialState()
		last, _ := v.storage.LastIndex()
		entries, _ := v.storage.Entries(state.Index+1, last+1, ^uint64(0))
		v.inFlightPersists = append(v.inFlightPersists, false)
		v.emit(Persist{Batch{HardState: hardState, Entries: entries, Snapshot: snapshot}})
	}
}
