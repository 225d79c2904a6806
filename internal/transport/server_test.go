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

// A gateway serves concurrent queries of an ordinary client library, does not use an engine that has left the list,
// and sends safe queries to another engine after one has died. It exits on SIGTERM without leaking resources.
func TestLifecycle(t *testing.T) {
	longValue := strings.Repeat("x", 300)
	pages := []string{"1\ta\t" + longValue + "\n2\tb\t\n", "3\tc\tz\n", "4\td\tz\n"}
	s := newTestbed(t, replyAfter(20*time.Millisecond, pages...), replyAfter(20*time.Millisecond, pages...), replyAfter(time.Hour))
	s.nameServer.SetHosts(2, s.hosts[:2]) // the third engine never answers; it is removed from the list
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			got, err := queryRows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", i), 1500))
			if want := []string{"1|a|" + longValue, "2|b|", "3|c|z", "4|d|z"}; err != nil || strings.Join(got, "\n") != strings.Join(want, "\n") {
				t.Errorf("query %d: %v, %.200q", i, err, got)
			}
		})
	}
	wg.Wait()
	if n := len(s.engines[0].Requests()) + len(s.engines[1].Requests()); n != 60 || len(s.engines[2].Requests()) > 0 {
		t.Errorf("%d attempts for 60 queries, %d to an engine that was removed", n, len(s.engines[2].Requests()))
	}
	if a := append(s.engines[0].Requests(), s.engines[1].Requests()...)[0]; a.Fields["lane"] != "point" || !strings.HasPrefix(a.Statement, "SELECT day") {
		t.Errorf("the engine got %+v", a)
	}
	s.engines[0].Close() // its connections are reset; safe queries are sent to another engine
	for i := range 10 {
		if _, err := queryRows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", 100+i), 1500)); err != nil {
			t.Errorf("after an engine died: %v", err)
		}
	}
	s.shutdown()
}

// KILL QUERY from another session cancels a query at its engine, and the killed session gets no answer.
func TestKillQuery(t *testing.T) {
	s := newTestbed(t, replyAfter(time.Hour))
	defer s.shutdown()
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
	// This client writes the login and the query before it reads the greeting.
	q := append([]byte{3}, statement("load", "00000000000000aa", 4000)...)
	packets := append(append(loginPacket(), byte(len(q)), 0, 0, 0), q...)
	if _, err := nc.Write(packets); err != nil {
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
	waitFor(t, "the query to be cancelled", func() bool { return len(s.engines[0].Cancelled()) == 1 })
	if err := nc.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(nc)
	if !errors.Is(err, os.ErrDeadlineExceeded) || len(rest) > 11 { // at most the OK packet of the login
		t.Errorf("the killed session got %q, %v", rest, err)
	}
}

// After SIGTERM open requests are answered, new connections are still accepted, and the gateway exits in time.
func TestTerminate(t *testing.T) {
	s := newTestbed(t, func(a standin.Request) standin.Reply {
		if a.Fields["lane"] == "load" {
			return standin.Reply{Delay: time.Hour, Status: "served"}
		}
		return standin.Reply{Delay: 300 * time.Millisecond, Status: "served", Pages: []string{"a\tb\tc\n"}}
	})
	results := make(chan error, 2)
	go func() {
		_, err := queryRows(context.Background(), s.db, statement("load", "00000000000000bb", 30000))
		results <- err
	}()
	waitFor(t, "the load at its engine", func() bool { return len(s.engines[0].Requests()) == 1 })
	began := time.Now()
	s.stop <- syscall.SIGTERM
	time.Sleep(100 * time.Millisecond)
	newDB, err := sql.Open("mysql", "app@tcp("+s.addr+")/main")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, newDB)
	if got, err := queryRows(t.Context(), newDB, statement("point", "00000000000000cc", 1500)); err != nil || len(got) != 1 {
		t.Errorf("a query after SIGTERM: %v, %v", got, err)
	}
	err = <-results
	var mysqlErr *mysql.MySQLError
	if !errors.As(err, &mysqlErr) || mysqlErr.Number == 1040 || mysqlErr.Number == 1203 || mysqlErr.Number == 1226 {
		t.Errorf("a load that may have run ended with %v, want an error that is not a rejection", err)
	}
	if took := time.Since(began); took > 3500*time.Millisecond {
		t.Errorf("the last answer arrived %v after SIGTERM", took)
	}
	s.shutdown()
}

