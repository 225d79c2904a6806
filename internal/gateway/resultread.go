package gateway

import (
	"bytes"
	"strconv"

	"foxlane/internal/memory"
	"foxlane/internal/mysql"
	"foxlane/internal/spool"
)

// This file delivers stored results to clients. A chunk is written once the client's connection has accepted the
// previous one. It is loaded ahead of that while there is memory, so a slow client occupies the memory of two chunks at most.

// noSuchResult is the error text for any invalid handle. It does not say what is wrong, so that guessing handles
// reveals nothing.
const noSuchResult = "no such result"

// resultReader is the state of a client that reads a stored result.
type resultReader struct {
	slot          slotID // in resultStore.readers
	id            spool.ID
	nextSeq       byte                // sequence number of the next packet
	headerWritten bool                // the column definitions were written
	resumable     bool                // the client receives the handle and may read the result again
	lastChunk     int                 // index of the last written chunk
	complete      bool                // all chunks were written
	undrained     bool                // the client's connection has not accepted the last written chunk
	requested     bool                // the chunk after the last written one was requested from the spool
	ahead         *spool.DeliverChunk // that chunk, if it came before the last written one was accepted
	unsentLimit   unsentLimit
	handle        spool.Handle
}

// unsentLimit is the state of the limit on what the operating system holds unsent of a read.
type unsentLimit uint8

const (
	unsentUnlimited unsentLimit = iota // the read has one chunk, or has not begun
	unsentLimited
	unsentLifted // the read ends
)

// serveStoredResult starts the answer to a request whose stored result is complete.
func (g *Gateway) serveStoredResult(req *queryRequest) {
	delete(g.results.filling, req.result.handle.ID)
	client := req.client
	if req.answered || client == nil {
		g.notifySpool(spool.Release{ID: req.result.handle.ID})
		return
	}
	client.reader = &resultReader{id: req.result.handle.ID, nextSeq: 1, resumable: req.result.resumable, handle: req.result.handle}
	g.finishServed(req)
	g.attachReader(client, req.resultOwner, 0)
}

// attachReader starts reading a stored result from the given chunk.
func (g *Gateway) attachReader(client *clientConn, owner uint64, from int) {
	reader := client.reader
	reader.slot = g.results.readers.allocate(client)
	g.requestInTurn(reader, spool.Attach{Reader: spool.ReaderID(reader.slot), ID: reader.id, Secret: reader.handle.Secret(), Tenant: owner, Index: from})
	if g.answersOverdue() {
		g.endReadForShutdown(client)
	}
}

// resumeResult handles a client's command to read a stored result again or to release it.
func (g *Gateway) resumeResult(client *clientConn, resume *mysql.Resume) {
	handle, err := spool.ParseHandle([]byte(resume.Handle))
	if g.results == nil || err != nil {
		g.rejectCommand(client, mysql.CodeUnknownError, noSuchResult)
		return
	}
	client.reader = &resultReader{id: handle.ID, nextSeq: 1, resumable: true, handle: handle}
	if resume.Release {
		client.reader.slot = g.results.readers.allocate(client)
		g.notifySpool(spool.Acknowledge{Reader: spool.ReaderID(client.reader.slot), ID: handle.ID, Secret: handle.Secret(), Tenant: tenantKey(resume.Tenant)})
		return
	}
	g.attachReader(client, tenantKey(resume.Tenant), resume.FromChunk)
}

// deliverChunk writes a chunk, or keeps it until the client's connection has accepted the last one.
func (g *Gateway) deliverChunk(client *clientConn, effect spool.DeliverChunk) {
	if reader := client.reader; reader.undrained {
		reader.ahead = &effect
		g.memory.Add(memory.ClientOutput, int64(len(effect.Data)))
		return
	}
	g.writeChunk(client, effect)
}

// writeChunk writes a chunk and requests a notification once the client's connection has accepted it.
func (g *Gateway) writeChunk(client *clientConn, effect spool.DeliverChunk) {
	reader := client.reader
	reader.requested = false
	if !reader.headerWritten {
		reader.headerWritten = true
		client.output, reader.nextSeq = mysql.AppendColumns(client.output, reader.nextSeq, columnNames)
		if reader.resumable {
			client.output = reader.appendRow(client.output, []byte("#handle\t"+reader.handle.String()+"\t"+strconv.Itoa(effect.End)))
		}
	}
	for page := effect.Data; len(page) > 0; {
		var row []byte
		row, page, _ = bytes.Cut(page, []byte{'\n'})
		client.output = reader.appendRow(client.output, row)
	}
	if reader.resumable {
		client.output = reader.appendRow(client.output, []byte("#page\t"+strconv.Itoa(effect.Index)+"\t"+strconv.Itoa(effect.End)))
	}
	reader.lastChunk, reader.complete = effect.Index, effect.Last
	g.markDirty(&client.outputBuffer)
	if !effect.Last {
		g.limitUnsent(client)
		g.notifyWhenDrained(client)
		g.loadAhead(client)
		return
	}
	g.liftUnsentLimit(client)
	client.output = mysql.AppendEnd(client.output, reader.nextSeq)
	if reader.resumable { // stored until the client acknowledges it or its lease ends
		g.notifySpool(spool.Detach{Reader: spool.ReaderID(reader.slot)})
	} else {
		g.notifySpool(spool.NextChunk{Reader: spool.ReaderID(reader.slot), Index: effect.Index + 1})
	}
	g.removeReader(client)
	g.handleClientIdle(client)
}

