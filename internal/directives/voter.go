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

// Kept is what a voter's disk held at its start.
type Kept struct {
	Born    bool          // it was made a voter: without that it has forgotten, or is new
	Hard    *pb.HardState // nil: none
	Entries []*pb.Entry
	Snap    *pb.Snapshot // nil: none
}

// Settings say who votes.
type Settings struct {
	Self   string
	Voters []string // names, ours among them; the same list at all
	Tick   rules.Time
}

const (
	electionTicks = 10
	beatTicks     = 2
	mostMessage   = 32 << 10
	mostInFlight  = 16
	compactAfter  = 128 // entries in the log
	proposeWithin = 4 * rules.Second
	listenFor     = 10 * electionTicks // ticks for which one that has forgotten listens to a leader before it votes
	mostPending   = 16
)

// Validate says what can't be used.
func (s Settings) Validate() error {
	switch {
	case len(s.Voters) != 1 && len(s.Voters) != 3 && len(s.Voters) != 5:
		return fmt.Errorf("directives: %d voters; 1, 3 or 5 are possible", len(s.Voters))
	case s.Tick <= 0:
		return errors.New("directives: tick must be over 0")
	}
	for i, v := range s.Voters {
		if v == "" || slices.Contains(s.Voters[:i], v) {
			return fmt.Errorf("directives: voter %q has no name of its own", v)
		}
	}
	return nil
}

func (s Settings) id(name string) uint64 { return uint64(slices.Index(s.Voters, name) + 1) }

// EventKind is what an Event tells.
type EventKind int

// Kinds of events.
const (
	Tick      EventKind = iota + 1
	Came                // Data came from the voter From
	Propose             // Command is asked for; Ask names who asks
	Persisted           // what Persist asked for is kept, or could not be: OK
)

// Event is something that happened.
type Event struct {
	Kind    EventKind
	From    string
	Data    []byte
	Command Command
	Ask     uint64
	OK      bool
}

// EffectKind is what an Effect asks for.
type EffectKind int

// Kinds of effects.
const (
	Send    EffectKind = iota + 1 // Data to the voter To
	Persist                       // Keep it on the disk, synced, and tell Persisted
	Applied                       // the book has changed
	Answer                        // of Ask: the command holds as of Index, or Err
	Told                          // Text is for the log
)

// Batch is what is kept at once.
type Batch struct {
	Hard    *pb.HardState
	Entries []*pb.Entry
	Snap    *pb.Snapshot // takes the place of all before it
}

// Effect is something to do.
type Effect struct {
	Kind  EffectKind
	To    string
	Data  []byte
	Batch Batch
	Ask   uint64
	Index uint64
	Err   error
	Text  string
}

// Errors of proposals.
var (
	ErrNoQuorum = errors.New("directives: no quorum of voters answers: the command may or may not come to hold; ask for the list")
	ErrBusy     = errors.New("directives: too many commands are on their way")
	ErrBroken   = errors.New("directives: the disk failed, this voter takes part again after a restart")
)

// Voter is one of the voters.
type Voter struct {
	set     Settings
	node    *raft.RawNode
	store   *raft.MemoryStorage
	conf    *pb.ConfState
	book    Book
	now     rules.Time
	batch   *raft.Ready // on its way to the disk
	acks    []bool      // what is on its way, in order: the batch, or else a snapshot of ours
	pending []pendingAsk
	forgot  int    // ticks for which it still listens; 0: it votes
	heard   uint64 // highest term heard while it listens
	floor   uint64 // it votes in later terms only
	broken  bool
	effects []Effect
}

type pendingAsk struct {
	ask   uint64
	id    string
	until rules.Time
}

var first = struct{ index, term uint64 }{1, 1} // where all logs begin

