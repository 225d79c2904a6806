package faultproxy

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// dialThroughProxy returns a proxy to an echo server, its forward and reverse links, and a connection through it.
func dialThroughProxy(t *testing.T) (*TCP, *Link, *Link, net.Conn) {
	forward, reverse := NewLink(1), NewLink(2)
	proxy, err := NewTCP("127.0.0.1:0", startEchoServer(t), forward, reverse)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	c, err := net.Dial("tcp", proxy.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return proxy, forward, reverse, c
}

// roundTrip writes a text and returns the bytes received within the timeout, and the time they took.
func roundTrip(t *testing.T, c net.Conn, text string, timeout time.Duration) (string, time.Duration, error) {
	t.Helper()
	began := time.Now()
	if _, err := c.Write([]byte(text)); err != nil {
		return "", 0, err
	}
	_ = c.SetReadDeadline(began.Add(timeout))
	buf := make([]byte, len(text))
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), time.Since(began), err
}

func TestTCPForwardsAndDelays(t *testing.T) {
	_, forward, reverse, c := dialThroughProxy(t)
	if got, _, err := roundTrip(t, c, "hello", time.Second); got != "hello" || err != nil {
		t.Fatalf("without faults: got %q, %v", got, err)
	}
	forward.SetConditions(Conditions{Delay: 60 * time.Millisecond})
	reverse.SetConditions(Conditions{Delay: 60 * time.Millisecond})
	if _, took, err := roundTrip(t, c, "hello", 2*time.Second); took < 120*time.Millisecond || err != nil {
		t.Errorf("delayed by 60 ms each way: took %v, %v", took, err)
	}
	forward.SetConditions(Conditions{Rate: 10_000})
	reverse.SetConditions(Conditions{})
	big := string(bytes.Repeat([]byte("x"), 2000))
	if got, took, err := roundTrip(t, c, big, 2*time.Second); got != big || took < 190*time.Millisecond || err != nil {
		t.Errorf("2000 bytes at 10,000 bytes per second took %v, %v", took, err)
	}
	if n := forward.Counts(); n.Bytes != 2010 || n.Accepted != 1 {
		t.Errorf("forward counts %+v, want 2010 bytes and one connection accepted", n)
	}
}

// A cut of one direction holds back the data sent in it and delivers the data once the cut ends, also on a connection
// that was opened during the cut.
func TestTCPCutOneWay(t *testing.T) {
	proxy, _, reverse, c := dialThroughProxy(t)
	reverse.SetConditions(Conditions{Cut: true})
	if got, _, err := roundTrip(t, c, "hello", 150*time.Millisecond); err == nil {
		t.Fatalf("%q passed a cut link", got)
	}
	late, err := net.Dial("tcp", proxy.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = late.Close() }()
	if got, _, err := roundTrip(t, late, "later", 100*time.Millisecond); err == nil {
		t.Fatalf("%q passed a cut link on a new connection", got)
	}
	reverse.SetConditions(Conditions{})
	for _, want := range []struct {
		c    net.Conn
		text string
	}{{c, "hello"}, {late, "later"}} {
		_ = want.c.SetReadDeadline(time.Now().Add(time.Second))
		buf := make([]byte, len(want.text))
		if n, err := io.ReadFull(want.c, buf); string(buf[:n]) != want.text || err != nil {
			t.Errorf("after the cut: got %q, %v", buf[:n], err)
		}
	}
}

func TestTCPReset(t *testing.T) {
	proxy, _, _, c := dialThroughProxy(t)
	if _, _, err := roundTrip(t, c, "hello", time.Second); err != nil {
		t.Fatal(err)
	}
	proxy.Reset()
	if got, _, err := roundTrip(t, c, "hello", time.Second); err == nil {
		t.Errorf("got %q over a connection that was reset", got)
	}
}

func TestUDPLossAndDuplication(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := server.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(buf[:n], from)
		}
	}()
	forward, reverse := NewLink(1), NewLink(2)
	proxy, err := NewUDP("127.0.0.1:0", server.LocalAddr().String(), forward, reverse)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	c, err := net.Dial("udp", proxy.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	count := func(n int) (got int) {
		for range n {
			_, _ = c.Write([]byte("x"))
		}
		buf := make([]byte, 10)
		for {
			_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
			if _, err := c.Read(buf); err != nil {
				return got
			}
			got++
		}
	}
	if n := count(40); n != 40 {
		t.Errorf("%d of 40 datagrams came back, want all", n)
	}
	forward.SetConditions(Conditions{Loss: 0.5})
	if n := count(40); n < 5 || n > 35 {
		t.Errorf("%d of 40 datagrams came back over a link that loses half, want 5 to 35", n)
	}
	forward.SetConditions(Conditions{Duplicate: 1})
	if n := count(20); n != 40 {
		t.Errorf("%d datagrams came back for 20 that are duplicated, want 40", n)
	}
	forward.SetConditions(Conditions{Cut: true})
	if n := count(10); n != 0 {
		t.Errorf("%d datagrams passed a cut link", n)
	}
}
