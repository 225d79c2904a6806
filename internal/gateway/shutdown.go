package gateway

import (
	"cmp"
	"slices"

	"foxlane/internal/admission"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file implements the graceful shutdown, which answers all accepted requests before the process exits. Clients have until
// answersDue to read their answers. Then reads of stored results end with an error, and the process exits.

// beginShutdown notifies the module and admission control of the deadline by which all requests must be answered,
// and limits the time for storing results. New requests are still accepted, since clients are not yet aware of the
// shutdown.
func (g *Gateway) beginShutdown() {
	if g.stopping {
		return
	}
	g.stopping, g.answersDue = true, g.now+g.limits.ShutdownTimeout
	g.log(Info, "stopping", append([]Attr{{keyInFlight, g.unanswered}}, g.unreadAnswers().attrs()...)...)
	g.reportMemory()
	g.timers.add(timer{at: g.now + g.limits.MinDrainPeriod, kind: timerStop})
	g.timers.add(timer{at: g.answersDue, kind: timerAnswersDue})
	g.shortenStoreDeadlines()
	g.notifyAdmission(admission.Event{Kind: admission.Stopping, Deadline: g.answersDue})
	g.notifyModule(rules.ShutdownStarted{Deadline: g.answersDue})
}

// answersOverdue reports whether the deadline of the shutdown has passed.
func (g *Gateway) answersOverdue() bool { return g.stopping && g.now >= g.answersDue }

// endReads ends the reads of stored results that are not complete at the deadline of the shutdown, in the order in which
// their clients have connected.
func (g *Gateway) endReads() {
	var reading []*clientConn
	for _, client := range g.clients {
		if client.reader != nil {
			reading = append(reading, client)
		}
	}
	slices.SortFunc(reading, func(left, right *clientConn) int { return cmp.Compare(left.id, right.id) })
	for _, client := range reading {
		g.endReadForShutdown(client)
	}
}

// endReadForShutdown ends the read of a client that has not got its whole answer by the deadline of the shutdown.
func (g *Gateway) endReadForShutdown(client *clientConn) {
	if client.reader != nil {
		g.endRead(client, mysql.CodeServerShutdown, "the gateway shuts down")
		g.handleClientIdle(client)
	}
}

// answersOwed reports whether the exit waits for answers beside those to requests: for clients whose written bytes the
// operating system has not accepted, until the deadline of the shutdown, and for reads of stored results and operators'
// commands, which end by then.
func (g *Gateway) answersOwed() bool {
	unread := g.unreadAnswers()
	return unread.reading > 0 || g.pendingProposals() > 0 || unread.blocked > 0 && !g.answersOverdue()
}

// exitWhenDone emits Exit once the drain period is over, all requests are answered, also those that arrived during a stall,
// and no other answer is owed. It emits Exit in each batch from then on, since requests that are read while the process exits are answered
// first. Clients that have not sent a command receive an error.
func (g *Gateway) exitWhenDone() {
	if !g.drainPeriodOver || g.unanswered > 0 || g.inputPending() || g.answersOwed() {
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
	blocked int   // clients whose written bytes the operating system has not accepted, unless their query was killed
	bytes   int64 // of the blocked clients
}

// unreadAnswers counts the clients that are still owed bytes of answers.
func (g *Gateway) unreadAnswers() (unread unreadAnswers) {
	for _, client := range g.clients {
		if client.reader != nil {
			unread.reading++
		}
		if client.blocked() && !client.killed {
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
