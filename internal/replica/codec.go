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
	magic      = "fxr"
	version    = 1
	oldest     = 1 // version that is understood
	maxName    = 64
	maxMessage = 8 << 10
	maxEntries = 1024 // of a block
	ageUnit    = 10 * rules.Millisecond
	mostAge    = 1 << 20
	sumSize    = 4
)

type messageType uint8

const (
	typeDelta messageType = iota + 1
	typeDigest
	typeAsk
	typeDone // a part of a snapshot has been given
)

// Errors of messages that can't be used.
var (
	ErrShort   = errors.New("replica: a message is cut short")
	ErrSum     = errors.New("replica: the sum of a message does not fit it")
	ErrForeign = errors.New("replica: not a message of ours")
	ErrRange   = errors.New("replica: a value is out of range")
)

// VersionError tells of a peer that speaks a version which is not understood here.
type VersionError struct{ Version int }

func (e VersionError) Error() string {
	return fmt.Sprintf("replica: a peer speaks version %d, versions %d to %d are understood", e.Version, oldest, version+1)
}

// sum of an entry, with whose it is: a copy that has flipped bits does not fit it.
func (e *Entry) sumOf(origin string) uint32 {
	var b [1 + 8 + 8 + 4*Values]byte
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
type writer struct{ b []byte }

func (w *writer) begin(t messageType, sender string, life uint64) {
	w.b = append(w.b[:0], magic...)
	w.b = append(w.b, version, byte(t))
	w.text(sender)
	w.number(life)
}

func (w *writer) number(n uint64) { w.b = binary.AppendUvarint(w.b, n) }

func (w *writer) text(s string) {
	w.number(uint64(len(s)))
	w.b = append(w.b, s...)
}

// end closes a message.
func (w *writer) end() []byte {
	return binary.LittleEndian.AppendUint32(w.b, uint32(xxh3.Hash(w.b)))
}

// entry appends one, with its age now.
func (w *writer) entry(e *Entry, sum uint32, now rules.Time) {
	w.b = append(w.b, byte(e.Kind))
	w.number(e.Subject)
	w.number(e.Counter)
	w.number(uint64(min(max(now-e.Born, 0)/ageUnit, mostAge)))
	mask := byte(0)
	for i, v := range e.Value {
		if v != 0 {
			mask |= 1 << i
		}
	}
	w.b = append(w.b, mask)
	for _, v := range e.Value {
		if v != 0 {
			w.b = binary.LittleEndian.AppendUint32(w.b, math.Float32bits(v))
		}
	}
	w.b = binary.LittleEndian.AppendUint32(w.b, sum)
}

const entryMost = 1 + 10 + 10 + 5 + 1 + 4*Values + 4

// reader takes a message apart. After an error it returns zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.b = nil
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.fail(ErrShort)
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) count(most int) int {
	n := r.number()
	if n > uint64(most) {
		r.fail(ErrRange)
		return 0
	}
	return int(n)
}

func (r *reader) bytes(n int) []byte {
	if n > len(r.b) {
		r.fail(ErrShort)
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
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
	e.Subject = r.number()
	e.Counter = r.number()
	age := r.number()
	if age > mostAge {
		r.fail(ErrRange)
		return e, 0
	}
	e.Born = now - rules.Time(age)*ageUnit
	mask := r.bytes(1)[0]
	if mask>>Values != 0 {
		r.fail(ErrRange)
		return e, 0
	}
	for i := range e.Value {
		if mask&(1<<i) == 0 {
			continue
		}
		v := math.Float32frombits(binary.LittleEndian.Uint32(r.bytes(4)))
		if r.err == nil && (v == 0 || math.IsNaN(float64(v)) || math.IsInf(float64(v), 0)) {
			r.fail(ErrRange)
		}
		e.Value[i] = v
	}
	sum = binary.LittleEndian.Uint32(r.bytes(4))
	return e, sum
}

// head is how each message begins.
type head struct {
	kind   messageType
	sender string
	life   uint64
}

// open checks a message's frame and returns a reader of its body.
func open(msg []byte) (h head, r reader, err error) {
	if len(msg) > maxMessage {
		return h, r, ErrRange
	}
	if len(msg) < len(magic)+2+sumSize {
		return h, r, ErrShort
	}
	if string(msg[:len(magic)]) != magic {
		return h, r, ErrForeign
	}
	if v := int(msg[len(magic)]); v < oldest || v > version+1 { // the next one keeps this form, or it could not roll
		return h, r, VersionError{v}
	}
	body, sum := msg[:len(msg)-sumSize], binary.LittleEndian.Uint32(msg[len(msg)-sumSize:])
	if uint32(xxh3.Hash(body)) != sum {
		return h, r, ErrSum
	}
	h.kind = messageType(body[len(magic)+1])
	r.b = body[len(magic)+2:]
	h.sender = r.text()
	h.life = r.number()
	if r.err == nil && h.sender == "" {
		r.fail(ErrRange)
	}
	return h, r, r.err
}
