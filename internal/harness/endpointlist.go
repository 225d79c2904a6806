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

// This file owns what the name service tells: the list, its numbers, which begin anew with each start of a gateway as the
// operators' protocol has it, answers that bring something else, and when an event counts as told.

// endpointList is what one gateway is told.
type endpointList struct {
	mu            sync.Mutex
	version       uint32 // of the list that the service has now
	serialBase    uint32 // this less than a version is its number in the present life
	incarnation   int
	hosts         []standin.Host
	past          []pastList
	notifications []notification // versions that the gateway was told of in this life
	rng           *rand.Rand
}

// pastList is one that the service had before, under the number it had then.
type pastList struct {
	incarnation int
	serial      uint32
	hosts       []standin.Host
}

// notification is when a gateway was first told of a version.
type notification struct {
	version uint32
	at      time.Time
	sends   int
}

const (
	maxPastLists   = 32              // lists remembered
	maxNotifyDelay = 7 * time.Second // an event counts as told so long after it happened, whether or not it arrived
)

// publishList puts the list as it is now before all gateways, after a while.
func (f *fleet) publishList(after time.Duration) {
	f.mu.Lock()
	f.listVersion++
	version := f.listVersion
	all := make([][]standin.Host, len(f.gateways))
	for i := range all {
		all[i] = f.hosts(i)
	}
	f.mu.Unlock()
	put := func() {
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
		put()
		return
	}
	time.AfterFunc(after, put)
}

// hosts is the list as a gateway is to have it. The rig is locked.
func (f *fleet) hosts(gateway int) (out []standin.Host) {
	for _, e := range f.engines {
		draining, unlisted := e.listStatus(f.listVersion)
		if !f.unlisted[e.index] && !unlisted {
			out = append(out, e.listEntry(gateway, draining))
		}
	}
	return out
}

// publish has the service tell the gateway a version from now on.
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

// publishLocked has the service tell the present version under its number. The lists are locked.
func (l *endpointList) publishLocked(g *gateway) {
	serial := l.version - l.serialBase
	l.past = append(l.past, pastList{l.incarnation, serial, l.hosts})
	if len(l.past) > maxPastLists {
		l.past = slices.Delete(l.past, 0, 1)
	}
	g.nameServer.SetHosts(serial, l.hosts)
}

// startList begins a life of the gateway: its numbers begin anew, and it knows what is told now.
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

// restartSerials has the service begin its numbers anew in the middle of a life.
func (g *gateway) restartSerials() {
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation++
	l.serialBase = l.version - 1
	l.publishLocked(g)
}

// knownList is the list for the gateway's configuration, with its number.
func (g *gateway) knownList() (serial uint32, hosts []standin.Host) {
	l := &g.list
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version - l.serialBase, l.hosts
}

// recordListSent notes that a good answer of the name service was sent to the gateway.
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
	i := slices.IndexFunc(l.notifications, func(t notification) bool { return t.version == version })
	if i < 0 {
		return // late: a later version was told meanwhile
	}
	t := &l.notifications[i]
	if t.sends++; t.at.IsZero() && (c.Loss == 0 || t.sends >= sendsDespiteLoss) {
		t.at = time.Now().Add(c.Delay + c.Jitter)
	}
}

// versionOf is the version that a reply holds; one that was sent late may be of an earlier life and tells nothing. The lists
// are locked.
func (l *endpointList) versionOf(reply standin.ListReply) uint32 {
	if version := l.serialBase + reply.Serial; version <= l.version {
		return version
	}
	return 0
}

// sendsDespiteLoss is how many answers are sent over a way that loses some until one has come.
const sendsDespiteLoss = 8

// notifiedAt is when the gateway was told of a version or of a later one, as the operators' protocol counts; zero: not yet.
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
	for _, t := range l.notifications {
		if t.version >= version && !t.at.IsZero() && (first.IsZero() || t.at.Before(first)) {
			first = t.at
		}
	}
	if time.Now().Before(first) {
		return time.Time{}
	}
	return first
}

// Troubles with answers of the name service.
const (
	listStale          = "stale"   // a list from before, under the number it had then
	listEarlier        = "earlier" // the last list of the life before
	listLost           = "lost"
	listFailed         = "failed"
	listTruncated      = "short"
	listOtherID        = "other-id"
	listTwice          = "twice"
	listLate           = "late"
	listMixed          = "mixed" // any of these, but for the earlier list
	listSerialsRestart = "anew"  // the numbers begin anew, once
)

var listFaults = []string{listStale, listLost, listFailed, listTruncated, listOtherID, listTwice, listLate, listMixed, listEarlier, listSerialsRestart}

// validateListFault says what is wrong with a trouble of the lists.
func validateListFault(fault *Fault, at string) error {
	if !slices.Contains(listFaults, fault.Text) {
		return fmt.Errorf("%s: lists needs a text out of %s", at, strings.Join(listFaults, ", "))
	}
	if fault.Text != listSerialsRestart && !(fault.Factor > 0 && fault.Factor <= 1) {
		return fmt.Errorf("%s: lists needs a factor, the part of answers, over 0 and at most 1", at)
	}
	return nil
}

// alterReply has troubles that hold meet an answer to the gateway.
func (g *gateway) alterReply(reply *standin.ListReply) {
	var on []Fault
	g.fleet.mu.Lock()
	for _, f := range g.fleet.activeFaults {
		if f.Kind == "lists" && g.matches(f.Target) {
			on = append(on, *f)
		}
	}
	g.fleet.mu.Unlock()
	for i := range on {
		g.list.applyFault(&on[i], reply)
	}
}

// applyFault has one trouble meet an answer.
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
		var before []pastList
		for _, p := range l.past {
			if p.incarnation == l.incarnation-1 {
				before = append(before, p)
			}
		}
		if len(before) > 0 {
			l.replaceWithPast(reply, before[len(before)-1:])
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

// replaceWithPast puts one of some earlier lists into an answer. The lists are locked.
func (l *endpointList) replaceWithPast(reply *standin.ListReply, from []pastList) {
	p := from[l.rng.IntN(len(from))]
	reply.Stale = p.incarnation != l.incarnation || p.serial != l.version-l.serialBase
	reply.Serial, reply.Hosts = p.serial, p.hosts
}
