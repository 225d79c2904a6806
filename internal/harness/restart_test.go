package harness

import (
	"bytes"
	"context"
	"database/sql"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	_ "github.com/go-sql-driver/mysql"
)

// silentConfig returns the configuration of a gateway with one engine. The engine and the name server may be silent.
func silentConfig(name, listen, dns, engine string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"01","limits":{"cores":0.1,"memory_mb":32,"sockets":256},"dns":%q,
"known":{"seq":1,"results":[{"seq":1,"fleet":{"version":1,"full":true,"servers":[
 {"id":"s-1","addr":%q,"zone":"a","kind":"std","state":"active","weight":4}]}}]},
"settings":{"classes":[{"name":"point","aim":200000,"giveUp":1500000,"effect":"pure","group":"all","worth":1}],
 "limits":{"cancel":true,"connectTimeout":250000,"maxAttempts":3,"multiplex":8,"parallelTries":true},"machineTypes":["std"],
 "membershipMode":"push","siblings":30,"tick":1000,"zones":["a"]}}`, name, listen, dns, engine)
}

// Thirty processes start at once on one core, with a silent engine and name server, and with clients that connect
// before they are ready. Nine in ten must answer a ping within 10 s, and none may exit. A SIGTERM after a burst of
// SIGHUPs must not get lost: each process then exits with code 0.
func TestConcurrentStarts(t *testing.T) {
	const n, readyLimit = 30, 10 * time.Second
	silentServer, err := net.ListenPacket("udp", "127.0.0.1:0") // receives queries and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silentServer.Close() }()
	dir := t.TempDir()
	type process struct {
		cmd   *exec.Cmd
		log   bytes.Buffer
		ready time.Duration // from the first start until a ping succeeded; 0: none did
	}
	processes := make([]*process, n)
	began := time.Now()
	var wg sync.WaitGroup
	for i := range processes {
		listen, err := unusedAddr(i)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, fmt.Sprintf("n%d.json", i))
		if err := os.WriteFile(path, []byte(silentConfig(fmt.Sprint("n", i), listen, silentServer.LocalAddr().String(), "127.255.255.1:1")), 0o600); err != nil {
			t.Fatal(err)
		}
		p := &process{cmd: exec.Command(gatewayProgram, "serve")}
		p.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME=", "LB_LISTEN=")
		p.cmd.Stderr = &p.log
		processes[i] = p
		if err := startOnCore(p.cmd, 0); err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			db, err := sql.Open("mysql", "app@tcp("+listen+")/main?timeout=1s&readTimeout=2s")
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = db.Close() }()
			for time.Since(began) < 2*readyLimit {
				// A client that sends only part of a login.
				if halfLogin, err := net.DialTimeout("tcp", listen, time.Second); err == nil {
					_, _ = halfLogin.Write([]byte{60, 0, 0, 1, 3})
					_ = halfLogin.Close()
				}
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				err := db.PingContext(ctx)
				cancel()
				if err == nil {
					p.ready = time.Since(began)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	ready, worst := 0, time.Duration(0)
	for _, p := range processes {
		if p.ready > 0 && p.ready <= readyLimit {
			ready++
		}
		worst = max(worst, p.ready)
	}
	t.Logf("%d of %d processes ready within %v, the last one after %v", ready, n, readyLimit, worst)
	if ready < n*9/10 {
		t.Errorf("%d of %d processes ready within %v, want nine in ten", ready, n, readyLimit)
	}
	for i, p := range processes {
		for range 20 {
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Errorf("n%d had exited by itself: %s", i, p.log.String())
		}
	}
	for i, p := range processes {
		kill := time.AfterFunc(readyLimit, func() { _ = p.cmd.Process.Kill() })
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("n%d exited with %v: %.600s", i, err, p.log.String())
		}
		kill.Stop()
	}
}
