package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/zeebo/xxh3"

	"foxlane/rules"
)

// This file owns the bytes on the wire: messages of at most Chunk bytes, with a version and a sum, that make sense by themselves.
//
//	message = magic version type sender life body sum
//	delta   = blocks of (origin, its life, from, to, entries): all entries of it with counters over from and up to to
//	digest  = whether an answer is wanted, rows of (hash of an origin, its life, counter): the sender has all of it up to that
//	ask     = the place from which to go on with a snapshot: a hash of an origin
//	done    = the place up to which it was given, 0: all of it
//
// Numbers are uvarints. Ages are in hundredths of a second since the origin wrote the entry.

const (
	magic           = "fxr"
	version         = 1
	minVersion      = 1 // version that is understood
	maxName         = 64
	maxMessage      = 8 << 10
	maxBlockEntries = 1024 // of a block
	ageUnit         = 10 * rules.Millisecond
	maxAgeUnits     = 1 << 20
	checksumSize    = 4
)

type messageType uint8

const (
	typeDelta messageType = iota + 1
	typeDigest
	typeSnapshotRequest
	typeSnapshotEnd // a part of a snapshot has been given
)

// Errors of messages that can't be used.
var (
	ErrTruncated      = errors.New("replica: a message is cut short")
	ErrChecksum       = errors.New("replica: the sum of a message does not fit it")
	ErrForeignMessage = errors.New("replica: not a message of ours")
	ErrOutOfRange     = errors.New("replica: a value is out of range")
)

// VersionError tells of a peer that speaks a version which is not understood here.
type VersionError struct{ Version int }

func (e VersionError) Error() string {
	return fmt.Sprintf("replica: a peer speaks version %d, versions %d to %d are understood", e.Version, minVersion, version+1)
}

// sum of an entry, with whose it is: a copy that has flipped bits does not fit it.
func (e *Entry) checksumFor(origin string) uint32 {
	var b [1 + 8 + 8 + 4*ValueCount]byte
	b[0] = byte(e.Kind)
	binary.LittleEndian.PutUint64(b[1:], e.Subject)
	binary.LittleEndian.PutUint64(b[9:], e.Counter)
	for i, v := range e.Value {
		binary.LittleEndian.PutUint32(b[17+4*i:], math.Float32bits(v))
	}
	return uint32(xxh3.HashSeed(b[:], xxh3.HashString(origin)))
}

func hashName(name string) uint64 { return xxh3.HashString(name) }

// writer appends to a message.
type writer struct{ buf []byte }

func (w *writer) begin(t messageType, sender string, life uint64) {
	w.buf = append(w.buf[:0], magic...)
	w.buf = append(w.buf, version, byte(t))
	w.text(sender)
	w.uvarint(life)
}

func (w *writer) uvarint(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }

func (w *writer) text(s string) {
	w.uvarint(uint64(len(s)))
	w.buf = append(w.buf, s...)
}

// finish closes a message.
func (w *writer) finish() []byte {
	return binary.LittleEndian.AppendUint32(w.buf, uint32(xxh3.Hash(w.buf)))
}

// entry appends one, with its age now.
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

// reader takes a message apart. After an error it returns zeros.
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

func (r *reader) count(most int) int {
	n := r.uvarint()
	if n > uint64(most) {
		r.fail(ErrOutOfRange)
		return 0
	}
	return int(n)
}

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
	n := r.count(maxName)
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

// header is how each message begins.
type header struct {
	kind        messageType
	sender      string
	incarnation uint64
}

// decodeHeader checks a message's frame and returns a reader of its body.
func decodeHeader(msg []byte) (h header, r reader, err error) {
	if len(msg) > maxMessage {
		return h, r, ErrOutOfRange
	}
	if len(msg) < len(magic)+2+checksumSize {
		return h, r, ErrTruncated
	}
	if string(msg[:len(magic)]) != magic {
		return h, r, ErrForeignMessage
	}
	if v := int(msg[len(magic)]); v < minVersion || v > version+1 { // the next one keeps this form, or it could not roll
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
