package config

import (
	"errors"
	"fmt"

	"foxlane/internal/settings"
	"foxlane/rules"
)

// Limits are the sizes, counts and times that bound a gateway on sockets. They
// are derived once, at the start, from the machine and the settings. Everything
// that can grow is bounded by one of them.
type Limits struct {
	// The machine.
	MemoryBytes int64 // soft limit of Go's collector
	Sockets     int   // descriptors that the process may open

	// Clients.
	MaxClients             int        // connections
	ClientQuota            int        // of these, connections that clients use at most, with one request each at a time
	AcceptOverflow         int        // connections accepted over MaxClients before the reducer has closed others
	MaxLingering           int        // of these, connections in lingering close: closed for writing, and read to their end
	MaxReservedDescriptors int        // numbers of closed descriptors that are kept reserved for a moment
	MaxLoginBytes          int        // of a packet before the login
	MaxStatementBytes      int        // of a packet after it
	ClientSendBuffer       int        // bytes that wait for a client that does not read
	MaxInputBytes          int        // of all clients' statements: of open requests, and of incomplete packets
	MaxRequests            int        // open
	LoginTimeout           rules.Time // from connecting to the first command, and from a packet's first byte to its last
	ClientIdleTimeout      rules.Time
	MaxSessionErrors       int        // unusable commands of a session before it is closed
	AdmissionStateBytes    int        // of what admission control remembers about principals
	MaxTimeoutFactor       rules.Time // a client's timeout may be this many times that of its class; a longer one is a mistake
	MaxNetworkMargin       rules.Time // subtracted from a client's timeout for the time on the network, at most
	NetworkMarginDivisor   rules.Time // the margin is at most this part of the client's timeout

	// Engines.
	MaxEngineConns     int // connections to one engine
	MaxConns           int // connections to all engines
	Multiplex          int // requests on one connection
	MaxLineBytes       int // of the first line of an answer
	MaxPageBytes       int
	MaxPages           int // of a result
	MaxResultBytes     int
	EngineSendBuffer   int // bytes that wait for an engine that does not read
	ResultBufferBytes  int // of all results whose last page has not arrived
	EngineIdleTimeout  rules.Time
	AnswerStallTimeout rules.Time // without a further byte of an incomplete answer, until its connection is closed
	ConnectTimeout     rules.Time
	ProbeTimeout       rules.Time

	// The name service.
	PollInterval     rules.Time
	MaxDatagramBytes int
	MaxListDelay     rules.Time // after it, all that the name service has announced counts as received
	ResolverTimeout  rules.Time // without an answer, until the name service is asked from a new socket

	// The process.
	LogBufferBytes     int        // of lines that the reader of the log has not taken
	EventQueueBytes    int        // of events that wait for the reducer before reading stops
	EventBufferBytes   int        // of these, memory kept for the next batch
	StallThreshold     rules.Time // delay of the reducer's timer from which on the process counts as stalled
	SettleTime         rules.Time // after a stall nothing is sent until clients were silent for this long
	MaxSettleTime      rules.Time // by which clients can prolong that
	LongStallThreshold rules.Time // from which a stall is long
	LongSettleTime     rules.Time // SettleTime after a long stall
	MinBatchInterval   rules.Time // between two batches of the reducer
	StatsInterval      rules.Time // between log lines with counts
	SweepInterval      rules.Time // between two checks of all connections
	ShutdownTimeout    rules.Time // after SIGTERM, until every request is answered
	MinDrainPeriod     rules.Time // after SIGTERM, for which connections are still accepted
	FlushTimeout       rules.Time // for the last bytes of a connection, and for the peer to close it
}

const (
	bytesPerMB          = 1 << 20
	minMemoryMB         = 32
	minSockets          = 64
	reservedDescriptors = 32 // standard streams, poller, name service, dials
)

// deriveLimits derives the limits from the machine's and from the settings.
func deriveLimits(cores, memoryMB float64, sockets int, s settings.Settings) (Limits, error) {
	switch {
	case cores <= 0:
		return Limits{}, errors.New("limits: cores must be over 0")
	case memoryMB < minMemoryMB:
		return Limits{}, fmt.Errorf("limits: memory_mb is %v, at least %d is needed", memoryMB, minMemoryMB)
	case sockets < minSockets:
		return Limits{}, fmt.Errorf("limits: sockets is %d, at least %d is needed", sockets, minSockets)
	}
	memory := int64(memoryMB * bytesPerMB)
	l := Limits{MemoryBytes: memory * 6 / 10, Sockets: sockets}
	l.setClients(memory, s)
	l.setEngines(memory, s)
	l.setNameService()
	l.setProcess(memory, s)
	return l, nil
}

// available is how many descriptors connections may take.
func (l *Limits) available() int { return l.Sockets - reservedDescriptors }

func (l *Limits) setClients(memory int64, s settings.Settings) {
	l.MaxClients = l.available() / 2
	l.ClientQuota = l.Sockets / 3
	l.AcceptOverflow = reservedDescriptors / 2
	l.MaxLingering = reservedDescriptors / 4
	l.MaxReservedDescriptors = reservedDescriptors / 8
	l.MaxLoginBytes = 4096
	l.MaxStatementBytes = 64 << 10    // statements seen have a few hundred bytes
	l.ClientSendBuffer = 128 << 10    // two results
	l.MaxInputBytes = int(memory / 8) // and as much for incomplete packets
	l.MaxRequests = l.available() / 2
	l.LoginTimeout = 2200 * rules.Millisecond
	l.ClientIdleTimeout = 4600 * rules.Millisecond // clients leave idle connections after 4 s
	l.MaxSessionErrors = 16
	l.AdmissionStateBytes = int(memory / 32)
	l.MaxTimeoutFactor = 10
	l.MaxNetworkMargin = 200 * rules.Millisecond
	l.NetworkMarginDivisor = 5
	if most := s.Rules.Limits.MaxOpenRequests; most > 0 {
		l.MaxRequests = min(l.MaxRequests, most)
	}
}

func (l *Limits) setEngines(memory int64, s settings.Settings) {
	l.MaxEngineConns = 32
	l.MaxConns = l.available() / 3
	l.Multiplex = max(s.Multiplex, 1)
	l.MaxLineBytes = 1024
	l.MaxPageBytes = 8 << 10
	l.MaxPages = 256
	l.MaxResultBytes = 64 << 10
	l.EngineSendBuffer = int(memory / 32)
	l.ResultBufferBytes = int(memory / 8)
	l.AnswerStallTimeout = 300 * rules.Millisecond
	l.EngineIdleTimeout = max(s.EngineIdleTimeout-2*rules.Second, s.EngineIdleTimeout/2) // before the engine closes them
	if s.EngineIdleTimeout <= 0 {
		l.EngineIdleTimeout = 60 * rules.Second // the settings do not say that engines close idle connections
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
	l.EventQueueBytes = int(min(memory/32, bytesPerMB)) // about what the reducer handles in a batch
	l.EventBufferBytes = int(memory / 256)
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
	longest := rules.Time(0)
	for _, c := range s.Rules.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	if longest > 0 { // else no class says how long its clients wait
		l.ShutdownTimeout = min(l.ShutdownTimeout, longest)
	}
	l.ShutdownTimeout += l.FlushTimeout
}
