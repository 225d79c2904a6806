package gateway

import (
	"net/netip"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file has the events that the host of a Gateway passes to Step.

// ConnID names a connection. Those that the reducer dials have the top bit set.
type ConnID uint64

const dialledBit ConnID = 1 << 63

// Event is something that happened outside the reducer: one type for each kind. Received bytes are the one event that comes
// by pointer, so that the host can use its memory again; whatever an event points to is valid during Step only.
type Event interface{ event() }

// ConnectionAccepted reports that a client connected.
type ConnectionAccepted struct {
	Conn ConnID
	From netip.Addr // the client's address, if it is known
}

// DataReceived reports bytes that came on a connection.
type DataReceived struct {
	Conn ConnID
	Data []byte
}

// ConnectionClosed reports that a connection has ended, whoever closed it.
type ConnectionClosed struct {
	Conn ConnID
	Err  error // nil: an orderly end

	// AcceptedBytes is how many bytes of all that was written on the connection the system has accepted. What lies behind
	// them has never left, whatever broke.
	AcceptedBytes int64
}

// DialSucceeded reports that a dial has made its connection.
type DialSucceeded struct{ Conn ConnID }

// DialFailed reports that a dial made no connection; nothing was written.
type DialFailed struct {
	Conn  ConnID
	Err   error
	Local bool // for want of something on this machine, such as descriptors: it says nothing of the other side
}

// DNSResponse reports a datagram from the name service.
type DNSResponse struct {
	Data []byte

	// ClockSkew is by how much the wall clock is ahead of the time of events, since it was stepped.
	ClockSkew rules.Time
}

// TimerFired reports that the time of the latest SetTimer has come.
type TimerFired struct{}

// ShutdownRequested asks for a graceful shutdown.
type ShutdownRequested struct{}

// ConfigReloaded brings the configuration that holds from now on.
type ConfigReloaded struct {
	Config    *config.Config
	ClockSkew rules.Time // as in DNSResponse
}

// SpoolCompleted reports what the spool's disk has done of what SubmitSpool asked for.
type SpoolCompleted struct{ Events []spool.Event }

// WriteDrained reports that a connection has taken all that was written to it. It follows NotifyDrained, and WriteBlocked.
type WriteDrained struct{ Conn ConnID }

// WriteBlocked reports that a connection to an engine doesn't take what was written to it; WriteDrained follows once it has.
type WriteBlocked struct{ Conn ConnID }

// ControlRequest brings a request of an operator's command. ControlResponse answers it.
type ControlRequest struct {
	Conn ConnID // of the control listener; not one of the connections above
	Data []byte
}

// VoterLogOpened reports what the voter's log held at the start.
type VoterLogOpened struct{ State *directives.PersistedState }

// VoterLogPersisted reports that what PersistVoterLog asked for is on the disk, or why it isn't.
type VoterLogPersisted struct{ Err error }

func (ConnectionAccepted) event() {}
func (*DataReceived) event()      {}
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
func (PeerEvent) event()          {}
func (ControlRequest) event()     {}
func (VoterLogOpened) event()     {}
func (VoterLogPersisted) event()  {}
