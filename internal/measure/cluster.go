package measure

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"foxlane/internal/emulator"
	"foxlane/internal/replica"
	"foxlane/rules"
)

// This file measures replicas without gateways, in virtual time, over a network that loses, duplicates and delays
// datagrams: the time until entries reach all members, the time until a paused member catches up, and whether
// replicas diverge.

// clusterStart is an arbitrary start time other than 0.
const clusterStart = 1000 * rules.Second

// cluster is a network of members, all of which know each other.
type cluster struct {
	*emulator.DatagramNetwork
	members []*emulator.ReplicaMember
}

func memberName(i int) string { return fmt.Sprintf("n%03d", i) }

func memberZone(i int) string { return fmt.Sprint("hall-", i%3) }

func memberSettings(i int, incarnation uint64) replica.Settings {
	s := replica.Defaults()
	s.Name, s.Zone, s.Incarnation, s.Seed = memberName(i), memberZone(i), incarnation, uint64(i)*7919+incarnation
	return s
}

// newCluster starts n members. The change function, if not nil, adjusts the settings of each.
func newCluster(n int, network emulator.DatagramModel, seed uint64, change func(*replica.Settings)) *cluster {
	c := &cluster{DatagramNetwork: emulator.NewDatagramNetwork(network, replica.Defaults().GossipInterval, clusterStart, seed), members: make([]*emulator.ReplicaMember, n)}
	for i := range n {
		c.startMember(i, 1, change)
	}
	return c
}

// startMember starts an incarnation of member i and announces it to the others, and the others to it.
func (c *cluster) startMember(i int, incarnation uint64, change func(*replica.Settings)) {
	s := memberSettings(i, incarnation)
	if change != nil {
		change(&s)
	}
	m := &emulator.ReplicaMember{Replica: replica.New(s, c.Now)}
	for j, other := range c.members {
		if other != nil && j != i {
			other.MemberJoined(c.Now, replica.Member{Name: s.Name, Zone: s.Zone})
			m.MemberJoined(c.Now, replica.Member{Name: memberName(j), Zone: memberZone(j)})
		}
	}
	c.members[i] = m
	c.Add(s.Name, m)
}

// convergence returns the 99th percentile, over members and entries, of the seconds that an entry takes to reach a
// member while each member also reports its own load, and the mean number of bytes per second that a member sends.
func convergence(n int, seed uint64) (p99, bytesPerSecond float64) {
	const (
		warmUp           = 5  // seconds before entries are written and bytes are counted
		length           = 20 // seconds measured
		lastWrite        = 12 // entries are written in this many of them: later ones might not arrive in time
		entriesPerSecond = 2
	)
	c := newCluster(n, emulator.DatagramModel{Loss: 0.3, Duplicate: 0.05, MinDelay: rules.Millisecond, MaxDelay: 100 * rules.Millisecond}, seed, nil)
	rng := rand.New(rand.NewPCG(seed, 2))
	writtenAt := map[uint64]rules.Time{}
	var delays []float64
	for _, m := range c.members {
		m.OnEntry = func(now rules.Time, _ string, e replica.Entry) {
			if at, ok := writtenAt[e.Subject]; ok && e.Kind == replica.EngineFault {
				delays = append(delays, float64(now-at)/float64(rules.Second))
			}
		}
	}
	for second := range warmUp + length {
		for i, m := range c.members {
			m.Replica.Put(c.Now, replica.Key{Kind: replica.OfferedLoad}, replica.Value{float32(second + i)})
		}
		if second == warmUp {
			clear(c.SentBytes)
		}
		if second >= warmUp && second < warmUp+lastWrite {
			for k := range entriesPerSecond {
				subject := uint64(second*100 + k)
				writtenAt[subject] = c.Now
				c.members[rng.IntN(n)].Replica.Put(c.Now, replica.Key{Kind: replica.EngineFault, Subject: subject}, replica.Value{1})
			}
		}
		c.Run(c.Now + rules.Second)
	}
	sent := 0
	for _, bytes := range c.SentBytes {
		sent += bytes
	}
	want := len(writtenAt) * (n - 1)
	for len(delays) < want { // entries that never arrived count as the whole length
		delays = append(delays, length)
	}
	slices.Sort(delays)
	return delays[len(delays)*99/100], float64(sent) / float64(n) / length
}

