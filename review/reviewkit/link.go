package main

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// slowLink is a proxy between clients and a gateway that passes answers on at an even pace, like a slow network. It
// holds little, so that the gateway sees the pace.
type slowLink struct {
	listener       net.Listener
	target         string
	bytesPerSecond int
}

const (
	linkReceiveBuffer = 32 << 10
	linkSegmentBytes  = 1448 // as on Ethernet; with the 64 KB of a loopback address the gateway's system buffers megabytes
	linkChunkBytes    = 8 << 10
	linkDialTimeout   = 5 * time.Second
)

// newSlowLink starts a link to the target.
func newSlowLink(target string, bytesPerSecond int) (*slowLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &slowLink{listener, target, bytesPerSecond}
	go l.accept()
	return l, nil
}

func (l *slowLink) addr() string { return l.listener.Addr().String() }

// close stops the link for new connections. Open ones end with either side.
func (l *slowLink) close() { _ = l.listener.Close() }

func (l *slowLink) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

// limitBuffers limits what the systems of both sides hold of a connection that is about to be made.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	var bufferErr, segmentErr error
	controlErr := raw.Control(func(fd uintptr) {
		bufferErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkReceiveBuffer)
		segmentErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegmentBytes)
	})
	return errors.Join(controlErr, bufferErr, segmentErr)
}

// serve connects a client to the target until either side ends.
func (l *slowLink) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	dialer := net.Dialer{Timeout: linkDialTimeout, Control: limitBuffers}
	server, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(server, client) // either side has ended
		_ = server.Close()
	}()
	l.copyPaced(client, server)
}

// copyPaced copies from the server to the client at the link's pace.
func (l *slowLink) copyPaced(client io.Writer, server io.Reader) {
	buffer := make([]byte, linkChunkBytes)
	due := time.Now()
	for {
		n, err := server.Read(buffer)
		if n > 0 {
			if _, err := client.Write(buffer[:n]); err != nil {
				return
			}
			if now := time.Now(); due.Before(now) { // a pause is not made up for
				due = now
			}
			due = due.Add(time.Second * time.Duration(n) / time.Duration(l.bytesPerSecond))
			time.Sleep(time.Until(due))
		}
		if err != nil {
			return
		}
	}
}
