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

// silentConfig is the configuration of a gateway with one engine, which may be silent like its name server.
func silentConfig(name, listen, dns, engine string) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"01","limits":{"cores":0.1,"memory_mb":32,"sockets":256},"dns":%q,
"known":{"seq":1,"results":[{"seq":1,"fleet":{"version":1,"full":true,"servers":[
 {"id":"s-1","addr":%q,"zone":"a","kind":"std","state":"active","weight":4}]}}]},
"settings":{"classes":[{"name":"point","aim":200000,"giveUp":1500000,"effect":"pure","group":"all","worth":1}],
 "limits":{"cancel":true,"connectTimeout":250000,"maxAttempts":3,"multiplex":8,"parallelTries":true},"machineTypes":["std"],
 "membershipMode":"push","siblings":30,"tick":1000,"zones":["a"]}}`, name, listen, dns, engine)
}

// Thirty processes start at once on one core, with a silent engine and name server, and clients that connect before they are
// ready: nine in ten answer a ping within 10 s, and none exits. A burst of SIGHUPs hides no SIGTERM: each then exits with code 0.
func TestThirtyStartAtOnce(t *testing.T) {
	const n, within = 30, 10 * time.Second
	dark, err := net.ListenPacket("udp", "127.0.0.1:0") // asked, and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dark.Close() }()
	dir := t.TempDir()
	type process struct {
		cmd   *exec.Cmd
		log   bytes.Buffer
		ready time.Duration // 0: never
	}
	all := make([]*process, n)
	began := time.Now()
	var wg sync.WaitGroup
	for i := range all {
		listen, err := unusedAddr(i)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, fmt.Sprintf("n%d.json", i))
		if err := os.WriteFile(path, []byte(silentConfig(fmt.Sprint("n", i), listen, dark.LocalAddr().String(), "127.255.255.1:1")), 0o600); err != nil {
			t.Fatal(err)
		}
		p := &process{cmd: exec.Command(gatewayProgram, "serve")}
		p.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME=", "LB_LISTEN=")
		p.cmd.Stderr = &p.log
		all[i] = p
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
			for time.Since(began) < 2*within {
				if half, err := net.DialTimeout("tcp", listen, time.Second); err == nil { // an early client that sends half a login
					_, _ = half.Write([]byte{60, 0, 0, 1, 3})
					_ = half.Close()
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
	for _, p := range all {
		if p.ready > 0 && p.ready <= within {
			ready++
		}
		worst = max(worst, p.ready)
	}
	t.Logf("%d of %d ready within %v, the last after %v", ready, n, within, worst)
	if ready < n*9/10 {
		t.Errorf("%d of %d ready within %v", ready, n, within)
	}
	for i, p := range all {
		for range 20 {
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Errorf("n%d had ended: %s", i, p.log.String())
		}
	}
	for i, p := range all {
		kill := time.AfterFunc(within, func() { _ = p.cmd.Process.Kill() })
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("n%d ended with %v: %.600s", i, err, p.log.String())
		}
		kill.Stop()
	}
}
