package replica

// This file has the events that a Store takes and the effects that it returns.

// Event is something that happened: one of Joined, Left, Received and Tick.
type Event interface{ isEvent() }

// Joined says that another gateway has joined the members, or that what is known of a member has changed.
type Joined struct{ Member Member }

// Left says that a member has left or is held to be dead. Only its name is looked at.
type Left struct{ Member Member }

// Received is a message that arrived from another gateway, of which only the name is looked at. Data is not retained.
type Received struct {
	From Member
	Data []byte
}

// Tick says that Settings.GossipInterval has passed.
type Tick struct{}

func (Joined) isEvent()   {}
func (Left) isEvent()     {}
func (Received) isEvent() {}
func (Tick) isEvent()     {}

// Effect is something to do or to know: one of Send, Updated, Removed and Reject.
type Effect interface{ isEffect() }

// Send sends a message to another member, as one datagram. Data is valid until the next Handle.
type Send struct {
	To   string
	Data []byte
}

// Updated says that an entry of another gateway is new or newer here.
type Updated struct {
	Origin string
	Entry  Entry
}

// Removed says that an entry of another gateway is held no longer: it has expired, belongs to an earlier incarnation of its origin, or
// was dropped with a copy that failed its checksum.
type Removed struct {
	Origin string
	Entry  Entry
}

// Reject says that what another gateway sent can't be used, and why.
type Reject struct {
	From string
	Err  error
}

func (Send) isEffect()    {}
func (Updated) isEffect() {}
func (Removed) isEffect() {}
func (Reject) isEffect()  {}
