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

// Host is one entry of the endpoint list.
type Host struct {
	ID, Zone string
	Addr     netip.AddrPort
	Draining bool
	Weight   int    // as in the gateway's configuration; an SRV record carries ten times this value
	Kind     string // machine type
	Cell     int
	Started  int64 // when the engine started, in Unix milliseconds; 0: long ago
}

// NameServer is a fake name server that answers every query with the endpoint list.
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

// ListReply is an answer before it is sent, with the faults to inject into it.
type ListReply struct {
	Serial        uint32
	Hosts         []Host
	Stale         bool          // the list is older than the server's; whoever replaces Hosts sets this
	Dropped       bool          // the answer is not sent
	ServerFailure bool          // the answer reports SERVFAIL
	Truncated     bool          // only the first two thirds of the message are sent
	WrongID       bool          // the answer has the id of another query
	Duplicated    bool          // the answer is sent twice
	Delay         time.Duration // before the answer is sent
	Junk          int           // large datagrams of no use that are sent behind the answer
}

// junkBytes is the size of a datagram of no use.
const junkBytes = 9000

// Valid reports whether the receiver can use the reply: it is sent complete, and it has the current list.
func (r *ListReply) Valid() bool {
	return !r.Stale && !r.Dropped && !r.ServerFailure && !r.Truncated && !r.WrongID
}

// NewNameServer starts a name server that listens on addr and has an empty list under the given name.
func NewNameServer(addr, name string) (*NameServer, error) {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, err
	}
	n := &NameServer{conn: conn, name: name, done: make(chan struct{}), serial: 1}
	go n.serve()
	return n, nil
}

// Addr returns the address that the name server listens on.
func (n *NameServer) Addr() string { return n.conn.LocalAddr().String() }

// SetHosts replaces the list and its serial number.
func (n *NameServer) SetHosts(serial uint32, hosts []Host) {
	n.mu.Lock()
	n.serial, n.hosts = serial, hosts
	n.mu.Unlock()
}

// SetRewrite sets a function that replaces the bytes of each answer before it is sent; nil: none. If f returns nil,
// the answer is dropped.
func (n *NameServer) SetRewrite(f func([]byte) []byte) {
	n.mu.Lock()
	n.rewrite = f
	n.mu.Unlock()
}

// SetFilter sets a function that selects, by source address, which queries are answered; nil: all.
func (n *NameServer) SetFilter(f func(from string) bool) {
	n.mu.Lock()
	n.filter = f
	n.mu.Unlock()
}

// OnReply sets a function that is called with each answer before it is encoded, and may change it; nil: none.
func (n *NameServer) OnReply(f func(*ListReply)) {
	n.mu.Lock()
	n.onReply = f
	n.mu.Unlock()
}

// OnSent sets a function that is called with each valid answer after it was sent; nil: none.
func (n *NameServer) OnSent(f func(ListReply)) {
	n.mu.Lock()
	n.onSent = f
	n.mu.Unlock()
}

// Close ends the server and waits for its serving goroutine. Delayed answers are not sent after that.
func (n *NameServer) Close() {
	_ = n.conn.Close() // the socket is not used again
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

// reply answers the query with the given id.
func (n *NameServer) reply(id uint16, from net.Addr) {
	n.mu.Lock()
	r := ListReply{Serial: n.serial, Hosts: n.hosts}
	onReply, rewrite, filter, onSent := n.onReply, n.rewrite, n.filter, n.onSent
	n.mu.Unlock() // onReply may call SetHosts
	if onReply != nil {
		onReply(&r)
	}
	msg := r.encode(id, n.name)
	if rewrite != nil {
		msg = rewrite(msg)
	}
	if msg == nil || r.Dropped || filter != nil && !filter(from.String()) {
		return
	}
	send := func() {
		select {
		case <-n.done: // closed while the answer was delayed
			return
		default:
		}
		_, _ = n.conn.WriteTo(msg, from)
		if r.Duplicated {
			_, _ = n.conn.WriteTo(msg, from)
		}
		for range r.Junk {
			_, _ = n.conn.WriteTo(make([]byte, junkBytes), from)
		}
		if onSent != nil && r.Valid() {
			onSent(r)
		}
	}
	if r.Delay > 0 {
		time.AfterFunc(r.Delay, send)
		return
	}
	send()
}

// encode returns the encoded message with the faults that affect its bytes.
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

// EncodeAnswer encodes the answer to a query for the list: an SRV record for each host, an SOA record with the serial
// number, and an A and a TXT record for each host. Repeated names are compressed to pointers, as real servers do.
func EncodeAnswer(id uint16, name string, serial uint32, hosts []Host) []byte {
	msg := binary.BigEndian.AppendUint16(nil, id)
	msg = append(msg, 0x84, 0, 0, 1) // authoritative answer, no error, one question
	msg = binary.BigEndian.AppendUint16(msg, uint16(len(hosts)))
	msg = append(msg, 0, 1) // one authority record
	msg = binary.BigEndian.AppendUint16(msg, uint16(2*len(hosts)))
	msg = append(appendName(msg, name), 0, 33, 0, 1) // the question: type SRV, class IN
	targets := make([]int, len(hosts))               // offsets of the target names in the message
	for i, h := range hosts {
		var srvData []byte
		priority := uint16(0)
		if h.Draining {
			priority = 1
		}
		srvData = binary.BigEndian.AppendUint16(srvData, priority)
		srvData = binary.BigEndian.AppendUint16(srvData, uint16(10*h.Weight))
		srvData = binary.BigEndian.AppendUint16(srvData, h.Addr.Port())
		// An SRV record (33), whose name is a pointer to the name in the question, at offset 12.
		msg = appendRecord(append(msg, 0xc0, 12), 33, appendName(srvData, h.ID+"."+h.Zone+".hosts"))
		targets[i] = len(msg) - len(h.ID+"."+h.Zone+".hosts") - 2
	}
	soaData := append(appendName(nil, "ns.lan"), 0)
	soaData = binary.BigEndian.AppendUint32(soaData, serial)
	msg = appendRecord(append(msg, 0xc0, 12), 6, append(soaData, make([]byte, 16)...)) // SOA
	for i, h := range hosts {
		pointer := []byte{0xc0 | byte(targets[i]>>8), byte(targets[i])}
		addr := h.Addr.Addr().As4()
		msg = appendRecord(append(msg, pointer...), 1, addr[:]) // A
		var txtData []byte
		for _, s := range []string{"kind=" + h.Kind, fmt.Sprint("cell=", h.Cell), fmt.Sprint("started=", h.Started)} {
			txtData = append(append(txtData, byte(len(s))), s...)
		}
		msg = appendRecord(append(msg, pointer...), 16, txtData) // TXT
	}
	return msg
}

// appendName appends a domain name as length-prefixed labels, uncompressed.
func appendName(b []byte, name string) []byte {
	for _, label := range strings.Split(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

// appendRecord appends a resource record without its name, of class IN and with a TTL of 0.
func appendRecord(b []byte, kind byte, data []byte) []byte {
	b = append(b, 0, kind, 0, 1, 0, 0, 0, 0)
	return append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
}