// catchUpTime returns the seconds that a member that was paused for 60 s takes to receive 99% of the entries that the
// others wrote before it resumed, and the most bytes that any member sent within a second, as a ratio to the budget.
func catchUpTime(n int, seed uint64) (seconds, burst float64) {
	const pausedMember, referenceMember = 3, 1
	c := newCluster(n, emulator.DatagramModel{Loss: 0.05, MinDelay: rules.Millisecond, MaxDelay: 20 * rules.Millisecond}, seed, nil)
	writeAndRun := func(seconds int) {
		for range seconds {
			for i, m := range c.members {
				for subject := range uint64(5) {
					m.Replica.Put(c.Now, replica.Key{Kind: replica.TenantUsage, Subject: subject}, replica.Value{float32(c.Now / rules.Second % 1000), float32(i)})
				}
			}
			c.Run(c.Now + rules.Second)
		}
	}
	writeAndRun(8)
	c.SetPaused(memberName(pausedMember), true)
	writeAndRun(60)
	type entryKey struct {
		origin  string
		subject uint64
	}
	want := map[entryKey]uint64{}
	for _, copied := range c.members[referenceMember].Replica.Copies() {
		for _, e := range copied.Entries {
			if copied.Origin != memberName(pausedMember) {
				want[entryKey{copied.Origin, e.Subject}] = e.Counter
			}
		}
	}
	c.SetPaused(memberName(pausedMember), false)
	resumedAt := c.Now
	for range 100 {
		have := 0
		for _, copied := range c.members[pausedMember].Replica.Copies() {
			for _, e := range copied.Entries {
				if counter, ok := want[entryKey{copied.Origin, e.Subject}]; ok && e.Counter >= counter {
					have++
				}
			}
		}
		if have >= len(want)*99/100 {
			break
		}
		c.Run(c.Now + 100*rules.Millisecond)
	}
	for _, peak := range c.PeakBytesPerSecond {
		burst = max(burst, float64(peak)/float64(replica.Defaults().BytesPerSecond))
	}
	return float64(c.Now-resumedAt) / float64(rules.Second), burst
}

// diverges runs a random schedule of faults with four members, heals the network for 10 s, and reports whether the
// replicas still differ.
func diverges(seed uint64) bool {
	const members = 4
	disableExpiry := func(s *replica.Settings) { // no entry expires during the run
		for k := range s.MaxAge {
			s.MaxAge[k] = 120 * rules.Second
		}
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(members, emulator.DatagramModel{Loss: rng.Float64() * 0.4, Duplicate: 0.1, MinDelay: rules.Millisecond, MaxDelay: rules.Time(1+rng.IntN(2000)) * rules.Millisecond}, seed, disableExpiry)
	incarnations := [members]uint64{1, 1, 1, 1}
	for range 6 {
		i := rng.IntN(members)
		switch rng.IntN(6) { // 5: no fault
		case 0:
			c.Partition(func(name string) int { return int(name[3]) % 2 })
		case 1:
			c.Partition(func(name string) int { return int(name[3]) % 3 })
		case 2:
			c.Cut(memberName(i), memberName(rng.IntN(members)), true)
		case 3:
			incarnations[i]++
			c.Remove(memberName(i))
			c.startMember(i, incarnations[i], disableExpiry)
		case 4:
			c.SetPaused(memberName(i), rng.IntN(2) == 0)
		}
		for range 3 {
			c.members[rng.IntN(members)].Replica.Put(c.Now, replica.Key{Kind: replica.Kind(1 + rng.IntN(int(replica.KindCount)-1)), Subject: uint64(rng.IntN(3))},
				replica.Value{rng.Float32()})
		}
		c.Run(c.Now + rules.Time(rng.IntN(2500))*rules.Millisecond)
	}
	for i := range members {
		c.SetPaused(memberName(i), false)
	}
	c.Partition(func(string) int { return 0 })
	c.Model = emulator.DatagramModel{MinDelay: rules.Millisecond, MaxDelay: 20 * rules.Millisecond}
	c.Run(c.Now + 10*rules.Second)
	return !c.converged()
}

// converged reports whether all members hold the same versions.
func (c *cluster) converged() bool {
	first := heldVersions(c.members[0].Replica)
	for _, m := range c.members[1:] {
		if !maps.Equal(first, heldVersions(m.Replica)) {
			return false
		}
	}
	return true
}

// version is the state that a replica holds of an origin, or of one entry of that origin.
type version struct {
	incarnation, counter uint64
	value                replica.Value
}

// heldVersions returns the versions that a replica holds, keyed by origin and by origin with entry.
func heldVersions(r *replica.Store) map[string]version {
	versions := map[string]version{}
	for _, copied := range r.Copies() {
		versions[copied.Origin] = version{copied.Incarnation, copied.Counter, replica.Value{}}
		for _, e := range copied.Entries {
			versions[fmt.Sprint(copied.Origin, e.Key)] = version{copied.Incarnation, e.Counter, e.Value}
		}
	}
	return versions
}
