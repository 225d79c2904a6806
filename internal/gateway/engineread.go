package gateway

import (
	"errors"
	"maps"
	"slices"

	"foxlane/internal/engine"
	"foxlane/internal/memory"
	"foxlane/rules"
)

// This file handles the input from engines. A protocol violation ends the connection.

// handleEngineData handles bytes received from an engine.
func (g *Gateway) handleEngineData(conn *engineConn, data []byte) {
	conn.lastUsed, conn.lastRead, conn.engine.lastRead = g.now, g.now, g.now
	conn.decoder.Feed(data)
	defer g.updateEngineInput(conn)
	for !conn.closed {
		answer, ok, err := conn.decoder.Next()
		if err != nil {
			g.failEngineConn(conn, err)
			return
		}
		if !ok {
			g.awaitCompletion(conn)
			return
		}
		if attempt := conn.inFlight[string(answer.ID)]; attempt != nil {
			g.receiveAnswer(attempt, &answer)
		} else if probe := conn.probes[string(answer.ID)]; probe != nil {
			status := rules.StatusError
			if answer.Kind == engine.Healthy {
				status = rules.StatusOK
			}
			g.finishProbe(probe, status, answer.Report)
		}
		// Any other answer belongs to an attempt or probe that was abandoned.
	}
}

// updateEngineInput updates the memory of an incomplete answer.
func (g *Gateway) updateEngineInput(conn *engineConn) {
	if conn.closed || conn.decoder.Buffered() == 0 {
		g.setEngineInput(conn, 0)
	} else {
		g.setEngineInput(conn, int64(conn.decoder.Capacity()))
	}
}

func (g *Gateway) setEngineInput(conn *engineConn, n int64) {
	if n != conn.inputBytes {
		g.memory.Add(memory.EngineInput, n-conn.inputBytes)
		conn.inputBytes = n
	}
}

// failEngineConn ends a connection after a malformed or incomplete answer, since the start of the next answer is
// unknown. This does not count against the engine, because answers may also be corrupted in transit.
func (g *Gateway) failEngineConn(conn *engineConn, err error) {
	g.log(Warn, "engine: protocol error", Attr{keyEngine, conn.engine.entry.ID}, Attr{keyRequests, conn.load()},
		Attr{keyError, err.Error()})
	conn.output = nil // discards attempts that were not emitted yet, which have not run
	for _, id := range slices.Sorted(maps.Keys(conn.inFlight)) {
		// Emitted attempts are cancelled, since the engine may keep running them after the close.
		if conn.inFlight[id].endOffset <= conn.emittedBytes {
			conn.output = engine.AppendCancel(conn.output, id)
		}
	}
	accepted := conn.emittedBytes // without the cancels, which are emitted by the close
	g.closeEngineConn(conn, CloseEngineMalformed)
	g.handleEngineConnEnded(conn, err, accepted, true)
}

// errAnswerIncomplete is the error of a connection on which an answer was not completed in time.
var errAnswerIncomplete = errors.New("engine: answer incomplete")

// awaitCompletion sets a timer that ends the connection if a partially received answer makes no progress. A
// truncated answer would block all requests on its connection, and the decoder would read the following answers as
// its remainder.
func (g *Gateway) awaitCompletion(conn *engineConn) {
	if conn.decoder.Buffered() > 0 && !conn.completionTimerSet {
		conn.completionTimerSet = true
		g.timers.add(timer{at: conn.lastRead + g.limits.AnswerStallTimeout, kind: timerAnswerComplete, conn: conn})
	}
}

// checkCompletion ends a connection if nothing was read for AnswerStallTimeout within an answer.
func (g *Gateway) checkCompletion(conn *engineConn) {
	conn.completionTimerSet = false
	switch {
	case conn.closed || conn.decoder.Buffered() == 0:
	case g.now-conn.lastRead < g.limits.AnswerStallTimeout:
		g.awaitCompletion(conn)
	default:
		g.failEngineConn(conn, errAnswerIncomplete)
	}
}
