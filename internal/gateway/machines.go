package gateway

import "foxlane/rules"

// This file has what the state machines beside the reducer have in common: the admission controller, the spool and the module.

// alarm is when a state machine wants to be woken; 0: never.
type alarm rules.Time

// ring reports whether the time has come, and clears the alarm if so.
func (a *alarm) ring(now rules.Time) bool {
	if *a == 0 || rules.Time(*a) > now {
		return false
	}
	*a = 0
	return true
}

// serialQueue hands events to a state machine one at a time. An event that arises while the effects of another are carried out
// waits until those are done: the machine is never called from within its own effects, and sees events in the order in which they
// arose.
//
//	if queue.add(event) {
//		for event, ok := queue.next(); ok; event, ok = queue.next() {
//			...
//		}
//	}
type serialQueue[E any] struct {
	events   []E
	position int // of the event that is next
	draining bool
}

// add puts an event at the end. It reports whether the caller must take events until next has none: if not, a caller further up
// the stack does.
func (q *serialQueue[E]) add(event E) (drain bool) {
	q.events = append(q.events, event)
	if q.draining {
		return false
	}
	q.draining = true
	return true
}

// next takes the event that has waited longest. Once there is none, the queue is empty and may be drained again.
func (q *serialQueue[E]) next() (event E, ok bool) {
	if q.position < len(q.events) {
		event = q.events[q.position]
		q.position++
		return event, true
	}
	clear(q.events) // what the events refer to may go
	q.events, q.position, q.draining = q.events[:0], 0, false
	return event, false
}
