package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/directives"
	"foxlane/internal/gateway"
	"foxlane/internal/site"
	"foxlane/rules"
)

// smallLimits are the limits of a small machine.
const smallLimits = `{"cores":1,"memory_mb":64,"sockets":256}`

// A start during which socket calls fail transiently succeeds once the calls do.
func TestStartRetriesTransientErrors(t *testing.T) {
	p := System()
	var listens, dnsDials transientFault
	listens.err, dnsDials.err = syscall.ENOBUFS, syscall.ENFILE
	listens.remaining.Store(3)
	dnsDials.remaining.Store(3)
	p.Listen = func(addr string) (net.Listener, error) {
		if err := listens.next(); err != nil {
			return nil, err
		}
		return System().Listen(addr)
	}
	p.DialUDP = func(addr netip.AddrPort) (net.Conn, error) {
		if err := dnsDials.next(); err != nil {
			return nil, err
		}
		return System().DialUDP(addr)
	}
	cfg := loopbackConfig(t, smallLimits)
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- RunOn(p, cfg, zap.NewNop(), Signals{Terminate: stop}) }()
	listening := false
	for i := 0; i < 200 && !listening; i++ {
		if c, err := net.DialTimeout("tcp", cfg.Listen.String(), time.Second); err == nil {
			listening = true
			mustClose(t, c)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !listening {
		t.Error("the gateway does not listen 2 s after its start")
	}
	stop <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Errorf("Run returned %v", err)
	}
}

// A dial that fails for a transient local cause is retried. If it keeps failing, the error is reported as local.
func TestDialRetriesTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN} {
		engine := listenLoopback(t)
		p := System()
		calls := transientFault{err: errno}
		calls.remaining.Store(2)
		p.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			if err := calls.next(); err != nil {
				return nil, err
			}
			return System().Dial(ctx, addr)
		}
		server := newBareServerOn(t, p, smallLimits)
		addr := addrOf(engine)
		server.startDial(1<<63|1, addr, rules.Second)
		if ev := server.awaitDialResult(t); ev != gateway.Event(gateway.DialSucceeded{Conn: 1<<63 | 1}) {
			t.Errorf("%v for two calls: %#v", errno, ev)
		}
		calls.remaining.Store(1 << 40)
		server.startDial(1<<63|2, addr, rules.Second)
		if ev, ok := server.awaitDialResult(t).(gateway.DialFailed); !ok || !ev.Local {
			t.Errorf("%v for all calls: failed %v, local %v", errno, ok, ev.Local)
		}
	}
}

// If the socket to a new name service could not be opened at a reload, the next queries retry it.
func TestNameServiceSocketRetried(t *testing.T) {
	service, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, service)
	p := System()
	calls := transientFault{err: syscall.ENOBUFS}
	p.DialUDP = func(addr netip.AddrPort) (net.Conn, error) {
		if err := calls.next(); err != nil {
			return nil, err
		}
		return System().DialUDP(addr)
	}
	server := newBareServerOn(t, p, smallLimits)
	calls.remaining.Store(4)
	server.execute(gateway.SetNameServer{Addr: netip.MustParseAddrPort(service.LocalAddr().String())})
	buf := make([]byte, 16)
	for range 4 { // the first two fail to open the socket
		server.execute(gateway.QueryDNS{Data: []byte("who is there")})
	}
	_ = service.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if n, _, err := service.ReadFrom(buf); err != nil || string(buf[:n]) != "who is there" {
		t.Errorf("the name service got %q, %v", buf[:n], err)
	}
}

// failingVoterLog is a voter's log whose Persist fails a number of times.
type failingVoterLog struct {
	transientFault
	persisted, repairs atomic.Int64
}

func (l *failingVoterLog) Persist(directives.Batch) error {
	if err := l.next(); err != nil {
		return err
	}
	l.persisted.Add(1)
	return nil
}

func (l *failingVoterLog) Repair() error { l.repairs.Add(1); return nil }
func (l *failingVoterLog) Close()        {}

// A batch is persisted once the disk of a voter works again after failures, and is not reported as failed.
func TestVoterDiskRetried(t *testing.T) {
	p := System()
	log := &failingVoterLog{transientFault: transientFault{err: syscall.EIO}}
	p.OpenVoterLog = func(string) (VoterLog, directives.PersistedState, error) {
		return log, directives.PersistedState{}, nil
	}
	server := newBareServerOn(t, p, smallLimits)
	server.cfg.Site = &site.Config{Members: &site.Members{}, Directives: &site.Directives{Voters: []string{server.cfg.Name}, LogFolder: t.TempDir()}}
	if err := server.openVoterLog(); err != nil {
		t.Fatal(err)
	}
	defer server.closeVoterLog()
	log.remaining.Store(3)
	server.persist(directives.Batch{})
	waitFor(t, "the batch to be persisted", func() bool {
		events, _ := server.queue.drain(nil, nil)
		for _, ev := range events {
			if persisted, ok := ev.event.(gateway.VoterLogPersisted); ok {
				if persisted.Err != nil {
					t.Fatalf("reported as failed: %v", persisted.Err)
				}
				return true
			}
		}
		return false
	})
	if log.persisted.Load() != 1 || log.repairs.Load() != 3 {
		t.Errorf("persisted %d times, repaired %d times, want 1 and 3", log.persisted.Load(), log.repairs.Load())
	}
}

// A failed start returns its error. A step that failed after the sockets were open used to make the start hang: it
// waited for event loops of nbio that were stopped before they had begun, while clients could connect and got no
// answer.
func TestFailedStartReturns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as in the released program
	for range 20 {
		p := System()
		p.OpenVoterLog = func(string) (VoterLog, directives.PersistedState, error) {
			return nil, directives.PersistedState{}, errDamaged
		}
		cfg := loopbackConfig(t, smallLimits)
		cfg.Site = &site.Config{Members: &site.Members{}, Directives: &site.Directives{Voters: []string{cfg.Name}, LogFolder: t.TempDir()}}
		ended := make(chan error, 1)
		go func() { ended <- RunOn(p, cfg, zap.NewNop(), Signals{}) }()
		select {
		case err := <-ended:
			if !errors.Is(err, errDamaged) {
				t.Fatalf("Run returned %v", err)
			}
		case <-time.After(3 * time.Second):
			t.Fatal("still running 3 s after the start failed")
		}
	}
}

var errDamaged = errors.New("damaged")

// Shutdown waits only for a bounded time for members that do not answer.
func TestShutdownWaitsForMembersWithinBounds(t *testing.T) {
	server := newBareServerOn(t, System(), smallLimits)
	stopped := make(chan struct{})
	defer close(stopped)
	server.leaveWorkers.Go(func() { <-stopped })
	ended := make(chan struct{})
	go func() { server.awaitLeave(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(leaveTimeout + 2*time.Second):
		t.Errorf("still waiting after %v", leaveTimeout+2*time.Second)
	}
}
