package transport

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"
	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// A whole life on loopback, with an ordinary client library as the peer: many
// queries at a time, an engine that dies, a killed query, SIGTERM with queries
// open. Nothing of it is left behind.
func TestLifecycle(t *testing.T) {
	long := strings.Repeat("x", 300)
	pages := []string{"1\ta\t" + long + "\n2\tb\t\n", "3\tc\tz\n", "4\td\tz\n"}
	s := newTestbed(t, served(20*time.Millisecond, pages...), served(20*time.Millisecond, pages...), served(time.Hour))
	s.names.SetHosts(2, s.hosts[:2]) // the third never answers; it leaves the list
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			got, err := rows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", i), 1500))
			if want := []string{"1|a|" + long, "2|b|", "3|c|z", "4|d|z"}; err != nil || strings.Join(got, "\n") != strings.Join(want, "\n") {
				t.Errorf("query %d: %v, %.200q", i, err, got)
			}
		})
	}
	wg.Wait()
	if n := len(s.engines[0].Requests()) + len(s.engines[1].Requests()); n != 60 || len(s.engines[2].Requests()) > 0 {
		t.Errorf("%d attempts for 60 queries, %d to an engine that has left", n, len(s.engines[2].Requests()))
	}
	if a := append(s.engines[0].Requests(), s.engines[1].Requests()...)[0]; a.Fields["lane"] != "point" || !strings.HasPrefix(a.Statement, "SELECT day") {
		t.Errorf("the engine got %+v", a)
	}
	s.engines[0].Close() // its connections are reset; safe queries go elsewhere
	for i := range 10 {
		if _, err := rows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", 100+i), 1500)); err != nil {
			t.Errorf("after an engine died: %v", err)
		}
	}
	s.end()
}

// KILL QUERY from another session gives a query up at its engine, and the killed session gets nothing.
func TestKillQuery(t *testing.T) {
	s := newTestbed(t, served(time.Hour))
	defer s.end()
	conn, err := s.db.Conn(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, conn)
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, nc)
	// A client of our own that writes login and query ahead of the greeting.
	q := append([]byte{3}, statement("load", "00000000000000aa", 4000)...)
	ahead := append(append(loginPacket(), byte(len(q)), 0, 0, 0), q...)
	if _, err := nc.Write(ahead); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	n, err := nc.Read(buf)
	if err != nil || n < 30 {
		t.Fatal(n, err)
	}
	version := 5 + strings.IndexByte(string(buf[5:n]), 0) + 1
	session := uint32(buf[version]) | uint32(buf[version+1])<<8 | uint32(buf[version+2])<<16 | uint32(buf[version+3])<<24
	waitFor(t, "the query at its engine", func() bool { return len(s.engines[0].Requests()) == 1 })
	if _, err := s.db.ExecContext(t.Context(), fmt.Sprintf("KILL QUERY %d", session)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the query given up", func() bool { return len(s.engines[0].Cancelled()) == 1 })
	if err := nc.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(nc)
	if !errors.Is(err, os.ErrDeadlineExceeded) || len(rest) > 11 { // the OK of the login at most
		t.Errorf("the killed session got %q, %v", rest, err)
	}
}

// SIGTERM: what is open is answered, new connections are still taken, and all ends in time.
func TestTerminate(t *testing.T) {
	s := newTestbed(t, func(a standin.Request) standin.Reply {
		if a.Fields["lane"] == "load" {
			return standin.Reply{Delay: time.Hour, Status: "served"}
		}
		return standin.Reply{Delay: 300 * time.Millisecond, Status: "served", Pages: []string{"a\tb\tc\n"}}
	})
	results := make(chan error, 2)
	go func() {
		_, err := rows(context.Background(), s.db, statement("load", "00000000000000bb", 30000))
		results <- err
	}()
	waitFor(t, "the load at its engine", func() bool { return len(s.engines[0].Requests()) == 1 })
	began := time.Now()
	s.stop <- syscall.SIGTERM
	time.Sleep(100 * time.Millisecond)
	fresh, err := sql.Open("mysql", "app@tcp("+s.addr+")/main")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, fresh)
	if got, err := rows(t.Context(), fresh, statement("point", "00000000000000cc", 1500)); err != nil || len(got) != 1 {
		t.Errorf("a query after SIGTERM: %v, %v", got, err)
	}
	err = <-results
	var answer *mysql.MySQLError
	if !errors.As(err, &answer) || answer.Number == 1040 || answer.Number == 1203 || answer.Number == 1226 {
		t.Errorf("a load that may have run ended with %v, want an error that is no refusal", err)
	}
	if took := time.Since(began); took > 3500*time.Millisecond {
		t.Errorf("the last answer came %v after SIGTERM", took)
	}
	s.end()
}

