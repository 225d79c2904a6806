package emulator

import (
	"foxlane/internal/replica"
	"foxlane/rules"
)

// Copier is a member of a Talk that keeps copies.
type Copier struct {
	Replica *replica.Store
	Heard   func(now rules.Time, origin string, e replica.Entry) // nil: nobody listens
	Refused []error
}

// Hear takes a datagram.
func (c *Copier) Hear(now rules.Time, from string, data []byte, say func(string, []byte)) {
	c.handle(now, replica.Event{Kind: replica.Received, Member: replica.Member{Name: from}, Data: data}, say)
}

// Tick lets time pass.
func (c *Copier) Tick(now rules.Time, say func(string, []byte)) {
	c.handle(now, replica.Event{Kind: replica.Tick}, say)
}

// Meet tells the member of another, and Part that it has gone.
func (c *Copier) Meet(now rules.Time, m replica.Member) {
	c.handle(now, replica.Event{Kind: replica.Joined, Member: m}, nil)
}

// Part tells the member that another has gone.
func (c *Copier) Part(now rules.Time, name string) {
	c.handle(now, replica.Event{Kind: replica.Left, Member: replica.Member{Name: name}}, nil)
}

func (c *Copier) handle(now rules.Time, e replica.Event, say func(string, []byte)) {
	for _, f := range c.Replica.Handle(now, e) {
		switch f.Kind {
		case replica.Send:
			say(f.To, f.Data)
		case replica.Updated:
			if c.Heard != nil {
				c.Heard(now, f.Origin, f.Entry)
			}
		case replica.Reject:
			c.Refused = append(c.Refused, f.Err)
		}
	}
}
