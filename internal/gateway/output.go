package gateway

// This file manages the output buffers of connections.

const (
	maxIdleBufferBytes = 2048 // capacity in bytes up to which a connection keeps its empty buffer
	maxFreeBuffers     = 64   // number of larger buffers kept for reuse by all connections
)

// outputBuffer is the pending output of a connection.
type outputBuffer struct {
	id           ConnID
	output       []byte
	emittedBytes int64 // total number of bytes emitted in Write effects
	dirty        bool  // listed in Gateway.dirtyBuffers
	closed       bool  // by the gateway or by the peer
}

// recycleBuffer empties an output buffer. Large buffers are shared between connections: few results are written at
// a time, and otherwise each of the many connections would keep one.
func (g *Gateway) recycleBuffer(buffer *outputBuffer) {
	if cap(buffer.output) <= maxIdleBufferBytes {
		buffer.output = buffer.output[:0]
		return
	}
	if len(g.freeBuffers) < maxFreeBuffers {
		g.freeBuffers = append(g.freeBuffers, buffer.output[:0])
	}
	buffer.output = nil
}

// borrowBuffer gives a connection without pending output a free large buffer, if there is one.
func (g *Gateway) borrowBuffer(buffer *outputBuffer) {
	if n := len(g.freeBuffers) - 1; len(buffer.output) == 0 && n >= 0 {
		buffer.output, g.freeBuffers[n] = g.freeBuffers[n], nil
		g.freeBuffers = g.freeBuffers[:n]
	}
}

// markDirty schedules an output buffer to be written by the next Flush.
func (g *Gateway) markDirty(buffer *outputBuffer) {
	if !buffer.dirty {
		buffer.dirty = true
		g.dirtyBuffers = append(g.dirtyBuffers, buffer)
	}
}

// flushDirty writes the pending output of all connections, in the order in which they became dirty.
func (g *Gateway) flushDirty() {
	for _, buffer := range g.dirtyBuffers {
		buffer.dirty = false
		if !buffer.closed && len(buffer.output) > 0 {
			buffer.emittedBytes += int64(len(buffer.output))
			g.effects.write(buffer.id, buffer.output)
		}
		g.recycleBuffer(buffer)
	}
	g.dirtyBuffers = g.dirtyBuffers[:0]
}

// flushNow writes the pending output of a connection ahead of that of all others.
func (g *Gateway) flushNow(buffer *outputBuffer) {
	if len(buffer.output) > 0 {
		buffer.emittedBytes += int64(len(buffer.output))
		g.effects.write(buffer.id, buffer.output)
		buffer.output = nil
	}
}

// closeAfterWrites closes a connection after writing its pending output.
func (g *Gateway) closeAfterWrites(buffer *outputBuffer) {
	if buffer.closed {
		return
	}
	g.flushNow(buffer)
	buffer.closed = true
	g.emit(CloseConnection{Conn: buffer.id})
}
