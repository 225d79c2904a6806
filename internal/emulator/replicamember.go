package emulator

import (
	"foxlane/internal/replica"
	"foxlane/rules"
)

// ReplicaMember is a member of a Talk that keeps copies.
type ReplicaMember struct {
	Replica  *replica.Store
	OnEntry  func(now rules.Time, origin string, e replica.Entry) // nil: nobody listens
	Rejected []error
}

// Receive takes a datagram.
func (c *ReplicaMember) Receive(now rules.Time, from string, data []byte, say func(string, []byte)) {
	c.handle(now, replica.Event{Kind: replica.Received, Member: replica.Member{Name: from}, Data: data}, say)
}

// Tick lets time pass.
func (c *ReplicaMember) Tick(now rules.Time, say func(string, []byte)) {
	c.handle(now, replica.Event{Kind: replica.Tick}, say)
}

// MemberJoined tells the member of another, and Part that it has gone.
func (c *ReplicaMember) MemberJoined(now rules.Time, m replica.Member) {
	c.handle(now, replica.Event{Kind: replica.Joined, Member: m}, nil)
}

// MemberLeft tells the member that another has gone.
func (c *ReplicaMember) MemberLeft(now rules.Time, name string) {
	c.handle(now, replica.Event{Kind: replica.Left, Member: replica.Member{Name: name}}, nil)
}

func (c *ReplicaMember) handle(now rules.Time, e replica.Event, say func(string, []byte)) {
	for _, f := range c.Replica.Handle(now, e) {
		switch f.Kind {
		case replica.Send:
			say(f.To, f.Data)
		case replica.Updated:
			if c.OnEntry != nil {
				c.OnEntry(now, f.Origin, f.Entry)
			}
		case replica.Reject:
			c.Rejected = append(c.Rejected, f.Err)
		}
	}
}
