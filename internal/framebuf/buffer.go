// Package framebuf has the buffer in which bytes of a stream wait until a message is complete. It never reads from anywhere
// itself; its user limits how much it holds.
package framebuf

// maxIdleCapacity is the capacity, in bytes, that an empty buffer may keep between messages.
const maxIdleCapacity = 4096

// Buffer holds bytes that have come and are not used yet. The zero value is ready for use.
type Buffer struct {
	data  []byte
	start int // of the bytes that are not used yet
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

// Bytes returns the bytes that are not used yet. They are valid until the next Add.
func (b *Buffer) Bytes() []byte { return b.data[b.start:] }

// Len is the number of bytes that are not used yet.
func (b *Buffer) Len() int { return len(b.data) - b.start }

// Skip uses n bytes, at most Len.
func (b *Buffer) Skip(n int) { b.start += n }
