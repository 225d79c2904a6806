package gateway

import (
	"bytes"
	"strconv"

	"foxlane/internal/mysql"
	"foxlane/internal/spool"
)

// This file delivers stored results to clients. A chunk is written once the client's connection has accepted the
// previous one, so a slow client occupies the memory of one chunk.

// noSuchResult is the error text for any invalid handle. It does not say what is wrong, so that guessing handles
// reveals nothing.
const noSuchResult = "no such result"

// resultReader is the state of a client that reads a stored result.
type resultReader struct {
	slot          slotID // in resultStore.readers
	id            spool.ID
	nextSeq       byte // sequence number of the next packet
	headerWritten bool // the column definitions were written
	resumable     bool // the client receives the handle and may read the result again
	lastChunk     int  // index of the last written chunk
	complete      bool // all chunks were written
	handle        spool.Handle
}

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
	g.notifySpool(spool.Attach{Reader: spool.ReaderID(reader.slot), ID: reader.id, Secret: reader.handle.Secret(), Tenant: owner, Index: from})
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

// writeChunk writes a chunk and requests a notification once the client's connection has accepted it.
func (g *Gateway) writeChunk(client *clientConn, effect spool.DeliverChunk) {
	reader := client.reader
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
		g.notifyWhenDrained(client)
		return
	}
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
	g.flushNow(&client.outputBuffer)
	g.emit(NotifyDrained{Conn: client.id})
}

// handleClientDrained requests the next chunk for a client whose connection has accepted the last one.
func (g *Gateway) handleClientDrained(client *clientConn) {
	if reader := client.reader; reader != nil && reader.headerWritten && !reader.complete {
		g.notifySpool(spool.NextChunk{Reader: spool.ReaderID(reader.slot), Index: reader.lastChunk + 1})
	}
}

// removeReader ends a client's read of a stored result.
func (g *Gateway) removeReader(client *clientConn) {
	if client.reader != nil {
		g.results.readers.release(client.reader.slot)
		client.reader, client.answeredInEvent = nil, g.eventNumber
	}
}

// detachReader ends the read of a client that has disconnected. A result that is not resumable is released, since
// no client can request it again.
func (g *Gateway) detachReader(client *clientConn) {
	reader := client.reader
	if reader == nil {
		return
	}
	g.removeReader(client)
	g.notifySpool(spool.Detach{Reader: spool.ReaderID(reader.slot)})
	if !reader.resumable {
		g.notifySpool(spool.Release{ID: reader.id})
	}
}

// abortReader ends an interrupted answer with an error, so that the client can distinguish it from a complete one.
func (g *Gateway) abortReader(client *clientConn, reason spool.Reason) {
	reader := client.reader
	g.log(Warn, "spool: result lost while being read", Attr{keySession, client.session}, Attr{keyReason, reason.String()})
	client.output = mysql.AppendErr(client.output, reader.nextSeq, mysql.CodeUnknownError, "the result was lost: "+reason.String())
	g.markDirty(&client.outputBuffer)
	g.removeReader(client)
	g.handleClientIdle(client)
}
