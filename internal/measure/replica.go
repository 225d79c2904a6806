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
	copySeeds   = 10
	schedules   = 10_000
	talkers     = 60 // gateways of the worth scenes
	talkEngines = 15
	copyStart   = 1000 * rules.Second
)

// club is pure members that know one another.
type club struct {
	*emulator.Talk
	all []*emulator.Copier
}

func clubName(i int) string { return fmt.Sprintf("n%03d", i) }

func clubSettings(i int, life uint64) replica.Settings {
	s := replica.Defaults()
	s.Name, s.Zone, s.Incarnation, s.Seed = clubName(i), fmt.Sprint("hall-", i%3), life, uint64(i)*7919+life
	return s
}

func newClub(n int, m emulator.TalkModel, seed uint64, change func(*replica.Settings)) *club {
	c := &club{Talk: emulator.NewTalk(m, replica.Defaults().GossipInterval, copyStart, seed), all: make([]*emulator.Copier, n)}
	for i := range n {
		c.start(i, 1, change)
	}
	return c
}

func (c *club) start(i int, life uint64, change func(*replica.Settings)) {
	s := clubSettings(i, life)
	if change != nil {
		change(&s)
	}
	m := &emulator.Copier{Replica: replica.New(s, c.Now)}
	for j, o := range c.all {
		if o != nil && j != i {
			o.Meet(c.Now, replica.Member{Name: s.Name, Zone: s.Zone})
			m.Meet(c.Now, replica.Member{Name: clubName(j), Zone: fmt.Sprint("hall-", j%3)})
		}
	}
	c.all[i] = m
	c.Add(s.Name, m)
}

// converge is how long news take to all members: the 99th percentile over members and news, in seconds, while each member tells of its
// own load; and the bytes a second that a member sends.
func converge(n int, seed uint64) (p99, bytesS float64) {
	c := newClub(n, emulator.TalkModel{Loss: 0.3, Double: 0.05, Least: rules.Millisecond, Most: 100 * rules.Millisecond}, seed, nil)
	rng := rand.New(rand.NewPCG(seed, 2))
	born := map[uint64]rules.Time{}
	var took []float64
	for i, m := range c.all {
		m.Heard = func(now rules.Time, _ string, e replica.Entry) {
			if at, ok := born[e.Subject]; ok && e.Kind == replica.EngineFault {
				took = append(took, float64(now-at)/float64(rules.Second))
			}
		}
		_ = i
	}
	const warm, length, news = 5, 20, 20
	for s := range warm + length {
		for i, m := range c.all {
			m.Replica.Put(c.Now, replica.Key{Kind: replica.OfferedLoad}, replica.Value{float32(s + i)})
		}
		if s == warm {
			clear(c.Sent)
		}
		if s >= warm && s < warm+length-8 {
			for k := range news / 10 {
				subject := uint64(s*100 + k)
				born[subject] = c.Now
				c.all[rng.IntN(n)].Replica.Put(c.Now, replica.Key{Kind: replica.EngineFault, Subject: subject}, replica.Value{1})
			}
		}
		c.Run(c.Now + rules.Second)
	}
	sent := 0
	for _, b := range c.Sent {
		sent += b
	}
	want := len(born) * (n - 1)
	for len(took) < want { // what never came
		took = append(took, length)
	}
	slices.Sort(took)
	return took[len(took)*99/100], float64(sent) / float64(n) / length
}

