// Package feed owns the buffer in which bytes of a stream wait until a message
// is whole. It must never read from anywhere itself, and holds no more than
// its user allows.
package framebuf

// maxIdleCapacity is how large an empty buffer may stay between messages.
const maxIdleCapacity = 4096

// Buffer holds the bytes that have come and are not yet used. The zero value is ready.
type Buffer struct {
	data  []byte
	start int
}

// Add appends bytes that have come. They are copied.
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

// Bytes are those not yet used, valid until the next Add.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len is how many there are.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Skip uses n bytes up.
func (b *Buffer) Skip(n int) { b.start += n }
