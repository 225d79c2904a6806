package gateway

import (
	"errors"
	"maps"
	"slices"

	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file reads what engines send. Whatever breaks the protocol ends its connection.

// engineData takes bytes that came from an engine.
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
		// Anything else answers what was abandoned meanwhile.
	}
}

// breakEngineConn ends a connection on which an answer came that can't be read or is not complete: where the next answer begins is
// not known any more. The engine is not blamed, since answers are corrupted on the way as well.
func (g *Gateway) breakEngineConn(conn *engineConn, err error) {
	g.log(Warn, "engine: protocol error", Attr{keyEngine, conn.engine.entry.ID}, Attr{keyRequests, conn.load()},
		Attr{keyError, err.Error()})
	conn.output = nil // of what was not handed out yet nothing has run
	for _, id := range slices.Sorted(maps.Keys(conn.inFlight)) {
		if conn.inFlight[id].endOffset <= conn.handedOut { // cancelled by name, since the engine may run it on after the close
			conn.output = engine.AppendCancel(conn.output, id)
		}
	}
	accepted := conn.handedOut // closing hands out the cancels as well
	g.closeEngineConn(conn, CloseEngineMalformed)
	g.engineConnEnded(conn, err, accepted, true)
}

// errAnswerIncomplete is why a connection ends on which an answer stopped short.
var errAnswerIncomplete = errors.New("engine: answer incomplete")

// awaitCompletion sets a timer by which an answer that has begun must be complete: one that stops short would leave all requests on its
// connection waiting, and take the answers after it for its own rest.
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
