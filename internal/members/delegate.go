package members

import (
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"
)

// This file is what memberlist calls, from its own goroutines.

// delegate implements memberlist.Delegate.
type delegate struct{ m *Membership }

// NodeMeta returns what other members learn of this one: its zone.
func (d delegate) NodeMeta(int) []byte { return []byte(d.m.settings.Zone) }

// NotifyMsg takes a message: its channel, the length of the sender's name, the name, and the data.
func (d delegate) NotifyMsg(msg []byte) {
	if len(msg) < 2 || len(msg) < 2+int(msg[1]) {
		return
	}
	d.m.stats.bytesReceived.Add(int64(len(msg)))
	end := 2 + int(msg[1])
	d.m.enqueue(Event{Kind: Received, Channel: msg[0], Name: string(msg[2:end]), Data: append([]byte(nil), msg[end:]...)})
}

// GetBroadcasts returns nothing: memberlist spreads membership only.
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing: internal/replica exchanges state.
func (delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, as LocalState.
func (delegate) MergeRemoteState([]byte, bool) {}

// events implements memberlist.EventDelegate.
type events struct{ m *Membership }

// NotifyJoin reports a member that has joined.
func (e events) NotifyJoin(n *memberlist.Node) {
	if n.Name == e.m.settings.Name {
		return
	}
	e.m.mu.Lock()
	e.m.nodes[n.Name] = n
	e.m.mu.Unlock()
	e.m.enqueue(Event{Kind: Joined, Name: n.Name, Zone: string(n.Meta), Addr: netip.AddrPortFrom(addrOf(n.Addr), n.Port)})
}

// NotifyLeave reports a member that has left or is held to be dead.
func (e events) NotifyLeave(n *memberlist.Node) {
	if n.Name == e.m.settings.Name {
		return
	}
	e.m.mu.Lock()
	delete(e.m.nodes, n.Name)
	e.m.mu.Unlock()
	e.m.enqueue(Event{Kind: Left, Name: n.Name})
}

// NotifyUpdate reports a member whose zone or address has changed, as one that joins.
func (e events) NotifyUpdate(n *memberlist.Node) { e.NotifyJoin(n) }

// conflicts implements memberlist.ConflictDelegate.
type conflicts struct{ m *Membership }

// NotifyConflict reports a second process with a member's name. The first one remains the member.
func (c conflicts) NotifyConflict(existing, other *memberlist.Node) {
	c.m.enqueue(Event{Kind: NameConflict, Name: other.Name, Text: fmt.Sprintf("%s and %s", existing.Address(), other.Address())})
}
