package config

import (
	"errors"
	"fmt"

	"foxlane/internal/settings"
	"foxlane/rules"
)

// Limits are the sizes, counts and times that bound a gateway on sockets. They
// are derived once, at the start, from the machine and the settings. One of them
// bounds each buffer, queue and table that can grow.
type Limits struct {
	// The machine.
	ProcessBytes int64 // memory that the process may have resident
	MemoryBytes  int64 // soft memory limit of the Go runtime
	Sockets      int   // file descriptors that the process may open

	// Clients.
	MaxClients             int        // client connections
	ClientQuota            int        // of MaxClients, connections in use at a time, with one request each
	AcceptOverflow         int        // connections accepted over MaxClients until the reducer closes others
	MaxLingering           int        // of AcceptOverflow, in lingering close: write side closed, read to the end
	MaxReservedDescriptors int        // closed descriptors whose numbers stay reserved for a short time
	MaxLoginBytes          int        // size of a packet before the login
	MaxStatementBytes      int        // size of a packet after the login
	ClientSendBuffer       int        // bytes buffered for a client that does not read
	UnsentBytes            int        // bytes of a stored result that the operating system holds before it sends them
	MaxInputBytes          int        // statements of all open requests; the same bound holds for all incomplete packets
	MaxRequests            int        // open requests
	FormerRequests         int        // requests that were sent to engines and have ended, remembered by ID
	LoginTimeout           rules.Time // from connecting to the first command, and from a packet's first byte to its last
	ClientIdleTimeout      rules.Time // without a request, until the connection is closed
	MaxSessionErrors       int        // invalid commands of a session until it is closed
	AdmissionStateBytes    int        // size of admission control's state about principals
	MaxTimeoutFactor       rules.Time // a client's timeout over this multiple of its class's is a mistake
	MaxNetworkMargin       rules.Time // upper bound of the margin subtracted from a client's timeout for network latency
	NetworkMarginDivisor   rules.Time // the margin is at most the client's timeout divided by this

	// Engines.
	MaxEngineConns     int // connections to one engine
	MaxConns           int // connections to all engines
	Multiplex          int // concurrent requests on one connection
	MaxLineBytes       int // size of the first line of an answer
	MaxPageBytes       int
	MaxPages           int // pages of a result
	MaxResultBytes     int
	EngineSendBuffer   int // bytes buffered for an engine that does not read
	EngineOutputBytes  int // bytes buffered for all engines that do not read
	ResultBufferBytes  int // size of all results whose last page has not arrived, or that clients have not read
	EngineIdleTimeout  rules.Time
	AnswerStallTimeout rules.Time // without a further byte of an incomplete answer, until its connection is closed
	ConnectTimeout     rules.Time
	ProbeTimeout       rules.Time

	// The name service.
	PollInterval     rules.Time
	MaxDatagramBytes int
	MaxListDelay     rules.Time // after this time every announcement of the name service counts as received
	ResolverTimeout  rules.Time // without an answer, until the name service is queried from a new socket

	// The process.
	FreeBufferBytes    int        // empty output buffers kept for reuse
	LogBufferBytes     int        // log lines not yet written to standard error
	EventQueueBytes    int        // events queued for the reducer until reading from sockets stops
	StallThreshold     rules.Time // delay of the reducer's timer from which on the process counts as stalled
	SettleTime         rules.Time // after a stall nothing is sent until clients have been silent for this time
	MaxSettleTime      rules.Time // largest extension of SettleTime or LongSettleTime by input from clients
	LongStallThreshold rules.Time // duration from which a stall counts as long
	LongSettleTime     rules.Time // SettleTime after a long stall
	MinBatchInterval   rules.Time // between two batches of the reducer
	StatsInterval      rules.Time // between log lines with counts
	SweepInterval      rules.Time // between two checks of all connections
	ShutdownTimeout    rules.Time // after SIGTERM, until every request must be answered
	MinDrainPeriod     rules.Time // after SIGTERM, while connections are still accepted
	FlushTimeout       rules.Time // for sending the last bytes of a connection, and for the peer to close it
}

// formerRequestShare is how many bytes of the process's memory there are for each former request, of some 150 bytes.
const formerRequestShare = 16 << 10

const (
	bytesPerMB          = 1 << 20
	minMemoryMB         = 32
	minSockets          = 64
	reservedDescriptors = 32 // standard streams, poller, name service, dials
)

// deriveLimits derives the limits from the machine's cores, memory and descriptors, and from the settings.
func deriveLimits(cores, memoryMB float64, sockets int, s settings.Settings) (Limits, error) {
	switch {
	case cores <= 0:
		return Limits{}, errors.New("limits: cores must be greater than 0")
	case memoryMB < minMemoryMB:
		return Limits{}, fmt.Errorf("limits: memory_mb is %v, must be at least %d", memoryMB, minMemoryMB)
	case sockets < minSockets:
		return Limits{}, fmt.Errorf("limits: sockets is %d, must be at least %d", sockets, minSockets)
	}
	memory := int64(memoryMB * bytesPerMB)
	l := Limits{ProcessBytes: memory, MemoryBytes: min(memory*6/10, memory-programBytes), Sockets: sockets}
	l.divideMemory(0)
	l.setClients(memory, s)
	l.setEngines(memory, s)
	l.setNameService()
	l.setProcess(memory, s)
	return l, nil
}

