package gateway

import (
	"errors"
	"foxlane/internal/engine"
	"foxlane/rules"
	"maps"
	"slices"
)

// This file reads what engines send. Whatever breaks the protocol ends its connection.

// engineData takes what came from an engine. Breaking the protocol ends the connection.
func (g *Gateway) engineData(conn *engineConn, data []byte) {
	conn.lastUsed, conn.lastRead, conn.engine.lastRead = g.now, g.now, g.now
	conn.decoder.Feed(data)
	for !conn.closed {
		answer, ok, err := conn.decoder.Next()
		if err != nil {
			g.breakEngineConn(conn, err)
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
		// Anything else answers what was given up meanwhile.
	}
}

// breakEngineConn ends a connection on which an answer came that can't be read or is not whole: nothing behind it
// can be told apart any more. That happens to answers of any engine alike.
func (g *Gateway) breakEngineConn(conn *engineConn, err error) {
	g.log(Warn, "engine: broken protocol", Attr{"engine", conn.engine.entry.ID}, Attr{"requests", conn.load()},
		Attr{"error", err.Error()})
	conn.output = nil // with what was not written yet nothing has run
	for _, id := range slices.Sorted(maps.Keys(conn.inFlight)) {
		if conn.inFlight[id].endOffset <= conn.handedOut { // given up here, whatever becomes of the close
			conn.output = engine.AppendCancel(conn.output, id)
		}
	}
	given := conn.handedOut
	g.closeEngineConn(conn, CloseEngineMalformed)
	g.engineConnEnded(conn, err, given, true)
}

var errAnswerIncomplete = errors.New("engine: an answer never ends")

// awaitCompletion looks later whether an answer that has begun is whole: one that stops short would leave all
// requests on its connection waiting, and swallow what comes behind it.
func (g *Gateway) awaitCompletion(conn *engineConn) {
	if conn.decoder.Buffered() > 0 && !conn.completionTimerSet {
		conn.completionTimerSet = true
		g.timers.add(timer{at: conn.lastRead + g.limits.AnswerStallTimeout, kind: timerAnswerComplete, conn: conn})
	}
}

func (g *Gateway) checkCompletion(conn *engineConn) {
	conn.completionTimerSet = false
	switch {
	case conn.closed || conn.decoder.Buffered() == 0:
	case g.now-conn.lastRead < g.limits.AnswerStallTimeout:
		g.awaitCompletion(conn)
	default:
		g.breakEngineConn(conn, errAnswerIncomplete)
	}
}
