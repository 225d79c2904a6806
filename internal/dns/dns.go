// Package dns owns the part of RFC 1035 that the name service needs: queries for
// SRV records, and answers with SRV, A, TXT and SOA records. It must never do
// I/O or decide anything; an incomplete or malformed answer is an error.
package dns

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"strconv"
	"strings"
)

// Errors of an answer.
var (
	ErrShort     = errors.New("dns: the answer ends early")
	ErrName      = errors.New("dns: a name is malformed or loops")
	ErrMismatch  = errors.New("dns: not an answer to this query")
	ErrTruncated = errors.New("dns: the answer is truncated")
	ErrRefused   = errors.New("dns: the name service reports an error")
	ErrRecord    = errors.New("dns: a record is malformed")
	ErrMissing   = errors.New("dns: a record is missing")
)

const (
	headerSize    = 12
	maxNameBytes  = 255
	maxLabelBytes = 63
	maxJumps      = 32
	classIN       = 1
	typeA         = 1
	typeSOA       = 6
	typeTXT       = 16
	typeSRV       = 33
	soaFixed      = 20 // five numbers behind the two names

	flagAnswer    = 1 << 15
	flagTruncated = 1 << 9
	maskOpcode    = 0xf << 11
	maskCode      = 0xf
)

// AppendQuery appends a query for the SRV records of a name.
func AppendQuery(dst []byte, id uint16, name string) []byte {
	dst = binary.BigEndian.AppendUint16(dst, id)
	dst = append(dst, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0)
	for _, label := range strings.Split(strings.TrimSuffix(name, "."), ".") {
		dst = append(append(dst, byte(len(label))), label...)
	}
	return append(dst, 0, 0, typeSRV, 0, classIN)
}

// Host is an engine in the list.
type Host struct {
	ID, Zone string // the first two labels of its name
	Addr     netip.AddrPort
	Priority uint16
	Weight   uint16
	Kind     string
	Cell     int
	Started  int64 // Unix milliseconds; 0: long ago
}

// Answer is the complete list.
type Answer struct {
	Serial uint32
	Hosts  []Host
}

// ID returns the ID of a message, or ok false if the message is too short.
func ID(msg []byte) (id uint16, ok bool) {
	if len(msg) < headerSize {
		return 0, false
	}
	return binary.BigEndian.Uint16(msg), true
}

type reader struct {
	msg []byte
	at  int
}

func (r *reader) uint16() (uint16, error) {
	if len(r.msg)-r.at < 2 {
		return 0, ErrShort
	}
	r.at += 2
	return binary.BigEndian.Uint16(r.msg[r.at-2:]), nil
}

// name reads a name, compressed or not, in lower case. The number of pointers is bounded, since they may form a loop.
func (r *reader) name() (string, error) {
	var out strings.Builder
	at, jumped := r.at, false
	for jumps := 0; ; {
		if at >= len(r.msg) {
			return "", ErrShort
		}
		n := int(r.msg[at])
		switch {
		case n == 0:
			if !jumped {
				r.at = at + 1
			}
			return strings.ToLower(out.String()), nil
		case n&0xc0 == 0xc0:
			if at+1 >= len(r.msg) {
				return "", ErrShort
			}
			if !jumped {
				r.at, jumped = at+2, true
			}
			at = n&0x3f<<8 | int(r.msg[at+1])
			if jumps++; jumps > maxJumps {
				return "", ErrName
			}
		case n > maxLabelBytes:
			return "", ErrName
		default:
			if at+1+n > len(r.msg) {
				return "", ErrShort
			}
			if out.Len() > 0 {
				out.WriteByte('.')
			}
			out.Write(r.msg[at+1 : at+1+n])
			if out.Len() > maxNameBytes {
				return "", ErrName
			}
			at += 1 + n
		}
	}
}

type record struct {
	name string
	kind uint16
	data reader // at the record's data; the message ends with it, and names may point to all before
}

func (r *reader) record() (rec record, err error) {
	if rec.name, err = r.name(); err != nil {
		return rec, err
	}
	if len(r.msg)-r.at < 10 {
		return rec, ErrShort
	}
	fixed := r.msg[r.at : r.at+10]
	rec.kind = binary.BigEndian.Uint16(fixed)
	if class := binary.BigEndian.Uint16(fixed[2:]); class != classIN {
		rec.kind = 0 // another class, or an option: ignored
	}
	r.at += 10
	end := r.at + int(binary.BigEndian.Uint16(fixed[8:]))
	if end > len(r.msg) {
		return rec, ErrShort
	}
	rec.data = reader{r.msg[:end], r.at}
	r.at = end
	return rec, nil
}

// hostDetails are the A and TXT records of a name.
type hostDetails struct {
	addr    netip.Addr
	kind    string
	cell    int
	started int64
	text    bool
}

