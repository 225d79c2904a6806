package replica_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"foxlane/internal/emulator"
	. "foxlane/internal/replica"
	"foxlane/rules"
)

const (
	ms     = rules.Millisecond
	second = rules.Second
	start  = 1000 * second
)

// longMaxAge is long enough that no copy expires in tests that compare copies.
var longMaxAge = func() (k [KindCount]rules.Time) {
	for i := range k {
		k[i] = 50 * second
	}
	return k
}()

// testCluster is a set of members that know each other, on a simulated network.
type testCluster struct {
	*emulator.DatagramNetwork
	members map[string]*emulator.ReplicaMember
}

func memberName(i int) string { return fmt.Sprintf("n%03d", i) }

func memberSettings(i int, incarnation uint64) Settings {
	s := Defaults()
	s.Name, s.Zone, s.Incarnation, s.Seed = memberName(i), fmt.Sprint("hall-", i%3), incarnation, uint64(i)*7919+incarnation
	s.MaxAge = longMaxAge
	return s
}

func newTestCluster(n int, m emulator.DatagramModel, seed uint64) *testCluster {
	c := &testCluster{DatagramNetwork: emulator.NewDatagramNetwork(m, Defaults().GossipInterval, start, seed), members: map[string]*emulator.ReplicaMember{}}
	for i := range n {
		c.start(i, 1)
	}
	return c
}

// start starts or restarts a member and notifies it and all others of each other.
func (c *testCluster) start(i int, incarnation uint64) {
	s := memberSettings(i, incarnation)
	m := &emulator.ReplicaMember{Replica: New(s, c.Now)}
	for _, n := range c.Names() {
		if o := c.members[n]; n != s.Name && o != nil {
			o.MemberJoined(c.Now, Member{Name: s.Name, Zone: s.Zone})
			m.MemberJoined(c.Now, Member{Name: n, Zone: "hall-x"})
		}
	}
	c.members[s.Name] = m
	c.Add(s.Name, m)
}

// partition splits the network into groups of members by the last digit of their names.
func (c *testCluster) partition(groups int) {
	c.Partition(func(name string) int { return int(name[len(name)-1]) % groups })
}

func (c *testCluster) put(i int, k Kind, subject uint64, v float32) {
	c.members[memberName(i)].Replica.Put(c.Now, Key{Kind: k, Subject: subject}, Value{v})
}

// countHolders returns the number of members that hold a value written by another member.
func (c *testCluster) countHolders(of int, k Kind, subject uint64, v float32) (n int) {
	for _, m := range c.members {
		m.Replica.Each(k, func(origin string, e *Entry) {
			if origin == memberName(of) && e.Subject == subject && e.Value[0] == v {
				n++
			}
		})
	}
	return n
}

// checkAgreement returns an error if the copies of two members differ in incarnation, counter or value.
func (c *testCluster) checkAgreement() error {
	type held struct {
		incarnation, counter uint64
		value                Value
	}
	var first map[string]held
	for _, n := range c.Names() {
		mine := map[string]held{}
		for _, cp := range c.members[n].Replica.Copies() {
			mine[cp.Origin] = held{cp.Incarnation, cp.Counter, Value{}}
			for _, e := range cp.Entries {
				mine[fmt.Sprint(cp.Origin, e.Key)] = held{cp.Incarnation, e.Counter, e.Value}
			}
		}
		if first == nil {
			first = mine
		} else if !reflect.DeepEqual(first, mine) {
			for k, v := range first {
				if mine[k] != v {
					return fmt.Errorf("%s and %s differ in %s: %v, %v", c.Names()[0], n, k, v, mine[k])
				}
			}
			return fmt.Errorf("%s holds entries that %s does not", n, c.Names()[0])
		}
	}
	return nil
}

// Updates reach all members despite losses, delays, duplicates and reordering.
func TestUpdatesReachAll(t *testing.T) {
	for _, m := range []emulator.DatagramModel{{MinDelay: ms, MaxDelay: 5 * ms}, {Loss: 0.3, Duplicate: 0.2, MinDelay: ms, MaxDelay: 300 * ms}} {
		c := newTestCluster(5, m, 3)
		c.Run(start + 3*second)
		c.put(2, EngineFault, 77, 1)
		c.Run(c.Now + 2*second)
		if n := c.countHolders(2, EngineFault, 77, 1); n != 4 {
			t.Errorf("%+v: %d of 4 members have the update after 2 s", m, n)
		}
	}
}

