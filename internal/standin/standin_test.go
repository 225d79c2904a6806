package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestMain fails if a server leaves goroutines behind after its Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestNothingIsSentAfterClose checks that an answer that is still delayed when the name server closes is not
// reported as sent.
func TestNothingIsSentAfterClose(t *testing.T) {
	const delay = 30 * time.Millisecond
	for _, c := range []struct {
		name   string
		closed bool
		want   int64
	}{{"open", false, 1}, {"closed", true, 0}} {
		t.Run(c.name, func(t *testing.T) {
			server, err := NewNameServer("127.0.0.1:0", "list.lan")
			if err != nil {
				t.Fatal(err)
			}
			received := make(chan struct{})
			var sent atomic.Int64
			server.OnReply(func(r *ListReply) { r.Delay = delay; close(received) })
			server.OnSent(func(ListReply) { sent.Add(1) })
			conn, err := net.Dial("udp", server.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(make([]byte, 12)); err != nil {
				t.Fatal(err)
			}
			<-received
			if c.closed {
				server.Close()
			}
			time.Sleep(5 * delay)
			if got := sent.Load(); got != c.want {
				t.Errorf("%d answers were reported as sent, want %d", got, c.want)
			}
			if !c.closed {
				server.Close()
			}
		})
	}
}

// TestEngineReleasesRequests checks that a request holds its engine until it is freed or cancelled, and that a
// cancelled request gets no reply.
func TestEngineReleasesRequests(t *testing.T) {
	engine, err := NewEngine("127.0.0.1:0", func(r Request) Reply {
		if r.Fields["lane"] == "slow" {
			return Reply{Delay: time.Hour, Status: "served"}
		}
		return Reply{Status: "served", Pages: []string{"a\n", "b\n"}}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	conn, err := net.Dial("tcp", engine.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	exchange := func(command, wantHead string) {
		t.Helper()
		if _, err := fmt.Fprint(conn, command); err != nil {
			t.Fatal(err)
		}
		head, err := in.ReadString('\n')
		if err != nil || !strings.HasPrefix(head, wantHead) {
			t.Fatalf("%q: got %q, %v, want %q", command, head, err, wantHead)
		}
	}
	exchange("ASK 01 - 8\r\nSELECT 1\r\n", "01 served total=2,")
	if held := engine.HoldTime("01"); held != 0 {
		t.Errorf("hold time is %v before the request was freed, want 0", held)
	}
	// Commands of a connection are handled in order: the answer to the NOOP shows that the command before it was
	// handled.
	if _, err := in.Discard(len("a\n\r\n")); err != nil {
		t.Fatal(err)
	}
	exchange("ASK 02 lane=slow 8\r\nSELECT 2\r\nQUIT 02\r\nNOOP 03\r\n", "03 green")
	if _, err := in.Discard(len("\r\n")); err != nil {
		t.Fatal(err)
	}
	exchange("FREE 01\r\nNOOP 04\r\n", "04 green")
	if engine.HoldTime("01") == 0 || engine.HoldTime("02") == 0 {
		t.Errorf("hold times are %v and %v after both requests were released, want over 0", engine.HoldTime("01"), engine.HoldTime("02"))
	}
	if got := engine.Cancelled(); len(got) != 1 || got[0] != "02" {
		t.Errorf("cancelled requests: %q, want only 02", got)
	}
	if got := engine.Requests(); len(got) != 2 || got[1].Statement != "SELECT 2" {
		t.Errorf("received requests: %+v, want 2, the second with SELECT 2", got)
	}
}