// confirmResultRelease confirms the release of a result to the client.
func (g *Gateway) confirmResultRelease(client *clientConn) {
	g.removeReader(client)
	g.writeOK(client)
	g.handleClientIdle(client)
}

// denyResult answers a client that may not read the result it requested.
func (g *Gateway) denyResult(client *clientConn) {
	g.removeReader(client)
	g.rejectCommand(client, mysql.CodeUnknownError, noSuchResult)
	g.handleClientIdle(client)
}

// appendRow appends a row of the result. The row is well-formed, since pages are checked when they are received.
func (r *resultReader) appendRow(output, row []byte) []byte {
	output, r.nextSeq, _ = mysql.AppendRow(output, r.nextSeq, row, columnCount)
	return output
}

// notifyWhenDrained requests a WriteDrained event once the client's connection has accepted all its output.
func (g *Gateway) notifyWhenDrained(client *clientConn) {
	client.reader.undrained = true
	g.flushNow(&client.outputBuffer)
	g.emit(NotifyDrained{Conn: client.id})
}

// loadAhead requests the next chunk while the last one is being accepted, unless clients that do not read have taken half of
// the memory for results.
func (g *Gateway) loadAhead(client *clientConn) {
	if g.memory.Fits(memory.ClientOutput, int64(g.limits.ResultBufferBytes/2)) {
		g.requestChunk(client.reader)
	}
}

// requestChunk requests the chunk after the last written one.
func (g *Gateway) requestChunk(reader *resultReader) {
	reader.requested = true
	g.requestInTurn(reader, spool.NextChunk{Reader: spool.ReaderID(reader.slot), Index: reader.lastChunk + 1})
}

// handleClientDrained writes the next chunk for a client whose connection has accepted the last one, or requests it.
func (g *Gateway) handleClientDrained(client *clientConn) {
	reader := client.reader
	if reader == nil || !reader.headerWritten || reader.complete {
		return
	}
	reader.undrained = false
	switch {
	case reader.ahead != nil:
		g.writeChunk(client, g.takeAhead(reader))
	case !reader.requested:
		g.requestChunk(reader)
	}
}

// takeAhead returns the chunk that was loaded ahead, and credits its memory.
func (g *Gateway) takeAhead(reader *resultReader) spool.DeliverChunk {
	chunk := *reader.ahead
	reader.ahead = nil
	g.memory.Add(memory.ClientOutput, -int64(len(chunk.Data)))
	return chunk
}

// limitUnsent leaves the operating system room for the error that ends an interrupted answer: a client that reads too slowly,
// or not before the process has ended, gets what the operating system has taken.
func (g *Gateway) limitUnsent(client *clientConn) {
	if client.reader.unsentLimit == unsentUnlimited {
		client.reader.unsentLimit = unsentLimited
		g.emit(LimitUnsent{Conn: client.id, Bytes: g.limits.UnsentBytes})
	}
}

// liftUnsentLimit lets the operating system take all that is written to a client that reads a stored result.
func (g *Gateway) liftUnsentLimit(client *clientConn) {
	if client.reader.unsentLimit == unsentLimited {
		client.reader.unsentLimit = unsentLifted
		g.emit(LimitUnsent{Conn: client.id})
	}
}

// removeReader ends a client's read of a stored result.
func (g *Gateway) removeReader(client *clientConn) {
	if client.reader != nil {
		if client.reader.ahead != nil {
			g.takeAhead(client.reader)
		}
		g.results.turns.remove(client.reader)
		g.results.readers.release(client.reader.slot)
		client.reader, client.answeredInEvent = nil, g.eventNumber
	}
}

// detachReader ends the read of a client that has disconnected.
func (g *Gateway) detachReader(client *clientConn) {
	if reader := client.reader; reader != nil {
		g.removeReader(client)
		g.leaveResult(reader)
	}
}

// leaveResult notifies the spool that a read has ended before its last chunk. A result that is not resumable is released,
// since no client can request it again.
func (g *Gateway) leaveResult(reader *resultReader) {
	g.notifySpool(spool.Detach{Reader: spool.ReaderID(reader.slot)})
	if !reader.resumable {
		g.notifySpool(spool.Release{ID: reader.id})
	}
}

// abortReader ends the answer of a client whose result was lost.
func (g *Gateway) abortReader(client *clientConn, reason spool.Reason) {
	g.log(Warn, "spool: result lost while being read", Attr{keySession, client.session}, Attr{keyReason, reason.String()})
	g.failRead(client, mysql.CodeUnknownError, "the result was lost: "+reason.String())
	g.handleClientIdle(client)
}

// endRead ends the answer of a client that reads a stored result, for a reason that does not lie in the result. The error says
// whether the result is kept.
func (g *Gateway) endRead(client *clientConn, code uint16, reason string) {
	reader := client.reader
	if reader == nil {
		return
	}
	text := reason
	if reader.resumable && g.cfg.Site.Spool.Folder != "" {
		text += ": the result is kept, read it again by its handle"
	}
	g.log(Info, "spool: answer ended early", Attr{keySession, client.session}, Attr{"chunks", reader.lastChunk + 1},
		Attr{"resumable", reader.resumable}, Attr{keyReason, reason})
	g.failRead(client, code, text)
	g.leaveResult(reader)
}

// failRead ends an interrupted answer with an error, so that the client can distinguish it from a complete one.
func (g *Gateway) failRead(client *clientConn, code uint16, text string) {
	g.liftUnsentLimit(client)
	client.output = mysql.AppendErr(client.output, client.reader.nextSeq, code, text)
	g.markDirty(&client.outputBuffer)
	g.removeReader(client)
}