// After late messages, partitions into two and three, one-way cuts, restarts and pauses, all copies agree once the
// network has healed.
func TestCopiesAgreeAfterHealing(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newTestCluster(6, emulator.DatagramModel{Loss: 0.2, Duplicate: 0.1, MinDelay: ms, MaxDelay: 2 * second}, seed)
		incarnations := map[int]uint64{}
		for range 12 {
			switch rng.IntN(6) {
			case 0:
				c.partition(2)
			case 1:
				c.partition(3)
			case 2:
				c.Cut(memberName(rng.IntN(6)), memberName(rng.IntN(6)), true)
			case 3:
				i := rng.IntN(6)
				incarnations[i]++
				c.Remove(memberName(i))
				c.start(i, 1+incarnations[i])
			case 4:
				c.SetPaused(memberName(rng.IntN(6)), rng.IntN(2) == 0)
			}
			for range 4 {
				c.put(rng.IntN(6), Kind(1+rng.IntN(int(KindCount)-1)), uint64(rng.IntN(4)), rng.Float32())
			}
			c.Run(c.Now + rules.Time(rng.IntN(3000))*ms)
		}
		for i := range 6 {
			c.SetPaused(memberName(i), false)
		}
		c.Partition(func(string) int { return 0 })
		c.Model = emulator.DatagramModel{MinDelay: ms, MaxDelay: 20 * ms}
		c.Run(c.Now + 8*second)
		if err := c.checkAgreement(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Merging is commutative, associative and idempotent: the copies are the same for each order of the messages, with and
// without duplicates.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Messages of three writers with two incarnations each, in the order in which they were sent.
		var messages [][2]any
		record := func(from string) func(string, []byte) {
			return func(_ string, data []byte) { messages = append(messages, [2]any{from, append([]byte(nil), data...)}) }
		}
		for i := range 3 {
			for incarnation := range uint64(2) {
				w := &emulator.ReplicaMember{Replica: New(memberSettings(i, incarnation+1), start)}
				w.MemberJoined(start, Member{Name: "reader"})
				now := rules.Time(start)
				for range rapid.IntRange(0, 5).Draw(t, "writes") {
					w.Replica.Put(now, Key{Kind: Kind(rapid.IntRange(1, 3).Draw(t, "kind")), Subject: uint64(rapid.IntRange(0, 2).Draw(t, "subject"))},
						Value{float32(rapid.IntRange(1, 99).Draw(t, "value"))})
					now += 200 * ms
					w.Tick(now, record(memberName(i)))
				}
			}
		}
		mergeInOrder := func(order []int) []Copy {
			r := &emulator.ReplicaMember{Replica: New(Settings{}, start)}
			s := memberSettings(9, 1)
			s.Name = "reader"
			r.Replica = New(s, start)
			for i := range 3 {
				r.MemberJoined(start, Member{Name: memberName(i)})
			}
			for _, i := range order {
				r.Receive(start+2*second, messages[i][0].(string), messages[i][1].([]byte), func(string, []byte) {})
			}
			out := r.Replica.Copies()
			for i := range out {
				out[i].Counter = 0 // depends on the order, unlike the entries
			}
			return out
		}
		sentOrder := make([]int, len(messages))
		for i := range sentOrder {
			sentOrder[i] = i
		}
		order := rapid.Permutation(sentOrder).Draw(t, "order")
		for range rapid.IntRange(0, 4).Draw(t, "doubles") {
			if len(order) > 0 {
				order = append(order, order[rapid.IntRange(0, len(order)-1).Draw(t, "double")])
			}
		}
		if a, b := mergeInOrder(sentOrder), mergeInOrder(order); !reflect.DeepEqual(a, b) {
			t.Fatalf("in the order sent: %+v\nin the order %v: %+v", a, order, b)
		}
	})
}

// A member that was paused for a minute or has restarted holds 95 % of all entries within 3 s, and no member exceeds
// its send budget.
func TestCatchUp(t *testing.T) {
	c := newTestCluster(40, emulator.DatagramModel{Loss: 0.05, MinDelay: ms, MaxDelay: 20 * ms}, 5)
	write := func() {
		for i := range 40 {
			for s := range 6 {
				c.put(i, TenantUsage, uint64(s), float32(c.Now/second%1000))
			}
		}
	}
	for range 10 {
		write()
		c.Run(c.Now + second)
	}
	c.SetPaused(memberName(7), true)
	for range 60 {
		write()
		c.Run(c.Now + second)
	}
	held := c.members[memberName(1)].Replica.Copies()
	c.SetPaused(memberName(7), false)
	c.Remove(memberName(8))
	c.start(8, 2)
	c.Run(c.Now + 3*second)
	for _, i := range []int{7, 8} {
		present, total := 0, 0
		for _, cp := range held {
			for _, e := range cp.Entries {
				if cp.Origin == memberName(7) || cp.Origin == memberName(8) || e.Kind != TenantUsage {
					continue
				}
				total++
				c.members[memberName(i)].Replica.Each(TenantUsage, func(origin string, o *Entry) {
					if origin == cp.Origin && o.Subject == e.Subject && o.Counter >= e.Counter {
						present++
					}
				})
			}
		}
		if total < 200 || present < total*95/100 {
			t.Errorf("%s has %d of %d entries 3 s after it was resumed or restarted", memberName(i), present, total)
		}
	}
	for n, peak := range c.PeakBytesPerSecond {
		if peak > Defaults().BytesPerSecond*11/10 { // the budget's sliding second is not aligned with the measured one
			t.Errorf("%s sent %d bytes within a second", n, peak)
		}
	}
}

