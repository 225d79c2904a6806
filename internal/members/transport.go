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

// transport wraps memberlist's transport. It accepts traffic from allowed addresses only, and dials members at the
// addresses in dialAddrs instead of those that they announce.
type transport struct {
	*memberlist.NetTransport
	localAddr netip.Addr
	allowed   *netipx.IPSet
	dialAddrs map[netip.AddrPort]netip.AddrPort
	rejected  *atomic.Int64
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	closing   chan struct{} // closed first: filter discards what still arrives
	done      chan struct{} // closed last: filter ends
	shutdown  sync.Once
	wg        sync.WaitGroup // waits for filter
}

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// listen opens the sockets and starts filter. Shutdown ends both.
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

// filter forwards packets and connections from allowed addresses, and discards others.
func (t *transport) filter() {
	for {
		select {
		case <-t.done:
			return
		case p := <-t.NetTransport.PacketCh():
			if !t.checkAllowed(p.From) {
				continue
			}
			select {
			case t.packets <- p:
			case <-t.closing:
			}
		case c := <-t.NetTransport.StreamCh():
			if !t.checkAllowed(c.RemoteAddr()) {
				_ = c.Close() // nothing was written, so the error does not matter
				continue
			}
			select {
			case t.streams <- c:
			case <-t.closing:
				_ = c.Close() // nothing was written, so the error does not matter
			}
		}
	}
}

// checkAllowed reports whether traffic from an address is accepted, and counts it as rejected if not.
func (t *transport) checkAllowed(addr net.Addr) bool {
	if t.allowed == nil {
		return true
	}
	addrPort, err := netip.ParseAddrPort(addr.String())
	if err == nil && t.allowed.Contains(addrPort.Addr().Unmap()) {
		return true
	}
	t.rejected.Add(1)
	return false
}

// dialAddr returns the address at which to reach the member that announces addr.
func (t *transport) dialAddr(addr string) string {
	if announced, err := netip.ParseAddrPort(addr); err == nil {
		if at, ok := t.dialAddrs[announced]; ok {
			return at.String()
		}
	}
	return addr
}

// PacketCh returns the channel of packets from allowed addresses.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of connections from allowed addresses.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.dialAddr(addr))
}

// WriteToAddress sends a packet. It ignores the name in the address.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout connects to a member from the address that this member announces, which is the one that others allow.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localAddr.AsSlice()}}
	return d.Dial("tcp", t.dialAddr(addr))
}

// DialAddressTimeout connects like DialTimeout. It ignores the name in the address.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown closes the sockets and ends filter. The listeners of NetTransport end only after everything that they have
// read is consumed, so filter keeps consuming it until they have ended.
func (t *transport) Shutdown() (err error) {
	t.shutdown.Do(func() {
		close(t.closing)
		err = t.NetTransport.Shutdown()
		close(t.done)
		t.wg.Wait()
	})
	return err
}
