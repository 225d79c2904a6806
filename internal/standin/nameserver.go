package standin

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Host is one engine of a list.
type Host struct {
	ID, Zone string
	Addr     netip.AddrPort
	Draining bool
	Weight   int // as in the list; records hold ten times as much
	Kind     string
	Cell     int
	Started  int64
}

// NameServer is a stand-in for the name service.
type NameServer struct {
	conn    net.PacketConn
	name    string
	done    chan struct{}
	mu      sync.Mutex
	serial  uint32
	hosts   []Host
	rewrite func([]byte) []byte
	filter  func(from string) bool
	onReply func(*ListReply)
	onSent  func(ListReply)
}

// ListReply is an answer that is about to be sent, with what is to become of it.
type ListReply struct {
	Serial        uint32
	Hosts         []Host
	Stale         bool          // it holds an older list than the service has
	Dropped       bool          // it is not sent
	ServerFailure bool          // it reports a failure
	Truncated     bool          // it is cut short
	WrongID       bool          // it has the id of another query
	Duplicated    bool          // it is sent twice
	Delay         time.Duration // it is sent so late
}

// Valid answers whether the reply can tell something: it is whole and holds the present list.
func (r *ListReply) Valid() bool {
	return !r.Stale && !r.Dropped && !r.ServerFailure && !r.Truncated && !r.WrongID
}

// NewNameServer starts a name service that answers for the list under a name.
func NewNameServer(addr, name string) (*NameServer, error) {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, err
	}
	n := &NameServer{conn: conn, name: name, done: make(chan struct{}), serial: 1}
	go n.serve()
	return n, nil
}

// Addr is where it listens.
func (n *NameServer) Addr() string { return n.conn.LocalAddr().String() }

// SetHosts replaces the list.
func (n *NameServer) SetHosts(serial uint32, hosts []Host) {
	n.mu.Lock()
	n.serial, n.hosts = serial, hosts
	n.mu.Unlock()
}

// SetRewrite changes every answer from now on; nil stops that, and an answer of nil is lost.
func (n *NameServer) SetRewrite(f func([]byte) []byte) {
	n.mu.Lock()
	n.rewrite = f
	n.mu.Unlock()
}

// SetFilter says to whom it answers from now on, by the address that asks; nil: to all.
func (n *NameServer) SetFilter(f func(from string) bool) {
	n.mu.Lock()
	n.filter = f
	n.mu.Unlock()
}

// OnReply calls for each answer that is about to be sent; nil stops that.
func (n *NameServer) OnReply(f func(*ListReply)) {
	n.mu.Lock()
	n.onReply = f
	n.mu.Unlock()
}

// OnSent calls for each good answer, once it has been sent.
func (n *NameServer) OnSent(f func(ListReply)) {
	n.mu.Lock()
	n.onSent = f
	n.mu.Unlock()
}

// Close ends it.
func (n *NameServer) Close() {
	n.conn.Close()
	<-n.done
}

func (n *NameServer) serve() {
	defer close(n.done)
	buf := make([]byte, 512)
	for {
		size, from, err := n.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		if size < 12 {
			continue
		}
		n.reply(binary.BigEndian.Uint16(buf), from)
	}
}

// reply answers one query.
func (n *NameServer) reply(id uint16, from net.Addr) {
	n.mu.Lock()
	r := ListReply{Serial: n.serial, Hosts: n.hosts}
	alter, mangle, listen, told := n.onReply, n.rewrite, n.filter, n.onSent
	n.mu.Unlock() // whoever alters it may be about to set the list
	if alter != nil {
		alter(&r)
	}
	msg := r.encode(id, n.name)
	if mangle != nil {
		msg = mangle(msg)
	}
	if msg == nil || r.Dropped || listen != nil && !listen(from.String()) {
		return
	}
	send := func() {
		_, _ = n.conn.WriteTo(msg, from)
		if r.Duplicated {
			_, _ = n.conn.WriteTo(msg, from)
		}
		if told != nil && r.Valid() {
			told(r)
		}
	}
	if r.Delay > 0 {
		time.AfterFunc(r.Delay, send)
		return
	}
	send()
}

// encode is the reply as it is sent.
func (r *ListReply) encode(id uint16, name string) []byte {
	if r.WrongID {
		id++
	}
	msg := EncodeAnswer(id, name, r.Serial, r.Hosts)
	if r.ServerFailure {
		msg[3] |= 2 // SERVFAIL
	}
	if r.Truncated {
		msg = msg[:len(msg)*2/3]
	}
	return msg
}

// EncodeAnswer is the whole answer to a query. The name asked for is pointed to, and
// so is each target, as servers do.
func EncodeAnswer(id uint16, name string, serial uint32, hosts []Host) []byte {
	b := binary.BigEndian.AppendUint16(nil, id)
	b = append(b, 0x84, 0, 0, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(len(hosts)))
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(2*len(hosts)))
	b = append(appendName(b, name), 0, 33, 0, 1)
	targets := make([]int, len(hosts))
	for i, h := range hosts {
		var data []byte
		priority := uint16(0)
		if h.Draining {
			priority = 1
		}
		data = binary.BigEndian.AppendUint16(data, priority)
		data = binary.BigEndian.AppendUint16(data, uint16(10*h.Weight))
		data = binary.BigEndian.AppendUint16(data, h.Addr.Port())
		b = appendRecord(append(b, 0xc0, 12), 33, appendName(data, h.ID+"."+h.Zone+".hosts"))
		targets[i] = len(b) - len(h.ID+"."+h.Zone+".hosts") - 2
	}
	soa := append(appendName(nil, "ns.lan"), 0)
	soa = binary.BigEndian.AppendUint32(soa, serial)
	b = appendRecord(append(b, 0xc0, 12), 6, append(soa, make([]byte, 16)...))
	for i, h := range hosts {
		pointer := []byte{0xc0 | byte(targets[i]>>8), byte(targets[i])}
		addr := h.Addr.Addr().As4()
		b = appendRecord(append(b, pointer...), 1, addr[:])
		var text []byte
		for _, s := range []string{"kind=" + h.Kind, fmt.Sprint("cell=", h.Cell), fmt.Sprint("started=", h.Started)} {
			text = append(append(text, byte(len(s))), s...)
		}
		b = appendRecord(append(b, pointer...), 16, text)
	}
	return b
}

func appendName(b []byte, name string) []byte {
	for _, label := range strings.Split(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

func appendRecord(b []byte, kind byte, data []byte) []byte {
	b = append(b, 0, kind, 0, 1, 0, 0, 0, 0)
	return append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
}
