package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/zeebo/xxh3"

	"foxlane/rules"
)

// This file encodes and decodes messages. Each message has at most MaxMessageBytes, carries a version and a checksum,
// and can be decoded independently of others.
//
//	message          = magic version type sender incarnation body checksum
//	delta            = blocks of (origin, incarnation, from, to, entries)
//	digest           = 1 if a reply is requested, else 0; rows of (hash of the origin's name, incarnation, counter)
//	snapshot request = hash of the origin after which to continue, 0 at the beginning
//	snapshot end     = hash of the last origin that was sent, 0 at the end of the snapshot
//
// A block holds all entries of its origin with counters in (from, to]. A digest row says that the sender holds all
// entries of the origin up to the counter. Numbers are uvarints. Ages are in units of ageUnit since the origin wrote
// the entry.

const (
	magic           = "fxr"
	version         = 1
	minVersion      = 1 // oldest supported version
	maxNameBytes    = 64
	maxMessageBytes = 8 << 10 // upper bound of Settings.MaxMessageBytes
	maxBlockEntries = 1024
	ageUnit         = 10 * rules.Millisecond
	maxAgeUnits     = 1 << 20
	checksumSize    = 4
)

type messageType uint8

const (
	typeDelta messageType = iota + 1
	typeDigest
	typeSnapshotRequest
	typeSnapshotEnd
)

func (t messageType) String() string {
	names := [...]string{"message of type 0", "delta", "digest", "snapshot request", "snapshot end"}
	if int(t) < len(names) {
		return names[t]
	}
	return fmt.Sprintf("message of type %d", uint8(t))
}

// Errors of messages that are rejected.
var (
	ErrTruncated      = errors.New("replica: message is truncated")
	ErrChecksum       = errors.New("replica: checksum mismatch")
	ErrForeignMessage = errors.New("replica: foreign message")
	ErrOutOfRange     = errors.New("replica: message has a value out of range")
)

// VersionError reports a message of an unsupported protocol version.
type VersionError struct{ Version int }

// Error implements error.
func (e VersionError) Error() string {
	return fmt.Sprintf("replica: message has version %d, supported are versions %d to %d", e.Version, minVersion, version+1)
}

// checksumFor returns the checksum of an entry and the name of its origin. It excludes WrittenAt, which differs between
// holders.
func (e *Entry) checksumFor(origin string) uint32 {
	var raw [1 + 8 + 8 + 4*ValueCount]byte
	raw[0] = byte(e.Kind)
	binary.LittleEndian.PutUint64(raw[1:], e.Subject)
	binary.LittleEndian.PutUint64(raw[9:], e.Counter)
	for i, v := range e.Value {
		binary.LittleEndian.PutUint32(raw[17+4*i:], math.Float32bits(v))
	}
	return uint32(xxh3.HashSeed(raw[:], xxh3.HashString(origin)))
}

func hashName(name string) uint64 { return xxh3.HashString(name) }

// writer appends to a message.
type writer struct{ buf []byte }

func (w *writer) begin(t messageType, sender string, incarnation uint64) {
	w.buf = append(w.buf[:0], magic...)
	w.buf = append(w.buf, version, byte(t))
	w.text(sender)
	w.uvarint(incarnation)
}

func (w *writer) uvarint(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }

func (w *writer) text(s string) {
	w.uvarint(uint64(len(s)))
	w.buf = append(w.buf, s...)
}

// finish appends the checksum and returns the message.
func (w *writer) finish() []byte {
	return binary.LittleEndian.AppendUint32(w.buf, uint32(xxh3.Hash(w.buf)))
}

// blockHeader appends the header of a block of n entries of an origin with counters in (from, to].
func (w *writer) blockHeader(o *origin, from, to uint64, n int) {
	w.text(o.name)
	w.uvarint(o.incarnation)
	w.uvarint(from)
	w.uvarint(to)
	w.uvarint(uint64(n))
}

// entry appends an entry with its age at now. Values of 0 are omitted; a mask has a bit for each value that is present.
func (w *writer) entry(e *Entry, sum uint32, now rules.Time) {
	w.buf = append(w.buf, byte(e.Kind))
	w.uvarint(e.Subject)
	w.uvarint(e.Counter)
	w.uvarint(uint64(min(max(now-e.WrittenAt, 0)/ageUnit, maxAgeUnits)))
	mask := byte(0)
	for i, v := range e.Value {
		if v != 0 {
			mask |= 1 << i
		}
	}
	w.buf = append(w.buf, mask)
	for _, v := range e.Value {
		if v != 0 {
			w.buf = binary.LittleEndian.AppendUint32(w.buf, math.Float32bits(v))
		}
	}
	w.buf = binary.LittleEndian.AppendUint32(w.buf, sum)
}

