package directives

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Event is something that happened: one of Tick, Received, Propose and Persisted.
type Event interface{ isEvent() }

// Tick says that Settings.TickInterval has passed.
type Tick struct{}

// Received is a raft message of another voter.
type Received struct {
	From string
	Data []byte
}

// Propose asks for a command to be committed. A Reply with the same RequestID answers it.
type Propose struct {
	RequestID uint64
	Command   Command
}

// Persisted answers the oldest Persist that is not answered yet.
type Persisted struct{ OK bool }

func (Tick) isEvent()      {}
func (Received) isEvent()  {}
func (Propose) isEvent()   {}
func (Persisted) isEvent() {}

// Effect is something to do: one of Send, Persist, Applied, Reply and Log.
type Effect interface{ isEffect() }

// Channel separates the messages of raft from those that carry the state to followers.
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

// Persist writes a batch to the disk and syncs it. Persisted answers it.
type Persist struct{ Batch Batch }

// Applied says that the state has changed.
type Applied struct{ Index uint64 }

// Reply answers a Propose: the command is committed as of Index, or failed with Err.
type Reply struct {
	RequestID uint64
	Index     uint64
	Err       error
}

// Log is a warning for the operators.
type Log struct{ Text string }

func (Send) isEffect()    {}
func (Persist) isEffect() {}
func (Applied) isEffect() {}
func (Reply) isEffect()   {}
func (Log) isEffect()     {}

// PersistedState is what a voter's disk held at its start.
type PersistedState struct {
	Initialized bool          // an operator made it a voter: without that it has lost its log, or is new
	HardState   *pb.HardState // nil: none
	Entries     []*pb.Entry
	Snapshot    *pb.Snapshot // nil: none
}

// Batch is what is persisted at once.
type Batch struct {
	HardState *pb.HardState // nil: unchanged
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot // replaces all that was persisted before; nil: none
}

// Errors of proposals. Operators' commands print their texts.
var (
	ErrNoQuorum   = errors.New("directives: no quorum of voters answers: the command may or may not come to hold; ask for the list")
	ErrBusy       = errors.New("directives: too many commands are on their way")
	ErrDiskFailed = errors.New("directives: the disk failed, this voter takes part again after a restart")
)
