package config

import (
	"errors"
	"fmt"

	"foxlane/internal/settings"
	"foxlane/rules"
)

// Limits are all sizes, counts and times that bound a gateway on sockets. They
// are derived once, at the start, from what the machine allows; everything
// that could grow is held under one of them.
type Limits struct {
	// The machine.
	MemoryBytes int64 // that Go's collector aims to stay under
	Sockets     int   // descriptors, of which it keeps a reserve

	// MaxClients.
	MaxClients             int        // connections
	ClientQuota            int        // of these, what clients use at most, one request on each at a time
	AcceptOverflow         int        // connections accepted over Clients before the reducer has closed others
	MaxLingering           int        // of these, connections that were closed and are read to their end
	MaxReservedDescriptors int        // numbers of closed descriptors that are held for a moment
	MaxLoginBytes          int        // bytes of a packet before the login
	MaxStatementBytes      int        // bytes of a packet behind it
	ClientSendBuffer       int        // bytes that wait for a client that does not read
	MaxInputBytes          int        // of all clients' statements, open and unfinished
	MaxRequests            int        // open
	LoginTimeout           rules.Time // of connecting: the login and a first command; of its first byte: a packet
	ClientIdleTimeout      rules.Time
	MaxSessionErrors       int        // commands of a session that can't be used, before it is closed
	AdmissionStateBytes    int        // bytes that remember who had how much of the door
	MaxTimeoutFactor       rules.Time // of a client, in times of its class's deadline: more is no figure of a client's
	MaxNetworkMargin       rules.Time // allowed for the ways between client and gateway, at most
	NetworkMarginDivisor   rules.Time // and this part of the client's patience, as a divisor

	// Engines.
	MaxEngineConns     int // connections to one engine
	MaxConns           int // connections to all
	Multiplex          int // requests on one connection
	MaxLineBytes       int // bytes of an answer's line
	MaxPageBytes       int // bytes of a page
	MaxPages           int // of a result
	MaxResultBytes     int // bytes of a result
	EngineSendBuffer   int // bytes that wait for an engine that does not read
	ResultBufferBytes  int // of all results that wait for their last page
	EngineIdleTimeout  rules.Time
	AnswerStallTimeout rules.Time // from when an answer's bytes stop coming until its connection is ended
	ConnectTimeout     rules.Time
	ProbeTimeout       rules.Time

	// The name service.
	PollInterval     rules.Time
	MaxDatagramBytes int
	MaxListDelay     rules.Time // after it everything that the name service has to tell counts as told
	ResolverTimeout  rules.Time // of the name service until it is asked from a new socket

	// Life.
	LogBufferBytes     int        // of lines that wait for whoever reads the log
	EventQueueBytes    int        // bytes that wait for the reducer before reading stops
	EventBufferBytes   int        // of these, the room kept for the next turn
	StallThreshold     rules.Time // how late the reducer's timers are behind a stall of the process
	SettleTime         rules.Time // nothing is sent behind a stall until clients have said nothing for so long
	MaxSettleTime      rules.Time // and at most for so long more
	LongStallThreshold rules.Time // from which a stall is long
	LongSettleTime     rules.Time // and what SettleFor is then
	MinBatchInterval   rules.Time // least time between two turns of the reducer
	StatsInterval      rules.Time // between lines that count what was done
	SweepInterval      rules.Time // how often connections are looked over
	ShutdownTimeout    rules.Time // after SIGTERM all is answered
	MinDrainPeriod     rules.Time // and connections are taken for at least this
	FlushTimeout       rules.Time // how long the last bytes may take, and the other side to close behind them
}

const (
	bytesPerMB          = 1 << 20
	minMemoryMB         = 32 // MB
	minSockets          = 64
	reservedDescriptors = 32 // descriptors: standard streams, poller, name service, dials
)

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
	free := sockets - reservedDescriptors
	l := Limits{
		MemoryBytes:            memory * 6 / 10,
		Sockets:                sockets,
		MaxClients:             free / 2,
		ClientQuota:            sockets / 3,
		AcceptOverflow:         reservedDescriptors / 2,
		MaxLingering:           reservedDescriptors / 4,
		MaxReservedDescriptors: reservedDescriptors / 8,
		MaxLoginBytes:          4096,
		MaxStatementBytes:      64 << 10,        // those seen are a few hundred bytes
		ClientSendBuffer:       128 << 10,       // two results
		MaxInputBytes:          int(memory / 8), // and as much for packets that are not whole yet
		MaxRequests:            free / 2,
		LoginTimeout:           2200 * rules.Millisecond,
		ClientIdleTimeout:      4600 * rules.Millisecond, // clients leave idle connections after 4 s
		MaxSessionErrors:       16,
		AdmissionStateBytes:    int(memory / 32),
		MaxTimeoutFactor:       10,
		MaxNetworkMargin:       200 * rules.Millisecond,
		NetworkMarginDivisor:   5,
		MaxEngineConns:         32,
		MaxConns:               free / 3,
		Multiplex:              max(s.Multiplex, 1),
		MaxLineBytes:           1024,
		MaxPageBytes:           8 << 10,
		MaxPages:               256,
		MaxResultBytes:         64 << 10,
		ResultBufferBytes:      int(memory / 8),
		EngineSendBuffer:       int(memory / 32),
		AnswerStallTimeout:     300 * rules.Millisecond,
		EngineIdleTimeout:      max(s.EngineIdleTimeout-2*rules.Second, s.EngineIdleTimeout/2),
		ConnectTimeout:         s.Rules.Limits.ConnectTimeout,
		ProbeTimeout:           s.Rules.Limits.ConnectTimeout,
		PollInterval:           100 * rules.Millisecond,
		MaxListDelay:           7 * rules.Second,
		ResolverTimeout:        rules.Second,
		MaxDatagramBytes:       9000,
		LogBufferBytes:         int(memory / 256),
		EventQueueBytes:        int(min(memory/32, bytesPerMB)), // what one turn of the reducer works off
		EventBufferBytes:       int(memory / 256),
		StallThreshold:         30 * rules.Millisecond,
		SettleTime:             20 * rules.Millisecond,
		MaxSettleTime:          40 * rules.Millisecond,
		LongStallThreshold:     100 * rules.Millisecond,
		LongSettleTime:         120 * rules.Millisecond,
		MinBatchInterval:       2 * rules.Millisecond,
		StatsInterval:          10 * rules.Second,
		SweepInterval:          200 * rules.Millisecond,
		ShutdownTimeout:        3 * rules.Second,
		MinDrainPeriod:         900 * rules.Millisecond,
		FlushTimeout:           300 * rules.Millisecond,
	}
	if s.EngineIdleTimeout <= 0 {
		l.EngineIdleTimeout = 60 * rules.Second // engines are not said to close idle connections
	}
	if most := s.Rules.Limits.MaxOpenRequests; most > 0 {
		l.MaxRequests = min(l.MaxRequests, most)
	}
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = rules.Second
		l.ProbeTimeout = rules.Second
	}
	longest := rules.Time(0)
	for _, c := range s.Rules.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	if longest > 0 { // else no class names how long its clients wait
		l.ShutdownTimeout = min(l.ShutdownTimeout, longest)
	}
	l.ShutdownTimeout += l.FlushTimeout
	return l, nil
}
