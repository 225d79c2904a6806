// Package dns implements the part of RFC 1035 that the client of the name service needs: it encodes queries for SRV
// records and parses answers with SRV, A, TXT and SOA records. It does no I/O and makes no decisions; an incomplete or
// malformed answer is an error.
package dns

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"strconv"
	"strings"
)

// Errors of Parse.
var (
	ErrShort     = errors.New("dns: the answer is cut short")
	ErrName      = errors.New("dns: a name is malformed or its pointers loop")
	ErrMismatch  = errors.New("dns: the answer does not match the query")
	ErrTruncated = errors.New("dns: the answer has the truncation flag")
	ErrRefused   = errors.New("dns: the name service returned an error")
	ErrRecord    = errors.New("dns: a record is malformed")
	ErrMissing   = errors.New("dns: a required record is missing")
)

const (
	headerSize    = 12
	maxNameBytes  = 255
	maxLabelBytes = 63
	maxPointers   = 32
	classIN       = 1
	typeA         = 1
	typeSOA       = 6
	typeTXT       = 16
	typeSRV       = 33
	soaFixedBytes = 20 // five numbers after the two names

	flagAnswer       = 1 << 15
	flagTruncated    = 1 << 9
	maskOpcode       = 0xf << 11
	maskResponseCode = 0xf
)

// AppendQuery appends to dst a query with this ID for the SRV records of a name.
func AppendQuery(dst []byte, id uint16, name string) []byte {
	dst = binary.BigEndian.AppendUint16(dst, id)
	dst = append(dst, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0)
	for _, label := range strings.Split(strings.TrimSuffix(name, "."), ".") {
		dst = append(append(dst, byte(len(label))), label...)
	}
	return append(dst, 0, 0, typeSRV, 0, classIN)
}

// Host is an engine in the endpoint list.
type Host struct {
	ID, Zone string // first two labels of the SRV target
	Addr     netip.AddrPort
	Priority uint16
	Weight   uint16
	Kind     string
	Cell     int
	Started  int64 // start of the engine, Unix milliseconds; 0: long ago
}

// Answer is a complete endpoint list.
type Answer struct {
	Serial uint32 // of the SOA record
	Hosts  []Host
}

// ID returns the ID of a message, or ok false if the message is shorter than a header.
func ID(msg []byte) (id uint16, ok bool) {
	if len(msg) < headerSize {
		return 0, false
	}
	return binary.BigEndian.Uint16(msg), true
}

// reader reads a message from an offset onward.
type reader struct {
	msg    []byte
	offset int
}

func (r *reader) readUint16() (uint16, error) {
	if len(r.msg)-r.offset < 2 {
		return 0, ErrShort
	}
	r.offset += 2
	return binary.BigEndian.Uint16(r.msg[r.offset-2:]), nil
}

// readName reads a name, compressed or not, and returns it in lower case. It follows at most maxPointers compression
// pointers, since they may form a loop.
func (r *reader) readName() (string, error) {
	var out strings.Builder
	offset, followedPointer := r.offset, false
	for pointers := 0; ; {
		if offset >= len(r.msg) {
			return "", ErrShort
		}
		n := int(r.msg[offset])
		switch {
		case n == 0:
			if !followedPointer {
				r.offset = offset + 1
			}
			return strings.ToLower(out.String()), nil
		case n&0xc0 == 0xc0:
			if offset+1 >= len(r.msg) {
				return "", ErrShort
			}
			if !followedPointer {
				r.offset, followedPointer = offset+2, true
			}
			offset = n&0x3f<<8 | int(r.msg[offset+1])
			if pointers++; pointers > maxPointers {
				return "", ErrName
			}
		case n > maxLabelBytes:
			return "", ErrName
		default:
			if offset+1+n > len(r.msg) {
				return "", ErrShort
			}
			if out.Len() > 0 {
				out.WriteByte('.')
			}
			out.Write(r.msg[offset+1 : offset+1+n])
			if out.Len() > maxNameBytes {
				return "", ErrName
			}
			offset += 1 + n
		}
	}
}

type record struct {
	name string
	kind uint16
	data reader // positioned at the record's data, with which msg ends; names may point to anything before
}