// Parse reads the answer to the query with this id and name.
func Parse(msg []byte, id uint16, name string) (Answer, error) {
	var a Answer
	if got, ok := ID(msg); !ok || got != id {
		return a, ErrMismatch
	}
	flags := binary.BigEndian.Uint16(msg[2:])
	switch {
	case flags&flagAnswer == 0 || flags&maskOpcode != 0:
		return a, ErrMismatch
	case flags&flagTruncated != 0:
		return a, ErrTruncated
	case flags&maskCode != 0:
		return a, ErrRefused
	}
	r := &reader{msg, headerSize}
	if err := r.question(name); err != nil {
		return a, err
	}
	return a, a.records(r, strings.ToLower(strings.TrimSuffix(name, ".")))
}

// question checks that the answer repeats the query.
func (r *reader) question(name string) error {
	if binary.BigEndian.Uint16(r.msg[4:]) != 1 {
		return ErrMismatch
	}
	asked, err := r.name()
	if err != nil {
		return err
	}
	kind, err1 := r.uint16()
	class, err2 := r.uint16()
	if err1 != nil || err2 != nil {
		return ErrShort
	}
	if !strings.EqualFold(asked, strings.TrimSuffix(name, ".")) || kind != typeSRV || class != classIN {
		return ErrMismatch
	}
	return nil
}

// records reads all sections. Each SRV record of the name needs the A and TXT records of its target.
func (a *Answer) records(r *reader, name string) error {
	count := 0
	for i := 6; i < headerSize; i += 2 {
		count += int(binary.BigEndian.Uint16(r.msg[i:]))
	}
	details := map[string]*hostDetails{}
	var targets []string
	serial := false
	for range count {
		rec, err := r.record()
		if err != nil {
			return err
		}
		switch rec.kind {
		case typeSRV:
			if rec.name != name {
				continue
			}
			h, target, err := rec.srv()
			if err != nil {
				return err
			}
			a.Hosts, targets = append(a.Hosts, h), append(targets, target)
		case typeA, typeTXT:
			d := details[rec.name]
			if d == nil {
				d = &hostDetails{}
				details[rec.name] = d
			}
			if err := rec.hostDetail(d); err != nil {
				return err
			}
		case typeSOA:
			if a.Serial, err = rec.soa(); err != nil {
				return err
			}
			serial = true
		}
	}
	if !serial {
		return ErrMissing
	}
	for i := range a.Hosts {
		h, d := &a.Hosts[i], details[targets[i]]
		if d == nil || !d.addr.IsValid() || !d.text {
			return ErrMissing
		}
		h.Addr = netip.AddrPortFrom(d.addr, h.Addr.Port())
		h.Kind, h.Cell, h.Started = d.kind, d.cell, d.started
	}
	return nil
}

func (rec *record) srv() (h Host, target string, err error) {
	var port uint16
	for _, field := range []*uint16{&h.Priority, &h.Weight, &port} {
		if *field, err = rec.data.uint16(); err != nil {
			return h, "", ErrRecord
		}
	}
	if target, err = rec.data.name(); err != nil {
		return h, "", err
	}
	var ok bool
	rest := ""
	if h.ID, rest, ok = strings.Cut(target, "."); !ok || h.ID == "" {
		return h, "", ErrRecord
	}
	h.Zone, _, _ = strings.Cut(rest, ".")
	h.Addr = netip.AddrPortFrom(netip.Addr{}, port)
	return h, target, nil
}

func (rec *record) hostDetail(d *hostDetails) error {
	data := rec.data.msg[rec.data.at:]
	if rec.kind == typeA {
		addr, ok := netip.AddrFromSlice(data)
		if !ok || !addr.Is4() {
			return ErrRecord
		}
		d.addr = addr
		return nil
	}
	d.text = true
	for len(data) > 0 {
		n := int(data[0])
		if len(data) < 1+n {
			return ErrRecord
		}
		name, value, _ := strings.Cut(string(data[1:1+n]), "=")
		data = data[1+n:]
		var err error
		switch name {
		case "kind":
			d.kind = value
		case "cell":
			d.cell, err = strconv.Atoi(value)
		case "started":
			d.started, err = strconv.ParseInt(value, 10, 64)
		}
		if err != nil || d.cell < 0 || d.started < 0 {
			return ErrRecord
		}
	}
	return nil
}

func (rec *record) soa() (uint32, error) {
	for range 2 {
		if _, err := rec.data.name(); err != nil {
			return 0, err
		}
	}
	numbers := rec.data.msg[rec.data.at:]
	if len(numbers) < soaFixed {
		return 0, ErrRecord
	}
	return binary.BigEndian.Uint32(numbers), nil
}
