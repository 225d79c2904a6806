// Package framebuf implements a buffer for the bytes of a stream until a message is complete. It does no I/O and sets
// no limit on its size; both are left to the caller.
package framebuf

// maxIdleCapacity is the maximum capacity, in bytes, that an empty buffer keeps when the next bytes are added.
const maxIdleCapacity = 4096

// Buffer holds received bytes until they are consumed with Skip. The zero value is an empty buffer.
type Buffer struct {
	data  []byte
	start int // index of the first byte that is not consumed
}

// Add appends a copy of the received bytes p.
func (b *Buffer) Add(p []byte) {
	if b.start == len(b.data) {
		b.data, b.start = b.data[:0], 0
		if cap(b.data) > maxIdleCapacity {
			b.data = nil
		}
	} else if b.start > 0 && len(b.data)+len(p) > cap(b.data) {
		b.data = b.data[:copy(b.data, b.data[b.start:])]
		b.start = 0
	}
	b.data = append(b.data, p...)
}

// Bytes returns the bytes that are not consumed yet. They are valid until the next Add.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len returns the number of bytes that are not consumed yet.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Skip consumes the next n bytes; n must not be greater than Len.
func (b *Buffer) Skip(n int) { b.start += n }
