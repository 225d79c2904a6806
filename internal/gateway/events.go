package gateway

import (
	"net/netip"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file defines the events that the host passes to Gateway.Step.

// ConnID identifies a connection. The IDs of connections that the reducer dials have the top bit set.
type ConnID uint64

// dialledBit marks the IDs of connections that the reducer dials.
const dialledBit ConnID = 1 << 63

// Dialled reports whether the reducer has dialled the connection. Otherwise it was accepted from a client.
func (id ConnID) Dialled() bool { return id&dialledBit != 0 }

// Event is an input to the reducer, with one type per kind. Only DataReceived is passed by pointer, so that the
// host can reuse its memory. Anything an event points to is valid only during Step.
type Event interface{ event() }

// ConnectionAccepted reports a new client connection.
type ConnectionAccepted struct {
	Conn ConnID
	From netip.Addr // client address; the zero value if unknown
}

// DataReceived reports bytes read from a connection.
type DataReceived struct {
	Conn ConnID
	Data []byte
}

// ClientLeaving reports that the ConnectionClosed of a client is among the events to come in this batch: its client will
// read no answer. Input that the client sent before may come ahead of its ConnectionClosed.
type ClientLeaving struct{ Conn ConnID }

// ConnectionClosed reports that a connection has ended, closed by either side or broken.
type ConnectionClosed struct {
	Conn ConnID
	Err  error // nil: orderly close

	// AcceptedBytes is the number of written bytes that the operating system accepted. Bytes past this offset never
	// left the process.
	AcceptedBytes int64
}

// DialSucceeded reports that a dialled connection is established.
type DialSucceeded struct{ Conn ConnID }

// DialFailed reports that a dial failed; nothing was written.
type DialFailed struct {
	Conn  ConnID
	Err   error
	Local bool // a local resource such as file descriptors was exhausted; the failure says nothing about the engine
}

// DNSResponse reports a datagram received from the name service.
type DNSResponse struct {
	Data []byte

	// ClockSkew is how far steps of the wall clock have moved it ahead of the event time.
	ClockSkew rules.Time
}

// TimerFired reports that the time of the latest SetTimer has been reached.
type TimerFired struct{}

// ShutdownRequested requests a graceful shutdown.
type ShutdownRequested struct{}

// ConfigReloaded carries a reloaded configuration, which takes effect at once.
type ConfigReloaded struct {
	Config    *config.Config
	ClockSkew rules.Time // as in DNSResponse
}

// SpoolCompleted reports the spool disk operations completed after SubmitSpool.
type SpoolCompleted struct{ Events []spool.Event }

// WriteDrained reports that the operating system has accepted all bytes written to a connection and, if LimitUnsent is in
// effect, has sent most of them. It follows NotifyDrained.
type WriteDrained struct{ Conn ConnID }

// WriteBlocked reports that the operating system does not accept all bytes written to a connection, since the peer does
// not read. WriteUnblocked follows once all of them are accepted, unless the connection ends.
type WriteBlocked struct {
	Conn    ConnID
	Pending int64 // bytes that are not accepted
}

// MemorySampled reports the resident memory of the process.
type MemorySampled struct{ ResidentBytes int64 }

// WriteUnblocked reports that the operating system has accepted all bytes written to a connection that was blocked.
type WriteUnblocked struct{ Conn ConnID }

// ControlRequest carries a request from an operator command on the control socket. ControlResponse answers it.
type ControlRequest struct {
	Conn ConnID // numbered by the control listener, separately from other connections
	Data []byte
}

// VoterLogOpened reports the state that was read from the voter's log at startup.
type VoterLogOpened struct{ State *directives.PersistedState }

// VoterLogPersisted reports that the batch of a PersistVoterLog is on disk, or the error that prevented it.
type VoterLogPersisted struct{ Err error }

func (ConnectionAccepted) event() {}
func (*DataReceived) event()      {}
func (ClientLeaving) event()      {}
func (ConnectionClosed) event()   {}
func (DialSucceeded) event()      {}
func (DialFailed) event()         {}
func (DNSResponse) event()        {}
func (TimerFired) event()         {}
func (ShutdownRequested) event()  {}
func (ConfigReloaded) event()     {}
func (SpoolCompleted) event()     {}
func (WriteDrained) event()       {}
func (WriteBlocked) event()       {}
func (WriteUnblocked) event()     {}
func (MemorySampled) event()      {}
func (PeerEvent) event()          {}
func (ControlRequest) event()     {}
func (VoterLogOpened) event()     {}
func (VoterLogPersisted) event()  {}