// catchUp is how long a member that stood still for 60 s takes to hold what all others wrote before it went on, and the most that any
// member sent within a second over the budget.
func catchUp(n int, seed uint64) (seconds, burst float64) {
	c := newClub(n, emulator.TalkModel{Loss: 0.05, Least: rules.Millisecond, Most: 20 * rules.Millisecond}, seed, nil)
	write := func() {
		for i, m := range c.all {
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
	c.Freeze(clubName(3), true)
	run(60)
	want := map[[2]any]uint64{}
	for _, cp := range c.all[1].Replica.Copies() {
		for _, e := range cp.Entries {
			if cp.Origin != clubName(3) {
				want[[2]any{cp.Origin, e.Subject}] = e.Counter
			}
		}
	}
	c.Freeze(clubName(3), false)
	began := c.Now
	for range 100 {
		have := 0
		for _, cp := range c.all[3].Replica.Copies() {
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
	for _, peak := range c.Peak {
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
	c := newClub(4, emulator.TalkModel{Loss: rng.Float64() * 0.4, Double: 0.1, Least: rules.Millisecond, Most: rules.Time(1+rng.IntN(2000)) * rules.Millisecond}, seed, keep)
	life := [4]uint64{1, 1, 1, 1}
	for range 6 {
		i := rng.IntN(4)
		switch rng.IntN(6) {
		case 0:
			c.Split(func(n string) int { return int(n[3]) % 2 })
		case 1:
			c.Split(func(n string) int { return int(n[3]) % 3 })
		case 2:
			c.Cut(clubName(i), clubName(rng.IntN(4)), true)
		case 3:
			life[i]++
			c.Remove(clubName(i))
			c.start(i, life[i], keep)
		case 4:
			c.Freeze(clubName(i), rng.IntN(2) == 0)
		}
		for range 3 {
			c.all[rng.IntN(4)].Replica.Put(c.Now, replica.Key{Kind: replica.Kind(1 + rng.IntN(int(replica.KindCount)-1)), Subject: uint64(rng.IntN(3))},
				replica.Value{rng.Float32()})
		}
		c.Run(c.Now + rules.Time(rng.IntN(2500))*rules.Millisecond)
	}
	for i := range 4 {
		c.Freeze(clubName(i), false)
	}
	c.Split(func(string) int { return 0 })
	c.Model = emulator.TalkModel{Least: rules.Millisecond, Most: 20 * rules.Millisecond}
	c.Run(c.Now + 10*rules.Second)
	type held struct {
		life, counter uint64
		value         replica.Value
	}
	var first map[string]held
	for _, m := range c.all {
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

// talkScene is a scene of the modelled fleet, alone and with gateways that talk.
type talkScene struct {
	name   string
	load   float64
	faults []emulator.Fault
	talk   func(*emulator.HearsayModel)
	told   float64 // work that clients tell, over what it is; 0: 1
	from   int
	to     int
}

// Worth scenes, by place in talkScenes.
const (
	talkFails = iota
	talkWarm
	talkLiar
	talkLiars
	talkAlone
)

func fifthFails() emulator.Fault { return emulator.Silence(8*rules.Second, 20*rules.Second, 0.2) }

var talkScenes = []talkScene{
	{"a fifth of the engines silent for 20 s", 0.5, []emulator.Fault{fifthFails()}, nil, 0, 8, 28},
	{"three tenths start anew, four times, told work is a quarter", 0.9, []emulator.Fault{emulator.Kill(8*rules.Second, 0.3, rules.Second),
		emulator.Kill(10*rules.Second, 0.3, rules.Second), emulator.Kill(12*rules.Second, 0.3, rules.Second), emulator.Kill(14*rules.Second, 0.3, rules.Second)}, nil, 0.25, 8, 22},
	{"the same as the first, one member lies", 0.5, []emulator.Fault{fifthFails()}, func(m *emulator.HearsayModel) { m.Liars = 1 }, 0, 8, 28},
	{"the same, three members lie", 0.5, []emulator.Fault{fifthFails()}, func(m *emulator.HearsayModel) { m.Liars = 3 }, 0, 8, 28},
	{"the same, nobody hears anybody from 6 s on", 0.5, []emulator.Fault{fifthFails()}, func(m *emulator.HearsayModel) { m.Silent = 6 * rules.Second }, 0, 8, 28},
}

func (sc talkScene) play(talk bool, seed uint64) (share float64, probes int) {
	s := emulator.Warehouse(talkers, talkEngines, sc.load, seed)
	s.Zones, s.Faults = 3, sc.faults
	for i := range s.Classes {
		s.Classes[i].Told = sc.told
	}
	if talk {
		m := &emulator.HearsayModel{Way: emulator.TalkModel{Loss: 0.05, Least: rules.Millisecond, Most: 10 * rules.Millisecond}, Notice: 2 * rules.Second,
			Hearsay: gossip.Defaults()}
		if sc.talk != nil {
			sc.talk(m)
		}
		s.Talk = m
	}
	b := emulator.New(s).Run()
	return b.Share(sc.from, sc.to), b.Probes
}

// MeasureReplica measures the talk among gateways: pure members and the modelled fleet in virtual time, and six processes.
func MeasureReplica(ctx context.Context, gateway string, progress io.Writer) (*Report, error) {
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
	var five, many, bytes, back, burst [copySeeds]float64
	for seed := range copySeeds {
		play(func() { five[seed], _ = converge(5, uint64(seed)+1) })
		play(func() { back[seed], burst[seed] = catchUp(40, uint64(seed)+1) })
		if seed < 3 {
			play(func() { many[seed], bytes[seed] = converge(300, uint64(seed)+1) })
		}
	}
	diverged := make([]int, 20)
	for part := range diverged {
		play(func() {
			for i := range schedules / len(diverged) {
				if ctx.Err() == nil && diverges(uint64(part*schedules+i)) {
					diverged[part]++
				}
			}
		})
	}
	shares := make([][2][copySeeds]float64, len(talkScenes))
	probes := make([][2][copySeeds]float64, len(talkScenes))
	for i, sc := range talkScenes {
		for on := range 2 {
			for seed := range copySeeds {
				play(func() {
					share, n := sc.play(on == 1, uint64(seed)+1)
					shares[i][on][seed], probes[i][on][seed] = share, float64(n)/talkers
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
		r.row(name, talk, fmt.Sprintf("%.3f", median(of)), fmt.Sprintf("%.3f", slices.Min(of)), fmt.Sprintf("%.3f", slices.Max(of)), extra)
	}
	row("news to 5 members at a loss of 0.3, p99, s", "on", five[:], "-")
	row("news to 300 members at a loss of 0.3, p99, s", "on", many[:3], "-")
	row("bytes a second of a member of 300", "on", bytes[:3], "-")
	row("a member of 40 back after 60 s, s until it holds all", "on", back[:], "-")
	ratio := func(i int) float64 {
		ratios := make([]float64, copySeeds)
		for seed := range ratios {
			ratios[seed] = shares[i][1][seed] / shares[i][0][seed]
		}
		return median(ratios)
	}
	for i, sc := range talkScenes {
		row("worth: "+sc.name, "off", shares[i][0][:], "0")
		row("worth: "+sc.name, "on", shares[i][1][:], fmt.Sprintf("%.1f", median(probes[i][1][:])))
	}
	sum := 0
	for _, n := range diverged {
		sum += n
	}
	r.set("converge_s_5", slices.Max(five[:]), "2 or less")
	r.set("converge_s_300", slices.Max(many[:3]), "5 or less")
	r.set("bytes_s", slices.Max(bytes[:3]), "20000 or less")
	r.set("catchup_s", slices.Max(back[:]), "3 or less")
	r.set("catchup_burst", slices.Max(burst[:]), "1.0 of the budget")
	r.set("diverged", float64(sum), fmt.Sprintf("0 of %d schedules", schedules))
	r.set("worth_gain", ratio(talkFails), "over 1")
	r.set("warm_gain", ratio(talkWarm), "over 1")
	r.set("liar_worth", ratio(talkLiar), "0.97 or more of alone")
	r.set("liars_worth", ratio(talkLiars), "")
	r.set("rejoin_worth", ratio(talkAlone), "0.99 or more of alone")
	return r, talkCost(ctx, gateway, r, progress)
}

// talkCost is what talk costs six processes: processor time and memory, over the same without.
func talkCost(ctx context.Context, gateway string, r *Report, progress io.Writer) error {
	gateway, remove, err := Program(ctx, gateway)
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
		r.row("six processes, share of worth", []string{"off", "on"}[on], fmt.Sprintf("%.3f", books[on].ServedShare(1, 20)), "-", "-", "-")
	}
	r.set("cpu_ratio", books[1].CPUSeconds/books[0].CPUSeconds, "1.05 or less")
	r.set("rss_added_mb", books[1].RSSMB-books[0].RSSMB, "4 or less")
	r.set("processes_breaches", float64(len(books[0].Violations)+len(books[1].Violations)), "0")
	return nil
}