// NewVoter returns a voter with what its disk held.
func NewVoter(set Settings, kept Kept, now rules.Time) (*Voter, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	v := &Voter{set: set, store: raft.NewMemoryStorage(), now: now, conf: &pb.ConfState{}}
	for i := range set.Voters {
		v.conf.Voters = append(v.conf.Voters, uint64(i+1))
	}
	if set.id(set.Self) == 0 {
		return nil, fmt.Errorf("directives: %q is none of the voters", set.Self)
	}
	snap := kept.Snap
	if snap == nil {
		snap = &pb.Snapshot{Data: (&Book{}).encode(), Metadata: &pb.SnapshotMetadata{ConfState: v.conf, Index: proto.Uint64(first.index), Term: proto.Uint64(first.term)}}
	}
	if err := json.Unmarshal(snap.GetData(), &v.book); err != nil {
		return nil, fmt.Errorf("directives: the snapshot can't be read: %w", err)
	}
	if err := v.store.ApplySnapshot(snap); err != nil {
		return nil, err
	}
	hard := kept.Hard
	if hard == nil {
		hard = &pb.HardState{Term: proto.Uint64(first.term), Commit: proto.Uint64(snap.GetMetadata().GetIndex())}
	}
	if err := v.store.Append(kept.Entries); err != nil {
		return nil, err
	}
	last, err := v.store.LastIndex()
	if err != nil {
		return nil, err
	}
	if hard.GetCommit() > last { // entries that were committed are gone
		kept.Born = false
		hard = &pb.HardState{Term: hard.Term, Vote: hard.Vote, Commit: proto.Uint64(last)}
	}
	if hard.GetCommit() < snap.GetMetadata().GetIndex() {
		hard = &pb.HardState{Term: hard.Term, Vote: hard.Vote, Commit: proto.Uint64(snap.GetMetadata().GetIndex())}
	}
	if err := v.store.SetHardState(hard); err != nil {
		return nil, err
	}
	if !kept.Born {
		v.forgot = listenFor
	}
	quiet := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	v.node, err = raft.NewRawNode(&raft.Config{ID: set.id(set.Self), ElectionTick: electionTicks, HeartbeatTick: beatTicks, Storage: v.store,
		Applied: snap.GetMetadata().GetIndex(), MaxSizePerMsg: mostMessage / 4, MaxInflightMsgs: mostInFlight, CheckQuorum: true, PreVote: true,
		MaxUncommittedEntriesSize: mostMessage, Logger: quiet})
	return v, err
}

// Book is what holds here. It is not to be changed.
func (v *Voter) Book() *Book { return &v.book }

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
	b := v.node.BasicStatus()
	s := Status{Term: b.HardState.GetTerm(), Commit: b.HardState.GetCommit(), Listens: v.forgot > 0, Broken: v.broken}
	if l := int(b.SoftState.Lead); l >= 1 && l <= len(v.set.Voters) {
		s.Leader = v.set.Voters[l-1]
	}
	return s
}

func (v *Voter) do(e Effect) { v.effects = append(v.effects, e) }

// Handle takes one event and returns what to do. The result is valid until the next call.
func (v *Voter) Handle(now rules.Time, e Event) []Effect {
	v.effects = v.effects[:0]
	v.now = max(v.now, now)
	if v.broken {
		if e.Kind == Propose {
			v.do(Effect{Kind: Answer, Ask: e.Ask, Err: ErrBroken})
		}
		return v.effects
	}
	switch e.Kind {
	case Tick:
		v.tick()
	case Came:
		v.came(e.From, e.Data)
	case Propose:
		v.propose(e)
	case Persisted:
		v.persisted(e.OK)
	}
	v.pump()
	return v.effects
}

func (v *Voter) tick() {
	if v.forgot > 0 {
		v.node.TickQuiesced()
		if v.Status().Leader != "" {
			if v.forgot--; v.forgot == 0 {
				v.floor = v.heard
				v.do(Effect{Kind: Told, Text: "directives: has listened long enough, votes again"})
			}
		}
	} else {
		v.node.Tick()
	}
	kept := v.pending[:0]
	for _, p := range v.pending {
		if v.now < p.until {
			kept = append(kept, p)
			continue
		}
		v.do(Effect{Kind: Answer, Ask: p.ask, Err: ErrNoQuorum})
	}
	v.pending = kept
}

func (v *Voter) propose(e Event) {
	e.Command.Directive.AtMS = int64(v.now / rules.Millisecond)
	raw, err := json.Marshal(e.Command)
	if err == nil {
		err = e.Command.Validate()
	}
	switch {
	case err != nil:
	case len(v.pending) >= mostPending:
		err = ErrBusy
	default:
		if err = v.node.Propose(raw); errors.Is(err, raft.ErrProposalDropped) {
			err = ErrNoQuorum
		}
	}
	if err != nil {
		v.do(Effect{Kind: Answer, Ask: e.Ask, Err: err})
		return
	}
	v.pending = append(v.pending, pendingAsk{e.Ask, e.Command.ID, v.now + proposeWithin})
}

// came takes a message of another voter.
func (v *Voter) came(from string, data []byte) {
	m := &pb.Message{}
	if len(data) > 2*mostMessage || proto.Unmarshal(data, m) != nil || m.GetTo() != v.set.id(v.set.Self) || m.GetFrom() != v.set.id(from) || m.GetFrom() == 0 {
		v.do(Effect{Kind: Told, Text: fmt.Sprintf("directives: a message of %q can't be used", from)})
		return
	}
	vote := m.GetType() == pb.MsgVote || m.GetType() == pb.MsgPreVote
	if v.forgot > 0 {
		v.heard = max(v.heard, m.GetTerm())
	}
	if vote && (v.forgot > 0 || m.GetTerm() <= v.floor) { // it may have voted in that term, and does not know
		return
	}
	last, err := v.store.LastIndex()
	if err == nil && m.GetType() == pb.MsgHeartbeat && m.GetCommit() > last && v.batch == nil {
		// The leader holds that we have kept more than we have: our disk is an old copy of itself.
		if v.forgot == 0 {
			v.do(Effect{Kind: Told, Text: "directives: this voter has forgotten what it had kept; it listens before it votes again"})
		}
		v.forgot, v.heard = listenFor, max(v.heard, m.GetTerm())
		v.do(Effect{Kind: Send, To: from, Data: []byte(forgotten + v.set.Self)})
		return
	}
	_ = v.node.Step(m) // what can't be stepped is dropped, as if lost
}

