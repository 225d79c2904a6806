package gateway

import "foxlane/rules"

// This file defines what the nested state machines (admission controller, spool and decision module) have in common.

// wakeTime is the time at which a state machine's timer fires; 0 means that it is not set.
type wakeTime rules.Time

// fire reports whether the time is reached, and clears it if so.
func (t *wakeTime) fire(now rules.Time) bool {
	if *t == 0 || rules.Time(*t) > now {
		return false
	}
	*t = 0
	return true
}

// serialQueue delivers events to a state machine one at a time. An event that is added while the effects of another
// one are executed waits until they are done. So the machine is never re-entered from its own effects, and receives
// the events in the order in which they were added.
//
//	if queue.add(event) {
//		for event, ok := queue.next(); ok; event, ok = queue.next() {
//			...
//		}
//	}
type serialQueue[E any] struct {
	events   []E
	position int  // index of the next event
	draining bool // a caller of add is taking events
}

// add appends an event. It reports whether the caller must call next until there are no more events; if not, a
// caller further up the stack does so.
func (q *serialQueue[E]) add(event E) (drain bool) {
	q.events = append(q.events, event)
	if q.draining {
		return false
	}
	q.draining = true
	return true
}

// next removes and returns the oldest event. If there is none, ok is false and the next add starts a new drain.
func (q *serialQueue[E]) next() (event E, ok bool) {
	if q.position < len(q.events) {
		event = q.events[q.position]
		q.position++
		return event, true
	}
	clear(q.events) // releases what the events refer to
	q.events, q.position, q.draining = q.events[:0], 0, false
	return event, false
}
