package replica

// This file defines the events that a Store handles and the effects that it returns.

// Event is one of Joined, Left, Received and Tick.
type Event interface{ isEvent() }

// Joined reports that another gateway has joined the members or that its zone has changed.
type Joined struct{ Member Member }

// Left reports that a member has left or is considered dead. Only its name is used.
type Left struct{ Member Member }

// Received is a message from another gateway, of which only the name is used. Data is not retained.
type Received struct {
	From Member
	Data []byte
}

// Tick reports that Settings.GossipInterval has passed.
type Tick struct{}

func (Joined) isEvent()   {}
func (Left) isEvent()     {}
func (Received) isEvent() {}
func (Tick) isEvent()     {}

// Effect is one of Send, Updated, Removed and Reject.
type Effect interface{ isEffect() }

// Send requests sending a message to another member as one datagram. Data is valid until the next Handle.
type Send struct {
	To   string
	Data []byte
}

// Updated reports that a new or newer entry of another gateway was stored.
type Updated struct {
	Origin string
	Entry  Entry
}

// Removed reports that an entry of another gateway was removed: it has expired, belongs to an earlier incarnation of
// its origin, or was dropped because an entry of the origin failed its checksum.
type Removed struct {
	Origin string
	Entry  Entry
}

// Reject reports that a message of another gateway was rejected, and why.
type Reject struct {
	From string
	Err  error
}

func (Send) isEffect()    {}
func (Updated) isEffect() {}
func (Removed) isEffect() {}
func (Reject) isEffect()  {}
