package members

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go4.org/netipx"
)

// transport is memberlist's own transport, but that it accepts allowed addresses only, and dials some members at other addresses than they
// announce.
type transport struct {
	*memberlist.NetTransport
	localAddr netip.Addr
	allowed   *netipx.IPSet
	dialAddrs map[netip.AddrPort]netip.AddrPort
	rejected  *atomic.Int64
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closing   chan struct{} // closed first: what still arrives is discarded
	done      chan struct{} // closed last: the filter ends
	shutdown  sync.Once
	wg        sync.WaitGroup // the filter's goroutine
}

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// listen opens the sockets and starts the filter. Shutdown ends both.
func listen(settings Settings, rejected *atomic.Int64) (*transport, error) {
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{settings.Bind.Addr().String()},
		BindPort: int(settings.Bind.Port()), Logger: discardLogger()})
	if err != nil {
		return nil, fmt.Errorf("%w at %s: %w", ErrListen, settings.Bind, err)
	}
	t := &transport{NetTransport: inner, localAddr: settings.Bind.Addr(), allowed: settings.Allowed, dialAddrs: settings.DialAddrs, rejected: rejected,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), closing: make(chan struct{}), done: make(chan struct{})}
	t.wg.Go(t.filter)
	return t, nil
}

// filter passes on what comes from allowed addresses.
func (t *transport) filter() {
	for {
		select {
		case <-t.done:
			return
		case p := <-t.NetTransport.PacketCh():
			if !t.isAllowed(p.From) {
				continue
			}
			select {
			case t.packets <- p:
			case <-t.closing:
			}
		case c := <-t.NetTransport.StreamCh():
			if !t.isAllowed(c.RemoteAddr()) {
				_ = c.Close() // nothing was written to it
				continue
			}
			select {
			case t.streams <- c:
			case <-t.closing:
				_ = c.Close() // nothing was written to it
			}
		}
	}
}

// isAllowed reports whether an address is accepted, and counts it if not.
func (t *transport) isAllowed(a net.Addr) bool {
	if t.allowed == nil {
		return true
	}
	at, err := netip.ParseAddrPort(a.String())
	if err == nil && t.allowed.Contains(at.Addr().Unmap()) {
		return true
	}
	t.rejected.Add(1)
	return false
}

// dialAddr is where the member that announces an address is reached.
func (t *transport) dialAddr(addr string) string {
	if announced, err := netip.ParseAddrPort(addr); err == nil {
		if at, ok := t.dialAddrs[announced]; ok {
			return at.String()
		}
	}
	return addr
}

// PacketCh returns the packets of allowed addresses.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the connections of allowed addresses.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.dialAddr(addr))
}

// WriteToAddress sends a packet; names are not needed to reach a member.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout connects from the address that this member announces: it is the one that others allow.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localAddr.AsSlice()}}
	return d.Dial("tcp", t.dialAddr(addr))
}

// DialAddressTimeout connects as DialTimeout.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown closes the sockets and ends the filter. The listeners of NetTransport end only once what they have read is taken, so the filter
// goes on to take it until they have.
func (t *transport) Shutdown() (err error) {
	t.shutdown.Do(func() {
		close(t.closing)
		err = t.NetTransport.Shutdown()
		close(t.done)
		t.wg.Wait()
	})
	return err
}
