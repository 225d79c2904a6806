package gateway

import (
	"bytes"
	"strconv"

	"foxlane/internal/mysql"
	"foxlane/internal/spool"
)

// This file gives stored results to clients. The next chunk is written once the client's connection has taken the last one, so
// that a slow client costs one chunk of memory.

// noSuchResult is the answer to whatever is wrong with a handle: who guesses learns nothing from it.
const noSuchResult = "no such result"

// resultReader is how far a client has read a stored result.
type resultReader struct {
	slot          int
	id            spool.ID
	nextSeq       byte // of the next packet
	headerWritten bool // the columns are written
	resumable     bool // the client gets the handle, by which it may read again
	lastChunk     int  // the chunk that was written last
	complete      bool // that was the last chunk of the result
	handle        spool.Handle
}

// serveStored begins the answer to a request whose result is complete.
func (g *Gateway) serveStored(req *queryRequest) {
	delete(g.results.filling, req.result.handle.ID)
	client := req.client
	if req.answered || client == nil {
		g.handleSpool(spool.Release{ID: req.result.handle.ID})
		return
	}
	client.reader = &resultReader{id: req.result.handle.ID, nextSeq: 1, resumable: req.result.resumable, handle: req.result.handle}
	g.finishServed(req)
	g.attachReader(client, req.resultOwner, 0)
}

// attachReader lets a client read from a chunk on.
func (g *Gateway) attachReader(client *clientConn, owner uint64, from int) {
	reader := client.reader
	reader.slot = g.results.readers.allocate(client)
	g.handleSpool(spool.Attach{Reader: reader.slot, ID: reader.id, Secret: reader.handle.Secret(), Tenant: owner, Index: from})
}

// resumeResult takes a client's command to read a result again, or to release it.
func (g *Gateway) resumeResult(client *clientConn, resume *mysql.Resume) {
	handle, err := spool.ParseHandle([]byte(resume.Handle))
	if g.results == nil || err != nil {
		g.rejectCommand(client, mysql.CodeUnknownError, noSuchResult)
		return
	}
	client.reader = &resultReader{id: handle.ID, nextSeq: 1, resumable: true, handle: handle}
	if resume.Release {
		client.reader.slot = g.results.readers.allocate(client)
		g.handleSpool(spool.Acknowledge{Reader: client.reader.slot, ID: handle.ID, Secret: handle.Secret(), Tenant: tenantKey(resume.Tenant)})
		return
	}
	g.attachReader(client, tenantKey(resume.Tenant), resume.FromChunk)
}

// writeChunk writes a chunk and asks to be notified once the client's connection has taken it.
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
		g.watchClient(client)
		return
	}
	client.output = mysql.AppendEnd(client.output, reader.nextSeq)
	if reader.resumable { // stored until the client acknowledges it or its lease ends
		g.handleSpool(spool.Detach{Reader: reader.slot})
	} else {
		g.handleSpool(spool.NextChunk{Reader: reader.slot, Index: effect.Index + 1})
	}
	g.removeReader(client)
	g.clientBecameIdle(client)
}

// resultAcknowledged answers a client that has released a result.
func (g *Gateway) resultAcknowledged(client *clientConn) {
	g.removeReader(client)
	g.writeOK(client)
	g.clientBecameIdle(client)
}

// resultDenied answers a client that may not have the result that it named.
func (g *Gateway) resultDenied(client *clientConn) {
	g.removeReader(client)
	g.rejectCommand(client, mysql.CodeUnknownError, noSuchResult)
	g.clientBecameIdle(client)
}

// appendRow appends the next row of the result. It is well-formed: pages were checked when they came.
func (r *resultReader) appendRow(output, row []byte) []byte {
	output, r.nextSeq, _ = mysql.AppendRow(output, r.nextSeq, row, columnCount)
	return output
}

// watchClient asks to be notified once the client's connection has taken all that was written to it.
func (g *Gateway) watchClient(client *clientConn) {
	g.flushNow(&client.outputBuffer)
	g.emit(NotifyDrained{Conn: client.id})
}

// clientDrained gives a client that has taken a chunk the next one.
func (g *Gateway) clientDrained(client *clientConn) {
	if reader := client.reader; reader != nil && reader.headerWritten && !reader.complete {
		g.handleSpool(spool.NextChunk{Reader: reader.slot, Index: reader.lastChunk + 1})
	}
}

// removeReader ends a client's reading.
func (g *Gateway) removeReader(client *clientConn) {
	if client.reader != nil {
		g.results.readers.release(client.reader.slot)
		client.reader, client.answeredBy = nil, g.eventNumber
	}
}

// detachReader ends the reading of a client that has gone. A result without a handle goes with it, since nobody can ask for it
// again.
func (g *Gateway) detachReader(client *clientConn) {
	reader := client.reader
	if reader == nil {
		return
	}
	g.removeReader(client)
	g.handleSpool(spool.Detach{Reader: reader.slot})
	if !reader.resumable {
		g.handleSpool(spool.Release{ID: reader.id})
	}
}

// abortReader ends an answer that can't go on with an error, so that its client can tell it from a complete one.
func (g *Gateway) abortReader(client *clientConn, reason spool.Reason) {
	reader := client.reader
	g.log(Warn, "spool: result lost while being read", Attr{keySession, client.session}, Attr{keyReason, reason.String()})
	client.output = mysql.AppendErr(client.output, reader.nextSeq, mysql.CodeUnknownError, "the result was lost: "+reason.String())
	g.markDirty(&client.outputBuffer)
	g.removeReader(client)
	g.clientBecameIdle(client)
}
