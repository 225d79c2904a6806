package gateway

import (
	"net/netip"

	"foxlane/internal/directives"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file has the effects that Flush returns for the host of a Gateway to execute.

// Effect is something to do outside the reducer: one type for each kind. The two that nearly every request causes come by
// pointer, so that the reducer can use their memory again; whatever an effect points to is valid until the next Step.
type Effect interface{ effect() }

// Write sends Data on a connection.
type Write struct {
	Conn ConnID
	Data []byte
}

// CloseConnection closes a connection once what was written is sent, or cancels its dial.
type CloseConnection struct{ Conn ConnID }

// ResetConnection resets a connection: what it has not taken is never sent. ConnectionClosed follows.
type ResetConnection struct{ Conn ConnID }

// Dial connects to Addr within Timeout. DialSucceeded or DialFailed follows.
type Dial struct {
	Conn    ConnID
	Addr    netip.AddrPort
	Timeout rules.Time
}

// QueryDNS sends a datagram to the name service.
type QueryDNS struct{ Data []byte }

// SetNameServer moves to the name service at Addr, with a new socket.
type SetNameServer struct{ Addr netip.AddrPort }

// SetTimer asks for TimerFired at a time, and at no earlier time: it replaces the timer that was set before.
type SetTimer struct{ At rules.Time }

// Log writes a line of the log.
type Log struct {
	Level Level
	Text  string
	Attrs []Attr
}

// Level is the severity of a log line.
type Level int

// Levels.
const (
	Debug Level = iota
	Info
	Warn
)

// Attr is a named value of a log line.
type Attr struct {
	Key   string
	Value any
}

// Exit ends the process, unless more has come meanwhile: all is answered.
type Exit struct{}

// SubmitSpool has the spool's disk execute an effect. Its data stays as it is until SpoolCompleted reports it.
type SubmitSpool struct{ Effect spool.DiskEffect }

// NotifyDrained asks for WriteDrained once all that was written on a connection is taken.
type NotifyDrained struct{ Conn ConnID }

// SendToMember sends Data to a member on a channel; it may be lost.
type SendToMember struct {
	To      string
	Channel byte
	Data    []byte
}

// JoinMembers begins to look for members, as the configuration has it now.
type JoinMembers struct{}

// LeaveMembers leaves the members.
type LeaveMembers struct{}

// ControlResponse answers the ControlRequest of Conn.
type ControlResponse struct {
	Conn ConnID
	Data []byte
}

// PersistVoterLog puts a batch on the voter's disk, synced. VoterLogPersisted follows.
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
func (SubmitSpool) effect()     {}
func (NotifyDrained) effect()   {}
func (SendToMember) effect()    {}
func (JoinMembers) effect()     {}
func (LeaveMembers) effect()    {}
func (ControlResponse) effect() {}
func (PersistVoterLog) effect() {}

// effectBatch is the effects of one Flush.
type effectBatch struct {
	list   []Effect
	writes []Write // that the list points to
	timer  SetTimer
}

func (b *effectBatch) reset() { b.list, b.writes = b.list[:0], b.writes[:0] }

// write adds a Write. Where writes has to grow, the list goes on pointing into the array it had.
func (b *effectBatch) write(conn ConnID, data []byte) {
	b.writes = append(b.writes, Write{conn, data})
	b.list = append(b.list, &b.writes[len(b.writes)-1])
}

// setTimer adds a SetTimer, the only one of the batch.
func (b *effectBatch) setTimer(at rules.Time) {
	b.timer.At = at
	b.list = append(b.list, &b.timer)
}
