package members

import (
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"
)

// This file implements the interfaces that memberlist calls from its own goroutines.

// delegate implements memberlist.Delegate.
type delegate struct{ m *Membership }

// NodeMeta returns the zone, which memberlist distributes to the other members.
func (d delegate) NodeMeta(int) []byte { return []byte(d.m.settings.Zone) }

// NotifyMsg enqueues a message, which consists of a channel byte, the length of the sender's name, the name and the
// data. Malformed messages are dropped.
func (d delegate) NotifyMsg(msg []byte) {
	if len(msg) < 2 || len(msg) < 2+int(msg[1]) {
		return
	}
	d.m.stats.bytesReceived.Add(int64(len(msg)))
	nameEnd := 2 + int(msg[1])
	d.m.enqueue(Event{Kind: Received, Channel: msg[0], Name: string(msg[2:nameEnd]), Data: append([]byte(nil), msg[nameEnd:]...)})
}

// GetBroadcasts returns nil, since memberlist distributes membership only.
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nil, since internal/replica exchanges state.
func (delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing; see LocalState.
func (delegate) MergeRemoteState([]byte, bool) {}

// eventDelegate implements memberlist.EventDelegate.
type eventDelegate struct{ m *Membership }

// NotifyJoin reports a member that has joined.
func (e eventDelegate) NotifyJoin(node *memberlist.Node) {
	if node.Name == e.m.settings.Name {
		return
	}
	e.m.mu.Lock()
	e.m.nodes[node.Name] = node
	e.m.mu.Unlock()
	e.m.enqueue(Event{Kind: Joined, Name: node.Name, Zone: string(node.Meta), Addr: netip.AddrPortFrom(toAddr(node.Addr), node.Port)})
}

// NotifyLeave reports a member that has left or is considered dead.
func (e eventDelegate) NotifyLeave(node *memberlist.Node) {
	if node.Name == e.m.settings.Name {
		return
	}
	e.m.mu.Lock()
	delete(e.m.nodes, node.Name)
	e.m.mu.Unlock()
	e.m.enqueue(Event{Kind: Left, Name: node.Name})
}

// NotifyUpdate reports a member whose zone or address has changed as one that has joined.
func (e eventDelegate) NotifyUpdate(node *memberlist.Node) { e.NotifyJoin(node) }

// conflictDelegate implements memberlist.ConflictDelegate.
type conflictDelegate struct{ m *Membership }

// NotifyConflict reports a second process with the name of a member. The first process remains the member.
func (c conflictDelegate) NotifyConflict(existing, other *memberlist.Node) {
	c.m.enqueue(Event{Kind: NameConflict, Name: other.Name, Text: fmt.Sprintf("%s and %s", existing.Address(), other.Address())})
}
