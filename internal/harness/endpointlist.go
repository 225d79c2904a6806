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

// This file owns the engine list that name servers publish: its versions, its serial numbers, faults of the answers,
// and the time at which a gateway counts as notified of a change. By the operators' protocol the serial numbers
// restart with each start of a gateway.

// endpointList is the engine list as the name server of one gateway publishes it.
type endpointList struct {
	mu            sync.Mutex
	version       uint32 // the published version
	serialBase    uint32 // the serial number of a version is the version minus this, in the current incarnation
	incarnation   int    // grows with each restart of the serial numbers
	hosts         []standin.Host
	past          []pastList     // the last maxPastLists lists
	notifications []notification // of the current incarnation, ordered by version; never empty
	rng           *rand.Rand
}

// pastList is a list that was published, with the serial number that it had then.
type pastList struct {
	incarnation int
	serial      uint32
	hosts       []standin.Host
}

// notification records when a gateway was first notified of a version.
type notification struct {
	version uint32
	at      time.Time // zero: no notification is known
	sends   int       // answers sent with this version
}

const (
	maxPastLists   = 32              // per gateway
	maxNotifyDelay = 7 * time.Second // a gateway counts as notified this long after a change, even if no answer arrived
)

// publishList publishes the current list to all gateways as a new version, after a delay.
func (f *fleet) publishList(delay time.Duration) {
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
	if delay <= 0 {
		publish()
		return
	}
	time.AfterFunc(delay, publish)
}

// hosts returns the current list for a gateway, with the addresses of its proxies. The caller holds f.mu.
func (f *fleet) hosts(gateway int) (hosts []standin.Host) {
	for _, e := range f.engines {
		draining, unlisted := e.listStatus(f.listVersion)
		if !f.unlisted[e.index] && !unlisted {
			hosts = append(hosts, e.listEntry(gateway, draining))
			if former, ok := e.formerEntry(gateway); ok {
				hosts = append(hosts, former)
			}
		}
	}
	return hosts
}

// publish makes the gateway's name server answer with a version, unless a later one is already published.
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

// publishLocked makes the name server answer with the current version. The caller holds l.mu.
func (l *endpointList) publishLocked(g *gateway) {
	serial := l.version - l.serialBase
	l.past = append(l.past, pastList{l.incarnation, serial, l.hosts})
	if len(l.past) > maxPastLists {
		l.past = slices.Delete(l.past, 0, 1)
	}
	g.nameServer.SetHosts(serial, l.hosts)
}

// restartList prepares the list for a start of the gateway: the serial numbers restart, and the gateway counts as
// notified of the current list, which it reads from its configuration.
func (g *gateway) restartList() {
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

// restartSerials restarts the serial numbers while the gateway runs.
func (g *gateway) restartSerials() {
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation++
	l.serialBase = l.version - 1
	l.publishLocked(g)
}

// knownList returns the list for the gateway's configuration, with its serial number.
func (g *gateway) knownList() (serial uint32, hosts []standin.Host) {
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version - l.serialBase, l.hosts
}

// recordListSent records a valid answer that the name server has sent to the gateway.
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
		return // an old version: the gateway was notified of a later one meanwhile
	}
	n := &l.notifications[i]
	if n.sends++; n.at.IsZero() && (c.Loss == 0 || n.sends >= sendsDespiteLoss) {
		n.at = time.Now().Add(c.Delay + c.Jitter)
	}
}

// versionOf returns the version that a reply holds. It returns 0 for a reply that was delayed since an earlier
// incarnation, as its serial number has no meaning in the current one. The caller holds l.mu.
func (l *endpointList) versionOf(reply standin.ListReply) uint32 {
	if version := l.serialBase + reply.Serial; version <= l.version {
		return version
	}
	return 0
}

// sendsDespiteLoss is how many answers must be sent over a link with loss until one of them counts as received.
const sendsDespiteLoss = 8

// notifiedAt returns when the gateway was notified of a version or a later one, by the rules of the operators'
// protocol. It returns the zero time if it was not notified yet.
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

// Faults of the name service's answers, as the text of a lists fault names them.
const (
	listStale               = "stale"   // a past list, with the serial number it had then
	listPreviousIncarnation = "earlier" // the last list of the previous incarnation
	listLost                = "lost"
	listFailed              = "failed"
	listTruncated           = "short"
	listWrongID             = "other-id"
	listDuplicated          = "twice"
	listDelayed             = "late"
	listMixed               = "mixed" // a random one of the faults before it in listFaults
	listSerialsRestart      = "anew"  // the serial numbers restart, once
)

// listFaults are all faults of the name service's answers. listMixed draws from those before it.
var listFaults = []string{listStale, listLost, listFailed, listTruncated, listWrongID, listDuplicated, listDelayed, listMixed, listPreviousIncarnation, listSerialsRestart}

// validateListFault checks the text and the factor of a lists fault. An error names the fault's place in the script.
func validateListFault(fault *Fault, place string) error {
	if !slices.Contains(listFaults, fault.Text) {
		return fmt.Errorf("%s: lists needs one of these texts: %s", place, strings.Join(listFaults, ", "))
	}
	if fault.Text != listSerialsRestart && !(fault.Factor > 0 && fault.Factor <= 1) {
		return fmt.Errorf("%s: lists needs a factor, the fraction of answers, over 0 and at most 1", place)
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

// applyFault applies a fault to an answer with the fault's probability, its factor.
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
	case listPreviousIncarnation:
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
	case listWrongID:
		reply.WrongID = true
	case listDuplicated:
		reply.Duplicated = true
	case listDelayed:
		reply.Delay = time.Duration(l.rng.Int64N(int64(max(fault.Delay, time.Millisecond))))
	}
}

// replaceWithPast replaces an answer's list by a random one of the given past lists. The caller holds l.mu.
func (l *endpointList) replaceWithPast(reply *standin.ListReply, from []pastList) {
	past := from[l.rng.IntN(len(from))]
	reply.Stale = past.incarnation != l.incarnation || past.serial != l.version-l.serialBase
	reply.Serial, reply.Hosts = past.serial, past.hosts
}
