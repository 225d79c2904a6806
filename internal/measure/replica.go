package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"foxlane/internal/emulator"
	"foxlane/internal/gossip"
	"foxlane/internal/harness"
	"foxlane/internal/replica"
	"foxlane/rules"
)

// This file measures what gateways that talk share: how soon, for how many bytes, whether copies agree, and what it is worth.

const (
	replicaSeeds        = 10
	divergenceSchedules = 10_000
	gossipGateways      = 60 // gateways of the worth scenes
	gossipEngines       = 15
	clusterStart        = 1000 * rules.Second
)

// cluster is pure members that know one another.
type cluster struct {
	*emulator.DatagramNetwork
	members []*emulator.ReplicaMember
}

func memberName(i int) string { return fmt.Sprintf("n%03d", i) }

func memberSettings(i int, life uint64) replica.Settings {
	s := replica.Defaults()
	s.Name, s.Zone, s.Incarnation, s.Seed = memberName(i), fmt.Sprint("hall-", i%3), life, uint64(i)*7919+life
	return s
}

func newCluster(n int, m emulator.DatagramModel, seed uint64, change func(*replica.Settings)) *cluster {
	c := &cluster{DatagramNetwork: emulator.NewDatagramNetwork(m, replica.Defaults().GossipInterval, clusterStart, seed), members: make([]*emulator.ReplicaMember, n)}
	for i := range n {
		c.startMember(i, 1, change)
	}
	return c
}

func (c *cluster) startMember(i int, life uint64, change func(*replica.Settings)) {
	s := memberSettings(i, life)
	if change != nil {
		change(&s)
	}
	m := &emulator.ReplicaMember{Replica: replica.New(s, c.Now)}
	for j, o := range c.members {
		if o != nil && j != i {
			o.MemberJoined(c.Now, replica.Member{Name: s.Name, Zone: s.Zone})
			m.MemberJoined(c.Now, replica.Member{Name: memberName(j), Zone: fmt.Sprint("hall-", j%3)})
		}
	}
	c.members[i] = m
	c.Add(s.Name, m)
}

// convergence is how long news take to all members: the 99th percentile over members and news, in seconds, while each member tells of its
// own load; and the bytes a second that a member sends.
func convergence(n int, seed uint64) (p99, bytesS float64) {
	c := newCluster(n, emulator.DatagramModel{Loss: 0.3, Duplicate: 0.05, MinDelay: rules.Millisecond, MaxDelay: 100 * rules.Millisecond}, seed, nil)
	rng := rand.New(rand.NewPCG(seed, 2))
	born := map[uint64]rules.Time{}
	var took []float64
	for i, m := range c.members {
		m.OnEntry = func(now rules.Time, _ string, e replica.Entry) {
			if at, ok := born[e.Subject]; ok && e.Kind == replica.EngineFault {
				took = append(took, float64(now-at)/float64(rules.Second))
			}
		}
		_ = i
	}
	const warm, length, news = 5, 20, 20
	for s := range warm + length {
		for i, m := range c.members {
			m.Replica.Put(c.Now, replica.Key{Kind: replica.OfferedLoad}, replica.Value{float32(s + i)})
		}
		if s == warm {
			clear(c.SentBytes)
		}
		if s >= warm && s < warm+length-8 {
			for k := range news / 10 {
				subject := uint64(s*100 + k)
				born[subject] = c.Now
				c.members[rng.IntN(n)].Replica.Put(c.Now, replica.Key{Kind: replica.EngineFault, Subject: subject}, replica.Value{1})
			}
		}
		c.Run(c.Now + rules.Second)
	}
	sent := 0
	for _, b := range c.SentBytes {
		sent += b
	}
	want := len(born) * (n - 1)
	for len(took) < want { // what never came
		took = append(took, length)
	}
	slices.Sort(took)
	return took[len(took)*99/100], float64(sent) / float64(n) / length
}

