package transport

import (
	"foxlane/internal/gateway"
	"foxlane/rules"
)

// This file notifies the reducer of clients that have left ahead of the input that they sent before. All of a batch is
// handled before any of its effects is executed, and a process with little processor time reads a client's last query and
// its end together, long after both: what has no reader any more must not be sent to an engine.

// departures are the clients whose connections have ended within a batch.
type departures map[gateway.ConnID]struct{}

// collect replaces the departures by those of a batch.
func (d departures) collect(events []queuedEvent) {
	clear(d)
	for i := range events {
		if closed, ok := events[i].event.(gateway.ConnectionClosed); ok && !closed.Conn.Dialled() {
			d[closed.Conn] = struct{}{}
		}
	}
}

// stepEvents passes the events of a batch to the reducer.
func (l *reducerLoop) stepEvents(now rules.Time) {
	l.departures.collect(l.events)
	for i := range l.events {
		if closed, ok := l.events[i].event.(gateway.ConnectionClosed); ok && !closed.Conn.Dialled() { // in the order of the batch
			l.reducer.Step(now, gateway.ClientLeaving{Conn: closed.Conn})
		}
	}
	for i := range l.events {
		event := l.events[i].unwrap()
		l.reducer.Step(now, event)
		if accepted, ok := event.(gateway.ConnectionAccepted); ok {
			if _, departed := l.departures[accepted.Conn]; departed {
				l.reducer.Step(now, gateway.ClientLeaving{Conn: accepted.Conn})
			}
		}
	}
}
