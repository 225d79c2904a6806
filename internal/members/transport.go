package members

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go4.org/netipx"
)

// transport lets only those speak who may, and reaches some by other addresses than they tell.
type transport struct {
	*memberlist.NetTransport
	localAddr netip.Addr
	allowed   *netipx.IPSet
	dialAddrs map[netip.AddrPort]netip.AddrPort
	rejected  *atomic.Int64
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	done      chan struct{}
}

func newTransport(inner *memberlist.NetTransport, set Settings, strangers *atomic.Int64) *transport {
	t := &transport{NetTransport: inner, localAddr: set.Bind.Addr(), allowed: set.Allowed, dialAddrs: set.DialAddrs, rejected: strangers, packets: make(chan *memberlist.Packet),
		streams: make(chan net.Conn), done: make(chan struct{})}
	go t.filter()
	return t
}

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
			case <-t.done:
				return
			}
		case c := <-t.NetTransport.StreamCh():
			if !t.isAllowed(c.RemoteAddr()) {
				c.Close()
				continue
			}
			select {
			case t.streams <- c:
			case <-t.done:
				c.Close()
				return
			}
		}
	}
}

// isAllowed answers whether an address may speak.
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

// dialAddr is the address at which another is reached.
func (t *transport) dialAddr(addr string) string {
	if at, err := netip.ParseAddrPort(addr); err == nil {
		if via, ok := t.dialAddrs[at]; ok {
			return via.String()
		}
	}
	return addr
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.dialAddr(addr))
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout connects from the address that others are told: it is the one that may speak.
func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, LocalAddr: &net.TCPAddr{IP: t.localAddr.AsSlice()}}
	return d.Dial("tcp", t.dialAddr(addr))
}

func (t *transport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, within)
}

func (t *transport) Shutdown() error {
	close(t.done)
	return t.NetTransport.Shutdown()
}