// SIGHUP used to end the process. It must reload the configuration, repeatedly and while queries run, and move the
// gateway to the configured name service. An invalid file must change nothing.
func TestReload(t *testing.T) {
	s := newTestbed(t, replyAfter(200*time.Millisecond, "a\tb\tc\n"), replyAfter(200*time.Millisecond, "a\tb\tc\n"))
	defer s.shutdown()
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(config.EnvConfig, path)
	newNameServer, err := standin.NewNameServer("127.0.0.1:0", "_data._tcp.farm.lan")
	if err != nil {
		t.Fatal(err)
	}
	defer newNameServer.Close()
	reload := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.hup <- syscall.SIGHUP
	}
	openQuery := make(chan error, 1)
	go func() {
		_, err := queryRows(context.Background(), s.db, statement("point", "00000000000000ba", 1500))
		openQuery <- err
	}()
	waitFor(t, "a query at an engine", func() bool { return len(s.engines[0].Requests())+len(s.engines[1].Requests()) == 1 })
	reload(s.config[:len(s.config)/2])
	reload(strings.Replace(s.config, s.nameServer.Addr(), newNameServer.Addr(), 1))
	if err := <-openQuery; err != nil {
		t.Errorf("the query that was open during the reload: %v", err)
	}
	s.nameServer.SetHosts(9, nil) // the old name service is no longer used
	newNameServer.SetHosts(2, s.hosts[1:])
	time.Sleep(400 * time.Millisecond)
	before := len(s.engines[0].Requests())
	for i := range 6 {
		if _, err := queryRows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", 200+i), 1500)); err != nil {
			t.Errorf("after the move to the new name service: %v", err)
		}
	}
	if n := len(s.engines[0].Requests()); n != before {
		t.Errorf("%d attempts were sent to an engine that the new name service does not list", n-before)
	}
}

// A client library gets error 1226 for a rejected request, which is safe to retry, and error 1064 for an invalid
// query.
func TestRejection(t *testing.T) {
	s := newTestbed(t, func(standin.Request) standin.Reply { return standin.Reply{Status: "overload"} })
	defer s.shutdown()
	_, err := queryRows(t.Context(), s.db, statement("load", "00000000000000dd", 800))
	var mysqlErr *mysql.MySQLError
	if !errors.As(err, &mysqlErr) || mysqlErr.Number != 1226 {
		t.Errorf("got %v, want error 1226", err)
	}
	for _, bad := range []string{"SELECT 1", statement("other", "00000000000000de", 800), "/* kind=point", statement("point", "xyz", 800)} {
		if _, err := queryRows(t.Context(), s.db, bad); !errors.As(err, &mysqlErr) || mysqlErr.Number != 1064 {
			t.Errorf("%.30q: got %v, want error 1064", bad, err)
		}
	}
}

// Run returns an error if its address is in use, and leaves no goroutine running.
func TestListenFails(t *testing.T) {
	cfg, err := config.Parse(configText(listenLoopback(t).Addr().String(), defaultLimits))
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(cfg, zap.NewNop(), Signals{}); err == nil {
		t.Error("no error on an address in use")
	}
}

// An iteration for each event would cause many small reads at the peers. Iterations therefore keep a minimum
// interval, but the first one after an idle period starts at once.
func TestPacer(t *testing.T) {
	p := pacer{interval: 2000, last: 10_000}
	for _, c := range []struct{ now, delay rules.Time }{{10_000, 2000}, {11_500, 500}, {12_000, 0}, {90_000, -78_000}, {9_000, 2000}} {
		if got := p.delay(c.now); got != c.delay {
			t.Errorf("at %d: wait %d, want %d", c.now, got, c.delay)
		}
	}
}

// On the smallest machine, hundreds of connections that send nothing or invalid packets must get an error or a close
// within 3 s, and another client must be served without delay in the meantime.
func TestManyConnectionsOnSmallestMachine(t *testing.T) {
	s := newTestbedWithLimits(t, `{"cores":0.25,"memory_mb":32,"sockets":256}`, replyAfter(5*time.Millisecond, "a\tb\tc\n"))
	defer s.shutdown()
	var clients sync.WaitGroup
	for i := range 300 {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		clients.Go(func() {
			defer mustClose(t, nc)
			if i%3 == 0 {
				_, _ = nc.Write([]byte(strings.Repeat("\xff", 1+i))) // the gateway may have closed it already
			}
			if err := nc.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Error(err)
			}
			if _, err := io.Copy(io.Discard, nc); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("connection %d was left open", i)
			}
		})
	}
	for i := range 20 {
		began := time.Now()
		newDB, err := sql.Open("mysql", "app@tcp("+s.addr+")/main")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := queryRows(t.Context(), newDB, statement("point", fmt.Sprintf("%016x", 300+i), 1500)); err != nil || time.Since(began) > time.Second {
			t.Errorf("a query beside the other connections: %v after %v", err, time.Since(began))
		}
		mustClose(t, newDB)
	}
	clients.Wait()
}
