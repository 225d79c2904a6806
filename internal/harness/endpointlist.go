package harness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"foxlane/internal/standin"
)

// This file owns the engine list that name servers publish: its versions, its serial numbers, which by the operators' protocol
// begin anew with each start of a gateway, faults of answers, and when a gateway counts as notified of a change.

// endpointList is the list as the name server of one gateway publishes it.
type endpointList struct {
	mu            sync.Mutex
	version       uint32 // published now
	serialBase    uint32 // a version less this is its serial number in the present incarnation
	incarnation   int    // of the serial numbers
	hosts         []standin.Host
	past          []pastList     // the last maxPastLists
	notifications []notification // of the present incarnation, in order of versions; never empty
	rng           *rand.Rand
}

// pastList is a list that was published before, under the serial number it had then.
type pastList struct {
	incarnation int
	serial      uint32
	hosts       []standin.Host
}

// notification is when a gateway was first notified of a version.
type notification struct {
	version uint32
	at      time.Time // zero: not yet, as far as is known
	sends   int       // answers sent with it
}

const (
	maxPastLists   = 32              // of one gateway
	maxNotifyDelay = 7 * time.Second // a gateway counts as notified this long after a change, whether or not an answer arrived
)

// publishList publishes the present list to all gateways as a new version, after a delay.
func (f *fleet) publishList(after time.Duration) {
	f.mu.Lock()
	f.listVersion++
	version := f.listVersion
	all := make([][]standin.Host, len(f.gateways))
	for i := range all {
		all[i] = f.hosts(i)
	}
	f.mu.Unlock()
	publish := func() {
		f.mu.Lock()
		for len(f.publishedAt) <= int(version) {
			f.publishedAt = append(f.publishedAt, time.Now())
		}
		f.mu.Unlock()
		for i, g := range f.gateways {
			g.publish(version, all[i])
		}
	}
	if after <= 0 {
		publish()
		return
	}
	time.AfterFunc(after, publish)
}

// hosts is the present list for a gateway, with the addresses of its proxies. f.mu is held.
func (f *fleet) hosts(gateway int) (out []standin.Host) {
	for _, e := range f.engines {
		draining, unlisted := e.listStatus(f.listVersion)
		if !f.unlisted[e.index] && !unlisted {
			out = append(out, e.listEntry(gateway, draining))
		}
	}
	return out
}

// publish has the gateway's name server answer with a version from now on, unless a later one is published.
func (g *gateway) publish(version uint32, hosts []standin.Host) {
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.version {
		return
	}
	l.version, l.hosts = version, hosts
	l.publishLocked(g)
}

// publishLocked has the name server answer with the present version. l.mu is held.
func (l *endpointList) publishLocked(g *gateway) {
	serial := l.version - l.serialBase
	l.past = append(l.past, pastList{l.incarnation, serial, l.hosts})
	if len(l.past) > maxPastLists {
		l.past = slices.Delete(l.past, 0, 1)
	}
	g.nameServer.SetHosts(serial, l.hosts)
}

// startList prepares the list for a start of the gateway: serial numbers begin anew, and the gateway learns the present list from
// its configuration.
func (g *gateway) startList() {
	f, l := g.fleet, &g.list
	f.mu.Lock()
	version, hosts := f.listVersion, f.hosts(g.index)
	f.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng == nil {
		l.rng = rand.New(rand.NewPCG(f.Seed, uint64(g.index)+500))
	}
	l.incarnation++
	l.version, l.serialBase, l.hosts = version, version-1, hosts
	l.notifications = []notification{{version: version, at: time.Now(), sends: 1}}
	l.publishLocked(g)
}

// restartSerials has serial numbers begin anew while the gateway runs.
func (g *gateway) restartSerials() {
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation++
	l.serialBase = l.version - 1
	l.publishLocked(g)
}

// knownList is the list for the gateway's configuration, with its serial number.
func (g *gateway) knownList() (serial uint32, hosts []standin.Host) {
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version - l.serialBase, l.hosts
}

// recordListSent records a good answer that the name server has sent to the gateway.
func (g *gateway) recordListSent(reply standin.ListReply) {
	c := g.dnsProxy.Reverse().Conditions()
	if c.Cut {
		return
	}
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	version := l.versionOf(reply)
	if version > l.notifications[len(l.notifications)-1].version {
		l.notifications = append(l.notifications, notification{version: version})
	}
	i := slices.IndexFunc(l.notifications, func(n notification) bool { return n.version == version })
	if i < 0 {
		return // an old answer: a later version was notified meanwhile
	}
	n := &l.notifications[i]
	if n.sends++; n.at.IsZero() && (c.Loss == 0 || n.sends >= sendsDespiteLoss) {
		n.at = time.Now().Add(c.Delay + c.Jitter)
	}
}