// catchUpTime is how long a member that stood still for 60 s takes to hold what all others wrote before it went on, and the most that any
// member sent within a second over the budget.
func catchUpTime(n int, seed uint64) (seconds, burst float64) {
	c := newCluster(n, emulator.DatagramModel{Loss: 0.05, MinDelay: rules.Millisecond, MaxDelay: 20 * rules.Millisecond}, seed, nil)
	write := func() {
		for i, m := range c.members {
			for s := range uint64(5) {
				m.Replica.Put(c.Now, replica.Key{Kind: replica.TenantUsage, Subject: s}, replica.Value{float32(c.Now / rules.Second % 1000), float32(i)})
			}
		}
	}
	run := func(s int) {
		for range s {
			write()
			c.Run(c.Now + rules.Second)
		}
	}
	run(8)
	c.SetPaused(memberName(3), true)
	run(60)
	want := map[[2]any]uint64{}
	for _, cp := range c.members[1].Replica.Copies() {
		for _, e := range cp.Entries {
			if cp.Origin != memberName(3) {
				want[[2]any{cp.Origin, e.Subject}] = e.Counter
			}
		}
	}
	c.SetPaused(memberName(3), false)
	began := c.Now
	for range 100 {
		have := 0
		for _, cp := range c.members[3].Replica.Copies() {
			for _, e := range cp.Entries {
				if counter, ok := want[[2]any{cp.Origin, e.Subject}]; ok && e.Counter >= counter {
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
		burst = max(burst, float64(peak)/float64(replica.Defaults().Budget))
	}
	return float64(c.Now-began) / float64(rules.Second), burst
}

// diverges plays a random schedule of four members, heals it, and answers whether copies differ.
func diverges(seed uint64) bool {
	keep := func(s *replica.Settings) {
		for k := range s.MaxAge {
			s.MaxAge[k] = 120 * rules.Second
		}
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(4, emulator.DatagramModel{Loss: rng.Float64() * 0.4, Duplicate: 0.1, MinDelay: rules.Millisecond, MaxDelay: rules.Time(1+rng.IntN(2000)) * rules.Millisecond}, seed, keep)
	life := [4]uint64{1, 1, 1, 1}
	for range 6 {
		i := rng.IntN(4)
		switch rng.IntN(6) {
		case 0:
			c.Partition(func(n string) int { return int(n[3]) % 2 })
		case 1:
			c.Partition(func(n string) int { return int(n[3]) % 3 })
		case 2:
			c.Cut(memberName(i), memberName(rng.IntN(4)), true)
		case 3:
			life[i]++
			c.Remove(memberName(i))
			c.startMember(i, life[i], keep)
		case 4:
			c.SetPaused(memberName(i), rng.IntN(2) == 0)
		}
		for range 3 {
			c.members[rng.IntN(4)].Replica.Put(c.Now, replica.Key{Kind: replica.Kind(1 + rng.IntN(int(replica.KindCount)-1)), Subject: uint64(rng.IntN(3))},
				replica.Value{rng.Float32()})
		}
		c.Run(c.Now + rules.Time(rng.IntN(2500))*rules.Millisecond)
	}
	for i := range 4 {
		c.SetPaused(memberName(i), false)
	}
	c.Partition(func(string) int { return 0 })
	c.Model = emulator.DatagramModel{MinDelay: rules.Millisecond, MaxDelay: 20 * rules.Millisecond}
	c.Run(c.Now + 10*rules.Second)
	type held struct {
		life, counter uint64
		value         replica.Value
	}
	var first map[string]held
	for _, m := range c.members {
		mine := map[string]held{}
		for _, cp := range m.Replica.Copies() {
			mine[cp.Origin] = held{cp.Incarnation, cp.Counter, replica.Value{}}
			for _, e := range cp.Entries {
				mine[fmt.Sprint(cp.Origin, e.Key)] = held{cp.Incarnation, e.Counter, e.Value}
			}
		}
		if first == nil {
			first = mine
			continue
		}
		if len(first) != len(mine) {
			return true
		}
		for k, v := range first {
			if mine[k] != v {
				return true
			}
		}
	}
	return false
}

// gossipScenario is a scene of the modelled fleet, alone and with gateways that talk.
type gossipScenario struct {
	name          string
	load          float64
	faults        []emulator.Fault
	configure     func(*emulator.GossipModel)
	declaredRatio float64 // work that clients tell, over what it is; 0: 1
	from          int
	to            int
}

// Worth scenes, by place in talkScenes.
const (
	scenarioEngineFaults = iota
	scenarioRestarts
	scenarioOneByzantine
	scenarioThreeByzantine
	scenarioSilent
)

func fifthSilent() emulator.Fault {
	return emulator.SilenceEngines(8*rules.Second, 20*rules.Second, 0.2)
}

var gossipScenarios = []gossipScenario{
	{"a fifth of the engines silent for 20 s", 0.5, []emulator.Fault{fifthSilent()}, nil, 0, 8, 28},
	{"three tenths start anew, four times, told work is a quarter", 0.9, []emulator.Fault{emulator.KillGateways(8*rules.Second, 0.3, rules.Second),
		emulator.KillGateways(10*rules.Second, 0.3, rules.Second), emulator.KillGateways(12*rules.Second, 0.3, rules.Second), emulator.KillGateways(14*rules.Second, 0.3, rules.Second)}, nil, 0.25, 8, 22},
	{"the same as the first, one member lies", 0.5, []emulator.Fault{fifthSilent()}, func(m *emulator.GossipModel) { m.ByzantineGateways = 1 }, 0, 8, 28},
	{"the same, three members lie", 0.5, []emulator.Fault{fifthSilent()}, func(m *emulator.GossipModel) { m.ByzantineGateways = 3 }, 0, 8, 28},
	{"the same, nobody hears anybody from 6 s on", 0.5, []emulator.Fault{fifthSilent()}, func(m *emulator.GossipModel) { m.SilentFrom = 6 * rules.Second }, 0, 8, 28},
}

func (sc gossipScenario) play(talk bool, seed uint64) (share float64, probes int) {
	s := emulator.Warehouse(gossipGateways, gossipEngines, sc.load, seed)
	s.Zones, s.Faults = 3, sc.faults
	for i := range s.Classes {
		s.Classes[i].DeclaredRatio = sc.declaredRatio
	}
	if talk {
		m := &emulator.GossipModel{Network: emulator.DatagramModel{Loss: 0.05, MinDelay: rules.Millisecond, MaxDelay: 10 * rules.Millisecond}, DetectionDelay: 2 * rules.Second,
			Settings: gossip.Defaults()}
		if sc.configure != nil {
			sc.configure(m)
		}
		s.Gossip = m
	}
	b := emulator.New(s).Run()
	return b.ServedShare(sc.from, sc.to), b.Probes
}

// Replica measures the talk among gateways: pure members and the modelled fleet in virtual time, and six processes.
func Replica(ctx context.Context, gateway string, progress io.Writer) (*Report, error) {
	r := newReport("replica", "scene", "talk", "median", "least", "most", "probes a gateway")
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	play := func(do func()) {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() == nil {
				do()
				fmt.Fprint(progress, ".")
			}
		})
	}
	var five, many, bytes, back, burst [replicaSeeds]float64
	for seed := range replicaSeeds {
		play(func() { five[seed], _ = convergence(5, uint64(seed)+1) })
		play(func() { back[seed], burst[seed] = catchUpTime(40, uint64(seed)+1) })
		if seed < 3 {
			play(func() { many[seed], bytes[seed] = convergence(300, uint64(seed)+1) })
		}
	}
	diverged := make([]int, 20)
	for part := range diverged {
		play(func() {
			for i := range divergenceSchedules / len(diverged) {
				if ctx.Err() == nil && diverges(uint64(part*divergenceSchedules+i)) {
					diverged[part]++
				}
			}
		})
	}
	shares := make([][2][replicaSeeds]float64, len(gossipScenarios))
	probes := make([][2][replicaSeeds]float64, len(gossipScenarios))
	for i, sc := range gossipScenarios {
		for on := range 2 {
			for seed := range replicaSeeds {
				play(func() {
					share, n := sc.play(on == 1, uint64(seed)+1)
					shares[i][on][seed], probes[i][on][seed] = share, float64(n)/gossipGateways
				})
			}
		}
	}
	wait.Wait()
	fmt.Fprintln(progress)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	row := func(name, talk string, of []float64, extra string) {
		r.addRow(name, talk, fmt.Sprintf("%.3f", median(of)), fmt.Sprintf("%.3f", slices.Min(of)), fmt.Sprintf("%.3f", slices.Max(of)), extra)
	}
	row("news to 5 members at a loss of 0.3, p99, s", "on", five[:], "-")
	row("news to 300 members at a loss of 0.3, p99, s", "on", many[:3], "-")
	row("bytes a second of a member of 300", "on", bytes[:3], "-")
	row("a member of 40 back after 60 s, s until it holds all", "on", back[:], "-")
	ratio := func(i int) float64 {
		ratios := make([]float64, replicaSeeds)
		for seed := range ratios {
			ratios[seed] = shares[i][1][seed] / shares[i][0][seed]
		}
		return median(ratios)
	}
	for i, sc := range gossipScenarios {
		row("worth: "+sc.name, "off", shares[i][0][:], "0")
		row("worth: "+sc.name, "on", shares[i][1][:], fmt.Sprintf("%.1f", median(probes[i][1][:])))
	}
	sum := 0
	for _, n := range diverged {
		sum += n
	}
	r.setValue("converge_s_5", slices.Max(five[:]), "2 or less")
	r.setValue("converge_s_300", slices.Max(many[:3]), "5 or less")
	r.setValue("bytes_s", slices.Max(bytes[:3]), "20000 or less")
	r.setValue("catchup_s", slices.Max(back[:]), "3 or less")
	r.setValue("catchup_burst", slices.Max(burst[:]), "1.0 of the budget")
	r.setValue("diverged", float64(sum), fmt.Sprintf("0 of %d schedules", divergenceSchedules))
	r.setValue("worth_gain", ratio(scenarioEngineFaults), "over 1")
	r.setValue("warm_gain", ratio(scenarioRestarts), "over 1")
	r.setValue("liar_worth", ratio(scenarioOneByzantine), "0.97 or more of alone")
	r.setValue("liars_worth", ratio(scenarioThreeByzantine), "")
	r.setValue("rejoin_worth", ratio(scenarioSilent), "0.99 or more of alone")
	return r, gossipCost(ctx, gateway, r, progress)
}

// gossipCost is what talk costs six processes: processor time and memory, over the same without.
func gossipCost(ctx context.Context, gateway string, r *Report, progress io.Writer) error {
	gateway, remove, err := GatewayProgram(ctx, gateway)
	if err != nil {
		return err
	}
	defer remove()
	var books [2]*harness.Report
	for on := range books {
		text := fmt.Sprintf("cores = 8\nload = 0.6\nlength = \"20s\"\ntalk = %v\n", on == 1)
		for _, name := range []string{"hall-a", "hall-b", "hall-c"} {
			text += fmt.Sprintf("zone %q {\n  gateways = 2\n  engines = 2\n}\n", name)
		}
		script, err := harness.ParseScript([]byte(text), "talk.hcl")
		if err != nil {
			return err
		}
		fmt.Fprintf(progress, "processes, talk %v, %v\n", on == 1, script.Length)
		if books[on], err = harness.Run(ctx, gateway, *script, ""); err != nil {
			return err
		}
		r.addRow("six processes, share of worth", []string{"off", "on"}[on], fmt.Sprintf("%.3f", books[on].ServedShare(1, 20)), "-", "-", "-")
	}
	r.setValue("cpu_ratio", books[1].CPUSeconds/books[0].CPUSeconds, "1.05 or less")
	r.setValue("rss_added_mb", books[1].RSSMB-books[0].RSSMB, "4 or less")
	r.setValue("processes_breaches", float64(len(books[0].Violations)+len(books[1].Violations)), "0")
	return nil
}
