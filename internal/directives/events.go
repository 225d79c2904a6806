package directives

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Event is an input of a voter: one of Tick, Received, Propose and Persisted.
type Event interface{ isEvent() }

// Tick reports that Settings.TickInterval has passed.
type Tick struct{}

// Received is a raft message from another voter.
type Received struct {
	From string
	Data []byte
}

// Propose requests that a command be committed. A Reply with the same RequestID answers it.
type Propose struct {
	RequestID uint64
	Command   Command
}

// Persisted reports the result of the oldest outstanding Persist.
type Persisted struct{ OK bool }

func (Tick) isEvent()      {}
func (Received) isEvent()  {}
func (Propose) isEvent()   {}
func (Persisted) isEvent() {}

// Effect is an output for the caller to carry out: one of Send, Persist, Applied, Reply and Log.
type Effect interface{ isEffect() }

// Channel distinguishes raft messages from the messages that replicate the state to followers.
type Channel int

// Channels.
const (
	ChannelRaft Channel = iota + 1
	ChannelState
)

// Send sends a message to another gateway.
type Send struct {
	To      string
	Channel Channel
	Data    []byte
}

// Persist requests that a batch be written to disk and synced. Persisted reports the result.
type Persist struct{ Batch Batch }

// Applied reports that the state has changed, as of Index.
type Applied struct{ Index uint64 }

// Reply answers a Propose: the command is committed at Index, or failed with Err.
type Reply struct {
	RequestID uint64
	Index     uint64
	Err       error
}

// Log is a warning for operators.
type Log struct{ Text string }

func (Send) isEffect()    {}
func (Persist) isEffect() {}
func (Applied) isEffect() {}
func (Reply) isEffect()   {}
func (Log) isEffect()     {}

// PersistedState is the content of a voter's log on disk at startup.
type PersistedState struct {
	Initialized bool          // an operator initialized the log; false if the log is new or was lost
	HardState   *pb.HardState // nil: none
	Entries     []*pb.Entry
	Snapshot    *pb.Snapshot // nil: none
}

// Batch is a set of changes that is persisted in one step.
type Batch struct {
	HardState *pb.HardState // nil: unchanged
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot // replaces everything persisted before; nil: none
}

// Errors of proposals. The operators' commands print these texts.
var (
	ErrNoQuorum   = errors.New("directives: no quorum of voters answers: the command may or may not come to hold; ask for the list")
	ErrBusy       = errors.New("directives: too many commands are on their way")
	ErrDiskFailed = errors.New("directives: the disk failed, this voter takes part again after a restart")
	ErrLogInvalid = errors.New("directives: the log contradicts what a voter sent, this voter takes part again after a restart")
)