// forgotten begins what a voter says that has lost what it had acknowledged: the leader, who would send only what comes behind that,
// hands over to another, who asks anew how far each has come.
const forgotten = "forgotten "

// Forgotten takes such a word. It answers whether data is one.
func (v *Voter) Forgotten(from string, data []byte) bool {
	if string(data) != forgotten+from {
		return false
	}
	if v.broken || v.Status().Leader != v.set.Self {
		return true
	}
	for i, name := range v.set.Voters {
		if name != from && name != v.set.Self {
			v.node.TransferLeader(uint64(i + 1))
			break
		}
	}
	return true
}

// pump takes the next batch out of raft, unless one is on its way to the disk.
func (v *Voter) pump() {
	for v.batch == nil && !v.broken && v.node.HasReady() {
		rd := v.node.Ready()
		v.batch = &rd
		b := Batch{Hard: rd.HardState, Entries: rd.Entries}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.Snap = rd.Snapshot
		}
		if b.Hard == nil && len(b.Entries) == 0 && b.Snap == nil {
			v.finish()
			continue
		}
		v.acks = append(v.acks, true)
		v.do(Effect{Kind: Persist, Batch: b})
	}
}

// persisted: what was to be kept is, or the disk has failed, and nothing is said that rests on it.
func (v *Voter) persisted(ok bool) {
	if len(v.acks) == 0 {
		return
	}
	batch := v.acks[0]
	v.acks = v.acks[1:]
	if !ok {
		v.broken = true
		v.do(Effect{Kind: Told, Text: ErrBroken.Error()})
		for _, p := range v.pending {
			v.do(Effect{Kind: Answer, Ask: p.ask, Err: ErrBroken})
		}
		v.pending = nil
		return
	}
	if batch {
		v.finish()
	}
}

// finish says and applies what a kept batch allows.
func (v *Voter) finish() {
	rd := *v.batch
	v.batch = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.store.ApplySnapshot(rd.Snapshot); err == nil {
			var b Book
			if json.Unmarshal(rd.Snapshot.GetData(), &b) == nil {
				v.book = b
				v.do(Effect{Kind: Applied, Index: b.Index})
			}
		}
	}
	_ = v.store.Append(rd.Entries)
	if rd.HardState != nil {
		_ = v.store.SetHardState(rd.HardState)
	}
	for _, m := range rd.Messages {
		if to := int(m.GetTo()); to >= 1 && to <= len(v.set.Voters) {
			if raw, err := proto.Marshal(m); err == nil {
				v.do(Effect{Kind: Send, To: v.set.Voters[to-1], Data: raw})
			}
			if m.GetType() == pb.MsgSnap { // datagrams or connections: it is sent once, and asked for again
				v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
	}
	changed := false
	for _, e := range rd.CommittedEntries {
		if e.GetIndex() <= v.book.Index {
			continue
		}
		c, err := v.book.apply(e.GetIndex(), e.GetData())
		changed = true
		v.pending = slices.DeleteFunc(v.pending, func(p pendingAsk) bool {
			if p.id == c.ID && c.ID != "" {
				v.do(Effect{Kind: Answer, Ask: p.ask, Index: e.GetIndex(), Err: err})
				return true
			}
			return false
		})
	}
	if changed {
		v.do(Effect{Kind: Applied, Index: v.book.Index})
	}
	v.node.Advance(rd)
	v.compact()
}

// compact puts a snapshot in the place of a long log.
func (v *Voter) compact() {
	begin, err := v.store.FirstIndex()
	if err != nil || v.book.Index < begin+compactAfter {
		return
	}
	b := v.book.clone()
	snap, err := v.store.CreateSnapshot(b.Index, v.conf, b.encode())
	if err != nil {
		return
	}
	if err := v.store.Compact(b.Index); err == nil {
		hard, _, _ := v.store.InitialState()
		last, _ := v.store.LastIndex()
		entries, _ := v.store.Entries(b.Index+1, last+1, ^uint64(0))
		v.acks = append(v.acks, false)
		v.do(Effect{Kind: Persist, Batch: Batch{Hard: hard, Entries: entries, Snap: snap}})
	}
}