// SIGHUP ended the process. It moves the gateway to the name service that its file names now, any
// number of times and beside queries; a file that can't be used changes nothing.
func TestReload(t *testing.T) {
	s := newTestbed(t, served(200*time.Millisecond, "a\tb\tc\n"), served(200*time.Millisecond, "a\tb\tc\n"))
	defer s.end()
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(config.EnvConfig, path)
	second, err := standin.NewNameServer("127.0.0.1:0", "_data._tcp.farm.lan")
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	reload := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.hup <- syscall.SIGHUP
	}
	open := make(chan error, 1)
	go func() {
		_, err := rows(context.Background(), s.db, statement("point", "00000000000000ba", 1500))
		open <- err
	}()
	waitFor(t, "a query at an engine", func() bool { return len(s.engines[0].Requests())+len(s.engines[1].Requests()) == 1 })
	reload(s.config[:len(s.config)/2])
	reload(strings.Replace(s.config, s.names.Addr(), second.Addr(), 1))
	if err := <-open; err != nil {
		t.Errorf("the query that was open: %v", err)
	}
	s.names.SetHosts(9, nil) // the old one counts no more
	second.SetHosts(2, s.hosts[1:])
	time.Sleep(400 * time.Millisecond)
	before := len(s.engines[0].Requests())
	for i := range 6 {
		if _, err := rows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", 200+i), 1500)); err != nil {
			t.Errorf("after the move: %v", err)
		}
	}
	if n := len(s.engines[0].Requests()); n != before {
		t.Errorf("%d attempts went to an engine that the new name service does not list", n-before)
	}
}

// What a client library sees of a refusal: an error that says when to come back is harmless to retry.
func TestRejection(t *testing.T) {
	s := newTestbed(t, func(standin.Request) standin.Reply { return standin.Reply{Status: "overload"} })
	defer s.end()
	_, err := rows(t.Context(), s.db, statement("load", "00000000000000dd", 800))
	var answer *mysql.MySQLError
	if !errors.As(err, &answer) || answer.Number != 1226 {
		t.Errorf("got %v, want error 1226", err)
	}
	for _, bad := range []string{"SELECT 1", statement("other", "00000000000000de", 800), "/* kind=point", statement("point", "xyz", 800)} {
		if _, err := rows(t.Context(), s.db, bad); !errors.As(err, &answer) || answer.Number != 1064 {
			t.Errorf("%.30q: got %v, want error 1064", bad, err)
		}
	}
}

// An address that is taken is an error, and nothing runs on.
func TestListenFails(t *testing.T) {
	cfg, err := config.Parse(configText(listenLoopback(t).Addr().String(), ordinaryLimits))
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(cfg, zap.NewNop(), Signals{}); err == nil {
		t.Error("serving on an address that is taken")
	}
}

// An iteration for every event would keep the other sides busy with many small reads: iterations keep an interval, but the
// first after a quiet time comes at once.
func TestPacer(t *testing.T) {
	p := pacer{interval: 2000, last: 10_000}
	for _, c := range []struct{ now, rest rules.Time }{{10_000, 2000}, {11_500, 500}, {12_000, 0}, {90_000, -78_000}, {9_000, 2000}} {
		if got := p.wait(c.now); got != c.rest {
			t.Errorf("at %d: rest %d, want %d", c.now, got, c.rest)
		}
	}
}

// On the smallest machine, hundreds of connections that say nothing, or send what is no packet, get an
// error or a close within 3 s; a client that asks meanwhile is served at once.
func TestCrowdOnTheSmallestMachine(t *testing.T) {
	s := newTestbedWithLimits(t, `{"cores":0.25,"memory_mb":32,"sockets":256}`, served(5*time.Millisecond, "a\tb\tc\n"))
	defer s.end()
	var crowd sync.WaitGroup
	for i := range 300 {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		crowd.Go(func() {
			defer mustClose(t, nc)
			if i%3 == 0 {
				_, _ = nc.Write([]byte(strings.Repeat("\xff", 1+i))) // it may be closed already
			}
			if err := nc.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Error(err)
			}
			if _, err := io.Copy(io.Discard, nc); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("connection %d of the crowd was left open", i)
			}
		})
	}
	for i := range 20 {
		began := time.Now()
		fresh, err := sql.Open("mysql", "app@tcp("+s.addr+")/main")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := rows(t.Context(), fresh, statement("point", fmt.Sprintf("%016x", 300+i), 1500)); err != nil || time.Since(began) > time.Second {
			t.Errorf("a client beside the crowd: %v after %v", err, time.Since(began))
		}
		mustClose(t, fresh)
	}
	crowd.Wait()
}