// versionOf is the version that a reply holds; 0 if it was delayed from an earlier incarnation, whose serial numbers say nothing
// now. l.mu is held.
func (l *endpointList) versionOf(reply standin.ListReply) uint32 {
	if version := l.serialBase + reply.Serial; version <= l.version {
		return version
	}
	return 0
}

// sendsDespiteLoss is the number of answers over a link with loss after which one counts as received.
const sendsDespiteLoss = 8

// notifiedAt is when the gateway was notified of a version or a later one, as the operators' protocol counts; zero: not yet.
func (g *gateway) notifiedAt(version uint32) time.Time {
	g.fleet.mu.Lock()
	first := time.Time{}
	if int(version) < len(g.fleet.publishedAt) {
		first = g.fleet.publishedAt[version].Add(maxNotifyDelay)
	}
	g.fleet.mu.Unlock()
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.notifications {
		if n.version >= version && !n.at.IsZero() && (first.IsZero() || n.at.Before(first)) {
			first = n.at
		}
	}
	if time.Now().Before(first) {
		return time.Time{}
	}
	return first
}

// Faults of the name service's answers, by the text of the fault.
const (
	listStale          = "stale"   // a past list, under the serial number it had then
	listEarlier        = "earlier" // the last list of the previous incarnation
	listLost           = "lost"
	listFailed         = "failed"
	listTruncated      = "short"
	listOtherID        = "other-id"
	listTwice          = "twice"
	listLate           = "late"
	listMixed          = "mixed" // any of the faults before it in listFaults
	listSerialsRestart = "anew"  // the serial numbers begin anew, once
)

// listFaults are all of them. Those before listMixed are the ones it draws from.
var listFaults = []string{listStale, listLost, listFailed, listTruncated, listOtherID, listTwice, listLate, listMixed, listEarlier, listSerialsRestart}

// validateListFault checks a fault of lists, which stands at a place in the script.
func validateListFault(fault *Fault, at string) error {
	if !slices.Contains(listFaults, fault.Text) {
		return fmt.Errorf("%s: lists needs a text out of %s", at, strings.Join(listFaults, ", "))
	}
	if fault.Text != listSerialsRestart && !(fault.Factor > 0 && fault.Factor <= 1) {
		return fmt.Errorf("%s: lists needs a factor, the part of answers, over 0 and at most 1", at)
	}
	return nil
}

// alterReply applies the active list faults to an answer to the gateway.
func (g *gateway) alterReply(reply *standin.ListReply) {
	var active []Fault
	g.fleet.mu.Lock()
	for _, fault := range g.fleet.activeFaults {
		if fault.Kind == "lists" && g.matches(fault.Target) {
			active = append(active, *fault)
		}
	}
	g.fleet.mu.Unlock()
	for i := range active {
		g.list.applyFault(&active[i], reply)
	}
}

// applyFault applies a fault to an answer, with the fault's probability.
func (l *endpointList) applyFault(fault *Fault, reply *standin.ListReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fault.Text == listSerialsRestart || l.rng.Float64() >= fault.Factor {
		return
	}
	kind := fault.Text
	if kind == listMixed {
		kind = listFaults[l.rng.IntN(slices.Index(listFaults, listMixed))]
	}
	switch kind {
	case listStale:
		l.replaceWithPast(reply, l.past)
	case listEarlier:
		var previous []pastList
		for _, past := range l.past {
			if past.incarnation == l.incarnation-1 {
				previous = append(previous, past)
			}
		}
		if len(previous) > 0 {
			l.replaceWithPast(reply, previous[len(previous)-1:])
		}
	case listLost:
		reply.Dropped = true
	case listFailed:
		reply.ServerFailure = true
	case listTruncated:
		reply.Truncated = true
	case listOtherID:
		reply.WrongID = true
	case listTwice:
		reply.Duplicated = true
	case listLate:
		reply.Delay = time.Duration(l.rng.Int64N(int64(max(fault.Delay, time.Millisecond))))
	}
}

// replaceWithPast replaces an answer's list by one of some past lists. l.mu is held.
func (l *endpointList) replaceWithPast(reply *standin.ListReply, from []pastList) {
	past := from[l.rng.IntN(len(from))]
	reply.Stale = past.incarnation != l.incarnation || past.serial != l.version-l.serialBase
	reply.Serial, reply.Hosts = past.serial, past.hosts
}