const (
	// programBytes is what the process occupies outside of the Go runtime's memory: pages of the program's file, of which
	// nearly all are in use under load, the C library's, and the stacks of threads.
	programBytes = 16 * bytesPerMB
	// fixedBytes is the heap of a gateway of the smallest size without any input, but with all its connections.
	fixedBytes = 8 * bytesPerMB
	// liveDivisor is the quotient of the runtime's memory and what of it may be in use: as much again is garbage when the
	// collector ends a cycle.
	liveDivisor = 2
)

// minBudget is the least memory that is left to input: a few messages of the largest size for each owner.
const minBudget = 2 * bytesPerMB

// divideMemory divides the memory that input may take among its owners, beside the given memory of optional features.
// The rest of the runtime's memory is left to garbage, the event queue, the log, and state whose size follows from other
// limits.
func (l *Limits) divideMemory(features int64) {
	budget := int(max(minBudget, (l.MemoryBytes-fixedBytes-features)/liveDivisor))
	l.MaxInputBytes = budget / 4 // and the same again for incomplete packets
	l.ResultBufferBytes = budget * 3 / 8
	l.EngineOutputBytes = budget / 8
	l.FreeBufferBytes = budget / 16
}

// keepMemoryShares sets the limits that divideMemory sets to those of another configuration.
func (l *Limits) keepMemoryShares(from *Limits) {
	l.MaxInputBytes, l.ResultBufferBytes = from.MaxInputBytes, from.ResultBufferBytes
	l.EngineOutputBytes, l.FreeBufferBytes = from.EngineOutputBytes, from.FreeBufferBytes
}

// connectionDescriptors returns how many descriptors connections may use.
func (l *Limits) connectionDescriptors() int { return l.Sockets - reservedDescriptors }

func (l *Limits) setClients(memory int64, s settings.Settings) {
	l.MaxClients = l.connectionDescriptors() / 2
	l.ClientQuota = l.Sockets / 3
	l.AcceptOverflow = reservedDescriptors / 2
	l.MaxLingering = reservedDescriptors / 4
	l.MaxReservedDescriptors = reservedDescriptors / 8
	l.MaxLoginBytes = 4096
	l.MaxStatementBytes = 64 << 10 // observed statements have a few hundred bytes
	l.ClientSendBuffer = 128 << 10 // two results
	l.UnsentBytes = 16 << 10       // half a chunk of the result store
	l.MaxRequests = l.connectionDescriptors() / 2
	l.FormerRequests = int(memory / formerRequestShare)
	l.LoginTimeout = 2200 * rules.Millisecond
	l.ClientIdleTimeout = 4600 * rules.Millisecond // clients keep idle connections for 4 s
	l.MaxSessionErrors = 16
	l.AdmissionStateBytes = int(memory / 32)
	l.MaxTimeoutFactor = 10
	l.MaxNetworkMargin = 200 * rules.Millisecond
	l.NetworkMarginDivisor = 5
	if limit := s.Rules.Limits.MaxOpenRequests; limit > 0 {
		l.MaxRequests = min(l.MaxRequests, limit)
	}
}

func (l *Limits) setEngines(memory int64, s settings.Settings) {
	l.MaxEngineConns = 32
	l.MaxConns = l.connectionDescriptors() / 3
	l.Multiplex = max(s.Multiplex, 1)
	l.MaxLineBytes = 1024
	l.MaxPageBytes = 8 << 10
	l.MaxPages = 256
	l.MaxResultBytes = 64 << 10
	l.EngineSendBuffer = int(memory / 32)
	l.AnswerStallTimeout = 300 * rules.Millisecond
	l.EngineIdleTimeout = max(s.EngineIdleTimeout-2*rules.Second, s.EngineIdleTimeout/2) // before the engine closes it
	if s.EngineIdleTimeout <= 0 {
		l.EngineIdleTimeout = 60 * rules.Second // the settings have no time after which engines close idle connections
	}
	l.ConnectTimeout = s.Rules.Limits.ConnectTimeout
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = rules.Second
	}
	l.ProbeTimeout = l.ConnectTimeout
}

func (l *Limits) setNameService() {
	l.PollInterval = 100 * rules.Millisecond
	l.MaxDatagramBytes = 9000
	l.MaxListDelay = 7 * rules.Second
	l.ResolverTimeout = rules.Second
}

func (l *Limits) setProcess(memory int64, s settings.Settings) {
	l.LogBufferBytes = int(memory / 256)
	l.EventQueueBytes = int(min(memory/128, bytesPerMB)) // about the size of a batch that the reducer handles
	l.StallThreshold = 30 * rules.Millisecond
	l.SettleTime = 20 * rules.Millisecond
	l.MaxSettleTime = 40 * rules.Millisecond
	l.LongStallThreshold = 100 * rules.Millisecond
	l.LongSettleTime = 120 * rules.Millisecond
	l.MinBatchInterval = 2 * rules.Millisecond
	l.StatsInterval = 10 * rules.Second
	l.SweepInterval = 200 * rules.Millisecond
	l.MinDrainPeriod = 900 * rules.Millisecond
	l.FlushTimeout = 300 * rules.Millisecond
	l.ShutdownTimeout = 3 * rules.Second
	maxClientTimeout := rules.Time(0)
	for _, c := range s.Rules.Classes {
		maxClientTimeout = max(maxClientTimeout, c.ClientTimeout)
	}
	if maxClientTimeout > 0 { // otherwise no class has a client timeout
		l.ShutdownTimeout = min(l.ShutdownTimeout, maxClientTimeout)
	}
	l.ShutdownTimeout += l.FlushTimeout
}