// readRecord reads a resource record. Its kind is 0 if its class is not IN.
func (r *reader) readRecord() (rec record, err error) {
	if rec.name, err = r.readName(); err != nil {
		return rec, err
	}
	if len(r.msg)-r.offset < 10 {
		return rec, ErrShort
	}
	fixed := r.msg[r.offset : r.offset+10]
	rec.kind = binary.BigEndian.Uint16(fixed)
	if class := binary.BigEndian.Uint16(fixed[2:]); class != classIN {
		rec.kind = 0 // another class, or an EDNS option record: ignored
	}
	r.offset += 10
	end := r.offset + int(binary.BigEndian.Uint16(fixed[8:]))
	if end > len(r.msg) {
		return rec, ErrShort
	}
	rec.data = reader{r.msg[:end], r.offset}
	r.offset = end
	return rec, nil
}

// hostDetails is the content of the A and TXT records of a name.
type hostDetails struct {
	addr    netip.Addr
	kind    string
	cell    int
	started int64
	hasText bool // a TXT record was found
}

// Parse parses the answer to the query with this ID and name.
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
	case flags&maskResponseCode != 0:
		return a, ErrRefused
	}
	r := &reader{msg, headerSize}
	if err := r.checkQuestion(name); err != nil {
		return a, err
	}
	return a, a.parseRecords(r, strings.ToLower(strings.TrimSuffix(name, ".")))
}

// checkQuestion checks that the answer repeats the question of the query.
func (r *reader) checkQuestion(name string) error {
	if binary.BigEndian.Uint16(r.msg[4:]) != 1 {
		return ErrMismatch
	}
	questionName, err := r.readName()
	if err != nil {
		return err
	}
	kind, kindErr := r.readUint16()
	class, classErr := r.readUint16()
	if kindErr != nil || classErr != nil {
		return ErrShort
	}
	if !strings.EqualFold(questionName, strings.TrimSuffix(name, ".")) || kind != typeSRV || class != classIN {
		return ErrMismatch
	}
	return nil
}

// parseRecords parses the records of all sections into the list. It needs an SOA record, and the A and TXT records of
// the target of each SRV record of the name.
func (a *Answer) parseRecords(r *reader, name string) error {
	count := 0
	for i := 6; i < headerSize; i += 2 {
		count += int(binary.BigEndian.Uint16(r.msg[i:]))
	}
	details := map[string]*hostDetails{}
	var targets []string
	hasSerial := false
	for range count {
		rec, err := r.readRecord()
		if err != nil {
			return err
		}
		switch rec.kind {
		case typeSRV:
			if rec.name != name {
				continue
			}
			h, target, err := rec.parseSRV()
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
			if err := rec.parseHostDetail(d); err != nil {
				return err
			}
		case typeSOA:
			if a.Serial, err = rec.parseSOA(); err != nil {
				return err
			}
			hasSerial = true
		}
	}
	if !hasSerial {
		return ErrMissing
	}
	for i := range a.Hosts {
		h, d := &a.Hosts[i], details[targets[i]]
		if d == nil || !d.addr.IsValid() || !d.hasText {
			return ErrMissing
		}
		h.Addr = netip.AddrPortFrom(d.addr, h.Addr.Port())
		h.Kind, h.Cell, h.Started = d.kind, d.cell, d.started
	}
	return nil
}

// parseSRV parses an SRV record and returns the host, without its A and TXT data, and the target.
func (rec *record) parseSRV() (h Host, target string, err error) {
	var port uint16
	for _, field := range []*uint16{&h.Priority, &h.Weight, &port} {
		if *field, err = rec.data.readUint16(); err != nil {
			return h, "", ErrRecord
		}
	}
	if target, err = rec.data.readName(); err != nil {
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

// parseHostDetail parses an A or TXT record into d. It ignores unknown keys of a TXT record.
func (rec *record) parseHostDetail(d *hostDetails) error {
	data := rec.data.msg[rec.data.offset:]
	if rec.kind == typeA {
		addr, ok := netip.AddrFromSlice(data)
		if !ok || !addr.Is4() {
			return ErrRecord
		}
		d.addr = addr
		return nil
	}
	d.hasText = true
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

// parseSOA returns the serial of an SOA record.
func (rec *record) parseSOA() (uint32, error) {
	for range 2 {
		if _, err := rec.data.readName(); err != nil {
			return 0, err
		}
	}
	numbers := rec.data.msg[rec.data.offset:]
	if len(numbers) < soaFixedBytes {
		return 0, ErrRecord
	}
	return binary.BigEndian.Uint32(numbers), nil
}
