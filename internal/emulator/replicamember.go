package emulator

import (
	"foxlane/internal/replica"
	"foxlane/rules"
)

// ReplicaMember is a member of a DatagramNetwork that holds a replica.
type ReplicaMember struct {
	Replica  *replica.Store
	OnEntry  func(now rules.Time, origin string, e replica.Entry) // called for each new entry; may be nil
	Rejected []error                                              // reasons of rejected datagrams
}

// Receive passes a datagram to the replica.
func (m *ReplicaMember) Receive(now rules.Time, from string, data []byte, send func(string, []byte)) {
	m.handle(now, replica.Received{From: replica.Member{Name: from}, Data: data}, send)
}

// Tick runs the periodic work of the replica.
func (m *ReplicaMember) Tick(now rules.Time, send func(string, []byte)) {
	m.handle(now, replica.Tick{}, send)
}

// MemberJoined notifies the replica that another member has joined.
func (m *ReplicaMember) MemberJoined(now rules.Time, member replica.Member) {
	m.handle(now, replica.Joined{Member: member}, nil)
}

// MemberLeft notifies the replica that another member has left.
func (m *ReplicaMember) MemberLeft(now rules.Time, name string) {
	m.handle(now, replica.Left{Member: replica.Member{Name: name}}, nil)
}

func (m *ReplicaMember) handle(now rules.Time, e replica.Event, send func(string, []byte)) {
	for _, effect := range m.Replica.Handle(now, e) {
		switch effect := effect.(type) {
		case replica.Send:
			send(effect.To, effect.Data)
		case replica.Updated:
			if m.OnEntry != nil {
				m.OnEntry(now, effect.Origin, effect.Entry)
			}
		case replica.Reject:
			m.Rejected = append(m.Rejected, effect.Err)
		}
	}
}
