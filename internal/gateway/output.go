package gateway

import "foxlane/rules"

// This file manages the output buffers of connections.

const (
	maxIdleBufferBytes = 2048 // capacity in bytes up to which a connection keeps its empty buffer
)

// outputBuffer is the pending output of a connection.
type outputBuffer struct {
	id           ConnID
	output       []byte
	emittedBytes int64 // total number of bytes emitted in Write effects
	dirty        bool  // listed in Gateway.dirtyBuffers
	closed       bool  // by the gateway or by the peer

	closedByGateway bool       // ConnectionClosed follows
	blockedSince    rules.Time // since when the peer has not read pending writes; 0: not blocked
	undelivered     int64      // while blocked: bytes written that the operating system has not accepted
}

// recycleBuffer empties an output buffer. Large buffers are shared between connections: few results are written at
// a time, and otherwise each of the many connections would keep one.
func (g *Gateway) recycleBuffer(buffer *outputBuffer) {
	if cap(buffer.output) <= maxIdleBufferBytes {
		buffer.output = buffer.output[:0]
		return
	}
	if size := cap(buffer.output); g.freeBufferBytes+size <= g.limits.FreeBufferBytes {
		g.freeBuffers = append(g.freeBuffers, buffer.output[:0])
		g.freeBufferBytes += size
	}
	buffer.output = nil
}

// borrowBuffer gives a connection without pending output a free large buffer, if there is one.
func (g *Gateway) borrowBuffer(buffer *outputBuffer) {
	if n := len(g.freeBuffers) - 1; len(buffer.output) == 0 && n >= 0 {
		buffer.output, g.freeBuffers[n] = g.freeBuffers[n], nil
		g.freeBufferBytes -= cap(buffer.output)
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
		if !buffer.closed {
			g.emitWrite(buffer)
		}
		g.recycleBuffer(buffer)
	}
	clear(g.dirtyBuffers) // otherwise they keep closed connections with their input
	g.dirtyBuffers = g.dirtyBuffers[:0]
}

// flushNow writes the pending output of a connection ahead of that of all others.
func (g *Gateway) flushNow(buffer *outputBuffer) {
	if len(buffer.output) > 0 {
		g.emitWrite(buffer)
		buffer.output = nil
	}
}

// emitWrite emits the pending output of a connection.
func (g *Gateway) emitWrite(buffer *outputBuffer) {
	n := int64(len(buffer.output))
	if n == 0 {
		return
	}
	if buffer.blocked() {
		g.setUndelivered(buffer, buffer.undelivered+n)
	}
	buffer.emittedBytes += n
	g.pressure.batchOutput += int64(cap(buffer.output))
	g.effects.write(buffer.id, buffer.output)
}

// closeAfterWrites closes a connection after writing its pending output.
func (g *Gateway) closeAfterWrites(buffer *outputBuffer) {
	if buffer.closed {
		return
	}
	g.flushNow(buffer)
	buffer.closed, buffer.closedByGateway = true, true
	g.emit(CloseConnection{Conn: buffer.id})
}
