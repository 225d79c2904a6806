package transport

import (
	"context"
	"net"
	"net/netip"
	"time"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/directives/wal"
	"foxlane/internal/gateway"
	"foxlane/internal/spool/disk"
	"foxlane/rules"
)

// This file has what the server takes from the system it runs on. Tests put doubles in its place that fail as systems
// do; the released program has no way to choose anything but System.

// Reducer is the gateway's state: events with their time go in, effects come out.
type Reducer interface {
	Step(now rules.Time, event gateway.Event)
	Flush() []gateway.Effect
}

// Folder is one in which results are kept, locked for this process until Close.
type Folder interface {
	disk.FS
	Close() error
}

// VoterLog persists what a voter on directives has promised.
type VoterLog interface {
	Persist(batch directives.Batch) error
	Repair() error // after Persist has failed, before the next call
	Close()
}

// Platform is the clock, the sockets, the file system and the reducer of a gateway.
type Platform struct {
	Clock        Clock
	Listen       func(addr string) (net.Listener, error)
	Dial         func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	DialUDP      func(addr netip.AddrPort) (net.Conn, error)
	OpenFolder   func(path string) (Folder, error)
	OpenVoterLog func(path string) (VoterLog, directives.PersistedState, error)
	Reducer      func(cfg config.Config, now rules.Time) Reducer
}

// System is the platform that the operating system gives.
func System() Platform {
	return Platform{
		Clock:   systemClock{time.Now()},
		Listen:  func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		Dial:    dialTCP,
		DialUDP: dialUDP,
		OpenFolder: func(path string) (Folder, error) {
			folder, err := disk.OpenFolder(path)
			if err != nil {
				return nil, err
			}
			return folder, nil
		},
		OpenVoterLog: func(path string) (VoterLog, directives.PersistedState, error) {
			log, kept, err := wal.Open(path)
			if err != nil {
				return nil, kept, err
			}
			return log, kept, nil
		},
		Reducer: func(cfg config.Config, now rules.Time) Reducer { return gateway.New(cfg, now) },
	}
}

// dialTCP connects by the standard library, which tells a refusal from a silence.
func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr.String())
}

func dialUDP(addr netip.AddrPort) (net.Conn, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return conn, nil
}