// Expired entries are removed before an event is handled, so a process that was suspended does not act on them.
func TestExpiredEntriesAreDroppedFirst(t *testing.T) {
	c := newTestCluster(3, emulator.DatagramModel{MinDelay: ms, MaxDelay: 5 * ms}, 1)
	c.put(0, EngineFault, 5, 1)
	c.Run(start + 2*second)
	if c.countHolders(0, EngineFault, 5, 1) != 2 {
		t.Fatal("the entry did not reach both other members")
	}
	r := c.members[memberName(1)].Replica
	held := 0
	r.Handle(c.Now+60*second, Tick{})
	r.Each(EngineFault, func(string, *Entry) { held++ })
	if held != 0 {
		t.Error("an entry is still held after a minute")
	}
	if r.Stats().Entries != 0 {
		t.Errorf("%d entries held", r.Stats().Entries)
	}
}

// A later incarnation of a member replaces an earlier one, and late messages of the earlier one have no effect.
func TestLaterIncarnationWins(t *testing.T) {
	var lateMessages [][]byte
	earlier := &emulator.ReplicaMember{Replica: New(memberSettings(1, 1), start)}
	earlier.MemberJoined(start, Member{Name: memberName(0)})
	earlier.Replica.Put(start, Key{Kind: ZoneState, Subject: 1}, Value{1})
	earlier.Tick(start+ms, func(_ string, d []byte) { lateMessages = append(lateMessages, append([]byte(nil), d...)) })
	r := &emulator.ReplicaMember{Replica: New(memberSettings(0, 1), start)}
	r.MemberJoined(start, Member{Name: memberName(1)})
	restarted := &emulator.ReplicaMember{Replica: New(memberSettings(1, 2), start)}
	restarted.MemberJoined(start, Member{Name: memberName(0)})
	restarted.Replica.Put(start, Key{Kind: ZoneState, Subject: 1}, Value{2})
	restarted.Tick(start+ms, func(_ string, d []byte) { r.Receive(start+ms, memberName(1), d, func(string, []byte) {}) })
	for _, d := range lateMessages {
		r.Receive(start+2*ms, memberName(1), d, func(string, []byte) {})
	}
	if len(lateMessages) == 0 {
		t.Fatal("the earlier incarnation sent nothing")
	}
	n := 0
	r.Replica.Each(ZoneState, func(_ string, e *Entry) {
		if n++; e.Value[0] != 2 {
			t.Errorf("value %v of the earlier incarnation is held", e.Value)
		}
	})
	if n != 1 {
		t.Errorf("%d entries held, want 1", n)
	}
}

// Messages of unknown senders, malformed messages and messages that were corrupted in transit are rejected and have no
// effect.
func TestMessagesRejected(t *testing.T) {
	r := &emulator.ReplicaMember{Replica: New(memberSettings(0, 5), start)}
	r.MemberJoined(start, Member{Name: memberName(1)})
	r.Replica.Put(start, Key{Kind: OfferedLoad}, Value{3})
	var msg []byte
	w := &emulator.ReplicaMember{Replica: New(memberSettings(1, 1), start)}
	w.MemberJoined(start, Member{Name: memberName(0)})
	w.Replica.Put(start, Key{Kind: OfferedLoad}, Value{4})
	w.Tick(start+ms, func(_ string, d []byte) {
		if msg == nil {
			msg = append([]byte(nil), d...)
		}
	})
	ignore := func(string, []byte) {}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range msg {
		corrupted := append([]byte(nil), msg...)
		corrupted[i] ^= 1 << rng.IntN(8)
		r.Receive(start, memberName(1), corrupted, ignore)
		r.Receive(start, memberName(1), msg[:i], ignore)
	}
	r.Receive(start, memberName(2), msg, ignore)
	r.Receive(start, memberName(1), make([]byte, 64<<10), ignore)
	if got := r.Replica.Stats().Entries; got != 1 {
		t.Errorf("%d entries held, want only its own", got)
	}
	if want := 2*len(msg) + 2; len(r.Rejected) != want {
		t.Errorf("%d of %d messages were rejected", len(r.Rejected), want)
	}
	laterVersion := append([]byte(nil), msg...)
	laterVersion[3] = 9
	r.Rejected = nil
	r.Receive(start, memberName(1), laterVersion, ignore)
	var v VersionError
	if len(r.Rejected) != 1 || !errors.As(r.Rejected[0], &v) || v.Version != 9 {
		t.Errorf("message of version 9: %v", r.Rejected)
	}
}

