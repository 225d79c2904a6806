// Package framebuf implements a buffer for the bytes of a stream until a message is complete. It does no I/O and sets
// no limit on its size; both are left to the caller, which can read from Capacity what the buffer occupies.
package framebuf

const (
	maxIdleCapacity = 2048 // largest capacity, in bytes, that an empty buffer keeps
	smallGranule    = 512  // capacities below largeGranule are multiples of this
	largeGranule    = 4096 // all other capacities are multiples of this
)

// Buffer holds received bytes until they are consumed with Skip. The zero value is an empty buffer.
type Buffer struct {
	data  []byte
	start int // index of the first byte that is not consumed
}

// Add appends a copy of the received bytes p.
func (b *Buffer) Add(p []byte) {
	if len(b.data)+len(p) > cap(b.data) {
		b.makeRoom(len(p))
	}
	b.data = append(b.data, p...)
}

// makeRoom removes the consumed bytes and, if that is not enough for n more bytes, moves the rest to a larger array. The
// array is hardly larger than needed: many connections hold incomplete messages at a time, and doubled capacities
// would double what they occupy.
func (b *Buffer) makeRoom(n int) {
	needed := b.Len() + n
	if needed <= cap(b.data) {
		b.data = b.data[:copy(b.data, b.data[b.start:])]
	} else {
		b.data = append(make([]byte, 0, roundUp(needed)), b.data[b.start:]...)
	}
	b.start = 0
}

// roundUp returns the capacity for a number of bytes.
func roundUp(n int) int {
	granule := smallGranule
	if n > largeGranule {
		granule = largeGranule
	}
	return (n + granule - 1) / granule * granule
}

// Bytes returns the bytes that are not consumed yet. They are valid until the next Add.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of bytes that are not consumed yet.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Capacity returns the number of bytes that the buffer occupies.
func (b *Buffer) Capacity() int { return cap(b.data) }

// Skip consumes the next n bytes; n must not be greater than Len. A large array of which less than half is still needed
// is replaced by a smaller one, or by none: most connections are idle most of the time.
func (b *Buffer) Skip(n int) {
	b.start += n
	rest := b.data[b.start:]
	switch {
	case cap(b.data) > maxIdleCapacity && len(rest) == 0:
		b.data, b.start = nil, 0
	case cap(b.data) > maxIdleCapacity && len(rest) < cap(b.data)/2:
		b.data, b.start = append(make([]byte, 0, roundUp(len(rest))), rest...), 0
	case len(rest) == 0:
		b.data, b.start = b.data[:0], 0
	}
}
