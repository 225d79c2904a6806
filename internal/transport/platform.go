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

// This file defines the server's interface to the operating system. Tests substitute platforms that inject system
// faults; the released program always uses System.

// Reducer is the gateway's state machine. Step applies an event at a time; Flush returns the effects to execute.
type Reducer interface {
	Step(now rules.Time, event gateway.Event)
	Flush() []gateway.Effect
}

// Folder is a folder that stores results. It is locked for this process until Close.
type Folder interface {
	disk.FS
	Close() error
}

// VoterLog persists the state that a voter on directives has promised to keep.
type VoterLog interface {
	Persist(batch directives.Batch) error
	Repair() error // must succeed after a failed Persist before Persist is called again
	Close()
}

// Platform provides the clock, the sockets, the file system and the reducer of a gateway.
type Platform struct {
	Clock        Clock
	Listen       func(addr string) (net.Listener, error)
	Dial         func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	DialUDP      func(addr netip.AddrPort) (net.Conn, error)
	OpenFolder   func(path string) (Folder, error)
	OpenVoterLog func(path string) (VoterLog, directives.PersistedState, error)
	Reducer      func(cfg config.Config, now rules.Time) Reducer
}

// System returns the platform of the operating system.
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
			log, state, err := wal.Open(path)
			if err != nil {
				return nil, state, err
			}
			return log, state, nil
		},
		Reducer: func(cfg config.Config, now rules.Time) Reducer { return gateway.New(cfg, now) },
	}
}

// dialTCP dials through the standard library, which distinguishes a refused connection from a timeout.
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
