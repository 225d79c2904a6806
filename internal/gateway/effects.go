package gateway

import (
	"net/netip"

	"foxlane/internal/directives"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file defines the effects that Gateway.Flush returns for the host to execute.

// Effect is an output of the reducer that the host executes, with one type per kind. Write and SetTimer, which
// nearly every request causes, are passed by pointer, so that the reducer can reuse their memory. Anything an
// effect points to is valid until the next Step.
type Effect interface{ effect() }

// Write writes Data to a connection.
type Write struct {
	Conn ConnID
	Data []byte
}

// CloseConnection closes a connection after sending all pending writes, or cancels its dial.
type CloseConnection struct{ Conn ConnID }

// ResetConnection resets a connection and discards its unsent bytes. ConnectionClosed follows.
type ResetConnection struct{ Conn ConnID }

// Dial connects to Addr within Timeout. DialSucceeded or DialFailed follows.
type Dial struct {
	Conn    ConnID
	Addr    netip.AddrPort
	Timeout rules.Time
}

// QueryDNS sends a datagram to the name service.
type QueryDNS struct{ Data []byte }

// SetNameServer makes the host query the name service at Addr from a new socket.
type SetNameServer struct{ Addr netip.AddrPort }

// SetTimer requests TimerFired at the time At and not before. It replaces the previous timer.
type SetTimer struct{ At rules.Time }

// Log writes a log line.
type Log struct {
	Level Level
	Text  string
	Attrs []Attr
}

// Level is the severity of a log line.
type Level int

// Log levels.
const (
	Debug Level = iota
	Info
	Warn
)

// Attr is a key-value pair of a log line.
type Attr struct {
	Key   string
	Value any
}

// Exit ends the process, unless further input has arrived. All requests are answered.
type Exit struct{}

// ReportMemory logs the memory of the process, with Attrs. PeakHeld is what the reducer knows to have been
// held, in bytes: at most what was in use at the latest collection.
type ReportMemory struct {
	Attrs    []Attr
	PeakHeld int64
}

// CollectMemory collects garbage and returns free memory to the operating system.
type CollectMemory struct{}

// LimitEventQueue sets the number of queued bytes from which on reading from sockets stops.
type LimitEventQueue struct{ Bytes int }

// PauseAccepting pauses or resumes accepting connections from clients.
type PauseAccepting struct{ Paused bool }

// SubmitSpool submits an operation to the spool's disk. Its data is not modified until SpoolCompleted reports the
// operation.
type SubmitSpool struct{ Effect spool.DiskEffect }

// NotifyDrained requests a WriteDrained for the bytes written to a connection so far.
type NotifyDrained struct{ Conn ConnID }

// LimitUnsent sets how many bytes written to a connection the operating system may hold before it sends them. What it does
// not take waits in the process. Bytes is 0 for no limit.
type LimitUnsent struct {
	Conn  ConnID
	Bytes int
}

// SendToMember sends Data to a member on a channel. The message may be lost.
type SendToMember struct {
	To      string
	Channel byte
	Data    []byte
}

// JoinMembers starts joining the other members with the current configuration.
type JoinMembers struct{}

// LeaveMembers leaves the group of members.
type LeaveMembers struct{}

// ControlResponse answers the ControlRequest of Conn.
type ControlResponse struct {
	Conn ConnID
	Data []byte
}

// PersistVoterLog appends a batch to the voter's log and syncs it. VoterLogPersisted follows.
type PersistVoterLog struct{ Batch directives.Batch }

func (*Write) effect()          {}
func (CloseConnection) effect() {}
func (ResetConnection) effect() {}
func (Dial) effect()            {}
func (QueryDNS) effect()        {}
func (SetNameServer) effect()   {}
func (*SetTimer) effect()       {}
func (Log) effect()             {}
func (Exit) effect()            {}
func (ReportMemory) effect()    {}
func (CollectMemory) effect()   {}
func (LimitEventQueue) effect() {}
func (PauseAccepting) effect()  {}
func (SubmitSpool) effect()     {}
func (NotifyDrained) effect()   {}
func (LimitUnsent) effect()     {}
func (SendToMember) effect()    {}
func (JoinMembers) effect()     {}
func (LeaveMembers) effect()    {}
func (ControlResponse) effect() {}
func (PersistVoterLog) effect() {}

// effectBatch holds the effects of one Flush.
type effectBatch struct {
	list   []Effect
	writes []Write // storage of the Write effects in list
	timer  SetTimer
}

// reset empties the batch and releases what its effects refer to.
func (b *effectBatch) reset() {
	clear(b.list)
	clear(b.writes)
	b.list, b.writes = b.list[:0], b.writes[:0]
}

// write adds a Write. If writes is reallocated, earlier entries of list keep pointing to the old array.
func (b *effectBatch) write(conn ConnID, data []byte) {
	b.writes = append(b.writes, Write{conn, data})
	b.list = append(b.list, &b.writes[len(b.writes)-1])
}

// setTimer adds a SetTimer. A batch has at most one.
func (b *effectBatch) setTimer(at rules.Time) {
	b.timer.At = at
	b.list = append(b.list, &b.timer)
}
