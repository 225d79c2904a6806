package transport

import "sync/atomic"

// writeBuffers allocates the buffers of bytes that nbio has yet to write, and counts them. Buffers are hardly larger than
// their content and are not reused: a pool of buffers that have grown would hand a small write a large one.
type writeBuffers struct{ allocated atomic.Int64 }

// writeBufferGranule is the unit, in bytes, of the capacity of a buffer.
const writeBufferGranule = 1024

// bytes returns how many bytes are allocated.
func (b *writeBuffers) bytes() int64 { return b.allocated.Load() }

// Malloc implements mempool.Allocator.
func (b *writeBuffers) Malloc(size int) *[]byte {
	capacity := (size + writeBufferGranule - 1) / writeBufferGranule * writeBufferGranule
	b.allocated.Add(int64(capacity))
	buffer := make([]byte, size, capacity)
	return &buffer
}

// Realloc implements mempool.Allocator.
func (b *writeBuffers) Realloc(buffer *[]byte, size int) *[]byte {
	if size <= cap(*buffer) {
		*buffer = (*buffer)[:size]
		return buffer
	}
	larger := b.Malloc(size)
	copy(*larger, *buffer)
	b.Free(buffer)
	return larger
}

// Append implements mempool.Allocator.
func (b *writeBuffers) Append(buffer *[]byte, more ...byte) *[]byte {
	before := cap(*buffer)
	*buffer = append(*buffer, more...)
	b.allocated.Add(int64(cap(*buffer) - before))
	return buffer
}

// AppendString implements mempool.Allocator.
func (b *writeBuffers) AppendString(buffer *[]byte, more string) *[]byte {
	return b.Append(buffer, []byte(more)...)
}

// Free implements mempool.Allocator.
func (b *writeBuffers) Free(buffer *[]byte) { b.allocated.Add(-int64(cap(*buffer))) }
