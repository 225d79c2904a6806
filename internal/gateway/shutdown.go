package gateway

import (
	"foxlane/internal/admission"
	"foxlane/rules"
)

// This file implements the graceful shutdown, which answers all accepted requests before the process exits.

// beginShutdown notifies the module and admission control of the deadline by which all requests must be answered,
// and limits the time for storing results. New requests are still accepted, since clients are not yet aware of the
// shutdown.
func (g *Gateway) beginShutdown() {
	if g.stopping {
		return
	}
	g.stopping = true
	g.log(Info, "stopping", append([]Attr{{keyInFlight, g.unanswered}}, g.unreadAnswers().attrs()...)...)
	g.reportMemory()
	g.timers.add(timer{at: g.now + g.limits.MinDrainPeriod, kind: timerStop})
	g.shortenStoreDeadlines()
	g.notifyAdmission(admission.Event{Kind: admission.Stopping, Deadline: g.now + g.limits.ShutdownTimeout})
	g.notifyModule(rules.ShutdownStarted{Deadline: g.now + g.limits.ShutdownTimeout})
}

// exitWhenDone emits Exit once the drain period is over and all requests are answered, also those that arrived during a
// stall. It emits Exit in each batch from then on, since requests that are read while the process exits are answered
// first. Clients that have not sent a command receive an error.
func (g *Gateway) exitWhenDone() {
	if !g.drainPeriodOver || g.unanswered > 0 || g.inputPending() {
		return
	}
	if !g.stopped {
		g.stopped = true
		for element := g.newClients.Front(); element != nil; element = g.newClients.Front() {
			g.evictWithError(element.Value.(*clientConn), CloseShutdown, "this gateway ends")
		}
		g.log(Info, "stopped", append([]Attr{{"invariants_violated", g.violations.Sum()}}, g.unreadAnswers().attrs()...)...)
	}
	g.emit(Exit{})
}

// unreadAnswers counts the clients that are still owed bytes of answers.
type unreadAnswers struct {
	reading int   // clients that read a stored result whose last chunk is not written
	blocked int   // clients whose written bytes the operating system has not accepted
	bytes   int64 // of the blocked clients
}

// unreadAnswers counts the clients that are still owed bytes of answers.
func (g *Gateway) unreadAnswers() (unread unreadAnswers) {
	for _, client := range g.clients {
		if client.reader != nil {
			unread.reading++
		}
		if client.blocked() {
			unread.blocked++
			unread.bytes += client.undelivered
		}
	}
	return unread
}

// attrs returns the counts for a log line.
func (u unreadAnswers) attrs() []Attr {
	return []Attr{{"reading", u.reading}, {"blocked", u.blocked}, {"unread_bytes", u.bytes}}
}
