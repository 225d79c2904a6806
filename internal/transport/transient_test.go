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

// smallLimits are those of a small machine.
const smallLimits = `{"cores":1,"memory_mb":64,"sockets":256}`

// A start at which socket calls fail for a moment goes on once they don't.
func TestStartRetriesTransientErrors(t *testing.T) {
	p := System()
	var listens, names transientFault
	listens.err, names.err = syscall.ENOBUFS, syscall.ENFILE
	listens.left.Store(3)
	names.left.Store(3)
	p.Listen = func(addr string) (net.Listener, error) {
		if err := listens.next(); err != nil {
			return nil, err
		}
		return System().Listen(addr)
	}
	p.DialUDP = func(addr netip.AddrPort) (net.Conn, error) {
		if err := names.next(); err != nil {
			return nil, err
		}
		return System().DialUDP(addr)
	}
	cfg := loopbackConfig(t, smallLimits)
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- RunOn(p, cfg, zap.NewNop(), Signals{Terminate: stop}) }()
	served := false
	for i := 0; i < 200 && !served; i++ {
		if c, err := net.DialTimeout("tcp", cfg.Listen.String(), time.Second); err == nil {
			served = true
			mustClose(t, c)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if !served {
		t.Error("the gateway does not listen 2 s after its start")
	}
	stop <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A dial that fails because this machine has no way out for a moment is tried again, and says nothing of the engine.
func TestDialRetriesTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN} {
		engine := listenLoopback(t)
		p := System()
		calls := transientFault{err: errno}
		calls.left.Store(2)
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
			t.Errorf("%v twice: %#v", errno, ev)
		}
		calls.left.Store(1 << 40)
		server.startDial(1<<63|2, addr, rules.Second)
		if ev, ok := server.awaitDialResult(t).(gateway.DialFailed); !ok || !ev.Local {
			t.Errorf("%v for long: failed %v, ours %v", errno, ok, ev.Local)
		}
	}
}

// The name service is asked again within moments where its socket could not be opened at a reload.
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
	calls.left.Store(4)
	server.execute(gateway.SetNameServer{Addr: netip.MustParseAddrPort(service.LocalAddr().String())})
	buf := make([]byte, 16)
	for range 4 { // polls
		server.execute(gateway.QueryDNS{Data: []byte("who is there")})
	}
	_ = service.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if n, _, err := service.ReadFrom(buf); err != nil || string(buf[:n]) != "who is there" {
		t.Errorf("the name service got %q, %v", buf[:n], err)
	}
}

// brokenLog is a voter's log that fails for a while.
type brokenLog struct {
	transientFault
	kept, repaired atomic.Int64
}

func (l *brokenLog) Persist(directives.Batch) error {
	if err := l.next(); err != nil {
		return err
	}
	l.kept.Add(1)
	return nil
}

func (l *brokenLog) Repair() error { l.repaired.Add(1); return nil }
func (l *brokenLog) Close()        {}

// A voter whose disk fails for a while goes on once it works again: the batch is persisted then, and not reported as failed.
func TestVoterDiskRetried(t *testing.T) {
	p := System()
	log := &brokenLog{transientFault: transientFault{err: syscall.EIO}}
	p.OpenVoterLog = func(string) (VoterLog, directives.PersistedState, error) {
		return log, directives.PersistedState{}, nil
	}
	server := newBareServerOn(t, p, smallLimits)
	server.cfg.Site = &site.Config{Members: &site.Members{}, Directives: &site.Directives{Voters: []string{server.cfg.Name}, LogFolder: t.TempDir()}}
	if err := server.openVoterLog(); err != nil {
		t.Fatal(err)
	}
	defer server.closeVoterLog()
	log.left.Store(3)
	server.persist(directives.Batch{})
	waitFor(t, "the batch to be kept", func() bool {
		events, _ := server.queue.drain(nil, nil)
		for _, ev := range events {
			if persisted, ok := ev.event.(gateway.VoterLogPersisted); ok {
				if persisted.Err != nil {
					t.Fatalf("told as %v", persisted.Err)
				}
				return true
			}
		}
		return false
	})
	if log.kept.Load() != 1 || log.repaired.Load() != 3 {
		t.Errorf("kept %d times, repaired %d times", log.kept.Load(), log.repaired.Load())
	}
}

// A start that fails behind the opening of the sockets ends with its error: it does not wait for loops of the sockets' library
// that were stopped ahead of their beginning, with clients that connect and hear nothing.
func TestFailedStartReturns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as the program has it
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
				t.Fatalf("ended with %v", err)
			}
		case <-time.After(3 * time.Second):
			t.Fatal("not ended 3 s after its start has failed")
		}
	}
}

var errDamaged = errors.New("damaged")

// The end of the process does not wait for members that do not answer.
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