const maxEntryBytes = 1 + 10 + 10 + 5 + 1 + 4*ValueCount + 4

// reader decodes a message. It keeps the first error and returns zeros after it.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.fail(ErrTruncated)
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// count returns a number and fails if it is over limit.
func (r *reader) count(limit int) int {
	n := r.uvarint()
	if n > uint64(limit) {
		r.fail(ErrOutOfRange)
		return 0
	}
	return int(n)
}

// bytes returns the next n bytes, or n zeros after an error.
func (r *reader) bytes(n int) []byte {
	if n > len(r.rest) {
		r.fail(ErrTruncated)
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) text() string {
	n := r.count(maxNameBytes)
	if r.err != nil {
		return ""
	}
	return string(r.bytes(n))
}

func (r *reader) entry(now rules.Time) (e Entry, sum uint32) {
	e.Kind = Kind(r.bytes(1)[0])
	e.Subject = r.uvarint()
	e.Counter = r.uvarint()
	age := r.uvarint()
	if age > maxAgeUnits {
		r.fail(ErrOutOfRange)
		return e, 0
	}
	e.WrittenAt = now - rules.Time(age)*ageUnit
	mask := r.bytes(1)[0]
	if mask>>ValueCount != 0 {
		r.fail(ErrOutOfRange)
		return e, 0
	}
	for i := range e.Value {
		if mask&(1<<i) == 0 {
			continue
		}
		v := math.Float32frombits(binary.LittleEndian.Uint32(r.bytes(4)))
		if r.err == nil && (v == 0 || math.IsNaN(float64(v)) || math.IsInf(float64(v), 0)) {
			r.fail(ErrOutOfRange)
		}
		e.Value[i] = v
	}
	sum = binary.LittleEndian.Uint32(r.bytes(4))
	return e, sum
}

// block holds all entries of one origin with counters in (from, to].
type block struct {
	origin      string
	incarnation uint64
	from, to    uint64
	entries     []Entry
}

// block decodes a block. Entries of unknown kinds, which a later version may send, are skipped.
func (r *reader) block(now rules.Time) block {
	b := block{origin: r.text(), incarnation: r.uvarint(), from: r.uvarint(), to: r.uvarint()}
	n := r.count(maxBlockEntries)
	for range n {
		e, sum := r.entry(now)
		if r.err != nil {
			return b
		}
		if e.checksum = sum; e.checksumFor(b.origin) != sum {
			r.fail(ErrChecksum)
			return b
		}
		if e.Counter <= b.from || e.Counter > b.to {
			r.fail(ErrOutOfRange)
			return b
		}
		if e.Kind >= 1 && e.Kind < KindCount {
			b.entries = append(b.entries, e)
		}
	}
	if b.origin == "" || b.to < b.from {
		r.fail(ErrOutOfRange)
	}
	return b
}

// header is the decoded header of a message.
type header struct {
	kind        messageType
	sender      string
	incarnation uint64
}

// decodeHeader verifies size, magic, version and checksum of a message, and returns its header and a reader of its
// body.
func decodeHeader(msg []byte) (h header, r reader, err error) {
	if len(msg) > maxMessageBytes {
		return h, r, ErrOutOfRange
	}
	if len(msg) < len(magic)+2+checksumSize {
		return h, r, ErrTruncated
	}
	if string(msg[:len(magic)]) != magic {
		return h, r, ErrForeignMessage
	}
	if v := int(msg[len(magic)]); v < minVersion || v > version+1 { // the next version keeps this header, so that rolling upgrades work
		return h, r, VersionError{v}
	}
	body, sum := msg[:len(msg)-checksumSize], binary.LittleEndian.Uint32(msg[len(msg)-checksumSize:])
	if uint32(xxh3.Hash(body)) != sum {
		return h, r, ErrChecksum
	}
	h.kind = messageType(body[len(magic)+1])
	r.rest = body[len(magic)+2:]
	h.sender = r.text()
	h.incarnation = r.uvarint()
	if r.err == nil && h.sender == "" {
		r.fail(ErrOutOfRange)
	}
	return h, r, r.err
}
