package gateway

// This file has what waits to be written on each connection, and the buffers that it waits in.

const (
	maxIdleBuffer  = 2048 // bytes of a buffer that a connection keeps
	maxFreeBuffers = 64   // larger buffers kept for all
)

// outputBuffer is what waits to be written on a connection.
type outputBuffer struct {
	id        ConnID
	output    []byte
	handedOut int64 // bytes of it that were handed out to be written, in all
	dirty     bool
	closed    bool // by us or by the other side
}

// recycleBuffer empties an output buffer. Large buffers go round: few results are written at a time,
// and the many connections would keep them all.
func (g *Gateway) recycleBuffer(buffer *outputBuffer) {
	if cap(buffer.output) <= maxIdleBuffer {
		buffer.output = buffer.output[:0]
		return
	}
	if len(g.freeBuffers) < maxFreeBuffers {
		g.freeBuffers = append(g.freeBuffers, buffer.output[:0])
	}
	buffer.output = nil
}

// borrowBuffer gives a connection whose output is empty a large buffer.
func (g *Gateway) borrowBuffer(buffer *outputBuffer) {
	if n := len(g.freeBuffers) - 1; len(buffer.output) == 0 && n >= 0 {
		buffer.output, g.freeBuffers[n] = g.freeBuffers[n], nil
		g.freeBuffers = g.freeBuffers[:n]
	}
}

// markDirty notes that something was added to an output buffer.
func (g *Gateway) markDirty(buffer *outputBuffer) {
	if !buffer.dirty {
		buffer.dirty = true
		g.dirtyBuffers = append(g.dirtyBuffers, buffer)
	}
}

// flushDirty writes what waits on all connections, in the order in which they became dirty.
func (g *Gateway) flushDirty() {
	for _, buffer := range g.dirtyBuffers {
		buffer.dirty = false
		if !buffer.closed && len(buffer.output) > 0 {
			buffer.handedOut += int64(len(buffer.output))
			g.effects.write(buffer.id, buffer.output)
		}
		g.recycleBuffer(buffer)
	}
	g.dirtyBuffers = g.dirtyBuffers[:0]
}

// flushNow writes what waits on a connection ahead of what others hold.
func (g *Gateway) flushNow(buffer *outputBuffer) {
	if len(buffer.output) > 0 {
		buffer.handedOut += int64(len(buffer.output))
		g.effects.write(buffer.id, buffer.output)
		buffer.output = nil
	}
}

// closeAfterWrites closes a connection behind what was written to it.
func (g *Gateway) closeAfterWrites(buffer *outputBuffer) {
	if buffer.closed {
		return
	}
	g.flushNow(buffer)
	buffer.closed = true
	g.emit(CloseConnection{Conn: buffer.id})
}