// A member whose clock stepped back before its restart raises its incarnation above the one that others hold, and its
// entries are accepted again. Two processes with the same name are reported as a conflict.
func TestNameConflict(t *testing.T) {
	cluster := newTestCluster(3, emulator.DatagramModel{MinDelay: ms, MaxDelay: 5 * ms}, 1)
	cluster.Remove(memberName(0))
	cluster.start(0, 50)
	cluster.put(0, OfferedLoad, 0, 7)
	cluster.Run(start + 5*second)
	cluster.Remove(memberName(0))
	cluster.start(0, 20) // an earlier incarnation, since the clock stepped back
	cluster.put(0, OfferedLoad, 0, 8)
	cluster.Run(cluster.Now + 6*second)
	if n := cluster.countHolders(0, OfferedLoad, 0, 8); n != 2 {
		t.Errorf("%d of 2 hold the entry of the member whose clock stepped back", n)
	}
	one, two, reader := &emulator.ReplicaMember{Replica: New(memberSettings(0, 5), start)}, &emulator.ReplicaMember{Replica: New(memberSettings(0, 6), start)}, &emulator.ReplicaMember{Replica: New(memberSettings(1, 1), start)}
	one.MemberJoined(start, Member{Name: memberName(1)})
	two.MemberJoined(start, Member{Name: memberName(1)})
	reader.MemberJoined(start, Member{Name: memberName(0)})
	ignore := func(string, []byte) {}
	reported := false
	for tick := range rules.Time(60) {
		now := start + tick*second
		for i, m := range []*emulator.ReplicaMember{one, two} {
			m.Replica.Put(now, Key{Kind: OfferedLoad}, Value{float32(i + 1)})
			m.Tick(now, func(_ string, d []byte) { reader.Receive(now, memberName(0), d, ignore) })
		}
		reader.Tick(now, func(_ string, d []byte) {
			one.Receive(now, memberName(1), d, ignore)
			two.Receive(now, memberName(1), d, ignore)
		})
		for _, m := range []*emulator.ReplicaMember{one, two} {
			for _, err := range m.Rejected {
				reported = reported || err.Error() == "replica: another process has this gateway's name"
			}
		}
	}
	if !reported {
		t.Error("the name conflict of two processes is not reported")
	}
}

// No message causes a panic, and the number of entries and origins stays within its bounds.
func FuzzReceive(f *testing.F) {
	w := &emulator.ReplicaMember{Replica: New(memberSettings(1, 1), start)}
	w.MemberJoined(start, Member{Name: memberName(0)})
	for s := range 5 {
		w.Replica.Put(start, Key{Kind: TenantUsage, Subject: uint64(s)}, Value{4, 5})
	}
	for tick := range rules.Time(8) {
		w.Tick(start+tick*second, func(_ string, d []byte) { f.Add(append([]byte(nil), d...)) })
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := memberSettings(0, 1)
		s.MaxEntriesPerOrigin, s.MaxOrigins = 4, 3
		r := New(s, start)
		r.Handle(start, Joined{Member: Member{Name: memberName(1)}})
		r.Handle(start, Received{From: Member{Name: memberName(1)}, Data: data})
		r.Handle(start+second, Tick{})
		if st := r.Stats(); st.Entries > 12 || st.Origins > 3 {
			t.Errorf("%+v", st)
		}
	})
}

// Origins that have left are dropped once all copies of their entries must have expired, and sizes stay bounded under
// constant churn.
func TestDepartedMembersAreDropped(t *testing.T) {
	s := memberSettings(0, 1)
	for k := range s.MaxAge {
		s.MaxAge[k] = 2 * second
	}
	s.MaxOrigins = 20
	r := &emulator.ReplicaMember{Replica: New(s, start)}
	now := rules.Time(start)
	for i := 1; i < 400; i++ {
		w := &emulator.ReplicaMember{Replica: New(memberSettings(i, 1), now)}
		w.MemberJoined(now, Member{Name: memberName(0)})
		r.MemberJoined(now, Member{Name: memberName(i)})
		w.Replica.Put(now, Key{Kind: OfferedLoad}, Value{4})
		w.Tick(now, func(_ string, d []byte) { r.Receive(now, memberName(i), d, func(string, []byte) {}) })
		r.MemberLeft(now, memberName(i))
		now += 300 * ms
		if st := r.Replica.Stats(); st.Origins > 20 || st.Entries > 20 {
			t.Fatalf("after %d members joined and left: %+v", i, st)
		}
	}
	r.Tick(now+10*second, func(string, []byte) {})
	if st := r.Replica.Stats(); st.Origins != 1 || st.Entries != 0 {
		t.Errorf("after all have expired: %+v", st)
	}
}
