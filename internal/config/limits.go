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

	// Clients.
	Clients     int        // connections
	ClientShare int        // of these, what clients use at most, one request on each at a time
	AcceptAhead int        // connections accepted over Clients before the reducer has closed others
	Lingering   int        // of these, connections that were closed and are read to their end
	Plugs       int        // numbers of closed descriptors that are held for a moment
	Login       int        // bytes of a packet before the login
	Statement   int        // bytes of a packet behind it
	ClientOut   int        // bytes that wait for a client that does not read
	InputBytes  int        // of all clients' statements, open and unfinished
	Requests    int        // open
	LoginWithin rules.Time // of connecting: the login and a first command; of its first byte: a packet
	IdleFor     rules.Time
	Faults      int        // commands of a session that can't be used, before it is closed
	DoorState   int        // bytes that remember who had how much of the door
	Patience    rules.Time // of a client, in times of its class's deadline: more is no figure of a client's
	WayMost     rules.Time // allowed for the ways between client and gateway, at most
	WayPart     rules.Time // and this part of the client's patience, as a divisor

	// Engines.
	Links       int // connections to one engine
	AllLinks    int // connections to all
	Multiplex   int // requests on one connection
	Line        int // bytes of an answer's line
	Page        int // bytes of a page
	Pages       int // of a result
	Result      int // bytes of a result
	LinkOut     int // bytes that wait for an engine that does not read
	ResultBytes int // of all results that wait for their last page
	LinkIdle    rules.Time
	AnswerWhole rules.Time // from when an answer's bytes stop coming until its connection is ended
	Connect     rules.Time
	ProbeWithin rules.Time

	// The name service.
	PollEvery  rules.Time
	Datagram   int
	ListTold   rules.Time // after it everything that the name service has to tell counts as told
	ListSilent rules.Time // of the name service until it is asked from a new socket

	// Life.
	LogBytes    int        // of lines that wait for whoever reads the log
	Mailbox     int        // bytes that wait for the reducer before reading stops
	Arena       int        // of these, the room kept for the next turn
	StallFrom   rules.Time // how late the reducer's timers are behind a stall of the process
	SettleFor   rules.Time // nothing is sent behind a stall until clients have said nothing for so long
	SettleMost  rules.Time // and at most for so long more
	StallLong   rules.Time // from which a stall is long
	SettleLong  rules.Time // and what SettleFor is then
	Turn        rules.Time // least time between two turns of the reducer
	StatsEvery  rules.Time // between lines that count what was done
	Sweep       rules.Time // how often connections are looked over
	StopWithin  rules.Time // after SIGTERM all is answered
	StopLinger  rules.Time // and connections are taken for at least this
	FlushWithin rules.Time // how long the last bytes may take, and the other side to close behind them
}

const (
	mb        = 1 << 20
	minMemory = 32 // MB
	minFDs    = 64
	reserve   = 32 // descriptors: standard streams, poller, name service, dials
)

func newLimits(cores, memoryMB float64, sockets int, s settings.Settings) (Limits, error) {
	switch {
	case cores <= 0:
		return Limits{}, errors.New("limits: cores must be over 0")
	case memoryMB < minMemory:
		return Limits{}, fmt.Errorf("limits: memory_mb is %v, at least %d is needed", memoryMB, minMemory)
	case sockets < minFDs:
		return Limits{}, fmt.Errorf("limits: sockets is %d, at least %d is needed", sockets, minFDs)
	}
	memory := int64(memoryMB * mb)
	free := sockets - reserve
	l := Limits{
		MemoryBytes: memory * 6 / 10,
		Sockets:     sockets,
		Clients:     free / 2,
		ClientShare: sockets / 3,
		AcceptAhead: reserve / 2,
		Lingering:   reserve / 4,
		Plugs:       reserve / 8,
		Login:       4096,
		Statement:   64 << 10,        // those seen are a few hundred bytes
		ClientOut:   128 << 10,       // two results
		InputBytes:  int(memory / 8), // and as much for packets that are not whole yet
		Requests:    free / 2,
		LoginWithin: 2200 * rules.Millisecond,
		IdleFor:     4600 * rules.Millisecond, // clients leave idle connections after 4 s
		Faults:      16,
		DoorState:   int(memory / 32),
		Patience:    10,
		WayMost:     200 * rules.Millisecond,
		WayPart:     5,
		Links:       32,
		AllLinks:    free / 3,
		Multiplex:   max(s.Multiplex, 1),
		Line:        1024,
		Page:        8 << 10,
		Pages:       256,
		Result:      64 << 10,
		ResultBytes: int(memory / 8),
		LinkOut:     int(memory / 32),
		AnswerWhole: 300 * rules.Millisecond,
		LinkIdle:    max(s.ConnIdle-2*rules.Second, s.ConnIdle/2),
		Connect:     s.Rules.Limits.ConnectTimeout,
		ProbeWithin: s.Rules.Limits.ConnectTimeout,
		PollEvery:   100 * rules.Millisecond,
		ListTold:    7 * rules.Second,
		ListSilent:  rules.Second,
		Datagram:    9000,
		LogBytes:    int(memory / 256),
		Mailbox:     int(min(memory/32, mb)), // what one turn of the reducer works off
		Arena:       int(memory / 256),
		StallFrom:   30 * rules.Millisecond,
		SettleFor:   20 * rules.Millisecond,
		SettleMost:  40 * rules.Millisecond,
		StallLong:   100 * rules.Millisecond,
		SettleLong:  120 * rules.Millisecond,
		Turn:        2 * rules.Millisecond,
		StatsEvery:  10 * rules.Second,
		Sweep:       200 * rules.Millisecond,
		StopWithin:  3 * rules.Second,
		StopLinger:  900 * rules.Millisecond,
		FlushWithin: 300 * rules.Millisecond,
	}
	if s.ConnIdle <= 0 {
		l.LinkIdle = 60 * rules.Second // engines are not said to close idle connections
	}
	if most := s.Rules.Limits.MaxOpenRequests; most > 0 {
		l.Requests = min(l.Requests, most)
	}
	if l.Connect <= 0 {
		l.Connect = rules.Second
		l.ProbeWithin = rules.Second
	}
	longest := rules.Time(0)
	for _, c := range s.Rules.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	if longest > 0 { // else no class names how long its clients wait
		l.StopWithin = min(l.StopWithin, longest)
	}
	l.StopWithin += l.FlushWithin
	return l, nil
}
