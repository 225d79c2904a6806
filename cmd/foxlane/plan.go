package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"foxlane/internal/config"
	"foxlane/internal/site"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file owns `foxlane plan`: it prints what the code that decides at run time would do when a zone is lost and
// returns. It must never decide any of it.

// planFlags are the flags of the command.
type planFlags struct {
	site      string
	lose      []string
	returning []string
	load      float64
	at        time.Duration
	outage    time.Duration
	unlisted  time.Duration
	notice    time.Duration
	length    time.Duration
	asJSON    bool
}

func planCommand() *cobra.Command {
	var f planFlags
	cmd := &cobra.Command{
		Use:   "plan [FILE]",
		Short: "Show where the load of a lost zone goes, what is rejected first, and how the zone returns",
		Long: "Plan simulates the loss of zones, and their return, with the code that decides at run time.\n" +
			"FILE is a gateway's configuration (" + config.EnvConfig + " if it is left out): zones, engines, classes.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := os.Getenv(config.EnvConfig)
			if len(args) > 0 {
				path = args[0]
			}
			if path == "" {
				return errors.New("plan: name a configuration, or set " + config.EnvConfig)
			}
			cfg, err := config.LoadFile(path)
			if err != nil {
				return err
			}
			p, err := f.compute(cfg)
			if err != nil {
				return err
			}
			if f.asJSON {
				return printJSON(cmd.OutOrStdout(), p)
			}
			return p.print(cmd.OutOrStdout())
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&f.site, "site", "", "the operator's own file (HCL); without its block sites the defaults hold")
	fl.StringSliceVar(&f.lose, "lose", nil, "a zone that is lost, engines and gateways; may be given more than once")
	fl.StringSliceVar(&f.returning, "return", nil, "a lost zone that returns, cold")
	fl.Float64Var(&f.load, "load", 0.6, "offered work over what all engines can do; each zone's clients in proportion to its engines")
	fl.DurationVar(&f.at, "at", 5*time.Second, "when the zones are lost")
	fl.DurationVar(&f.outage, "after", 20*time.Second, "how long they are away, with --return")
	fl.DurationVar(&f.unlisted, "unlisted", 4*time.Second, "from the loss until their engines leave the list")
	fl.DurationVar(&f.notice, "notice", 2*time.Second, "from the loss until their clients use other gateways")
	fl.DurationVar(&f.length, "for", time.Minute, "how long to simulate")
	fl.BoolVar(&f.asJSON, "json", false, "print JSON")
	return cmd
}

// plan is what is printed. The names of its fields, and of those of its parts, are the keys of --json.
type plan struct {
	Zones   []string
	Cores   []float64 // by zone
	Demand  []float64 // of the zone's clients, in cores
	Lost    []string
	Steady  []steady // by zone: where its load goes once it is lost and all has settled
	Order   []string // what is rejected, first to last
	Seconds []second
}

// steady is the fleet after the loss of one zone.
type steady struct {
	Zone     string
	Held     float64            // load that the spillover limits keep from other zones, in cores
	Unserved float64            // load that nobody serves, in cores
	To       map[string]float64 // parts of all load, by zone
}

// second is one second of the simulation. Loads are in cores.
type second struct {
	At    float64
	Asked float64 // demand
	Left  float64 // unserved
	Zones []zoneSecond
}

type zoneSecond struct {
	State                           string
	Share, Room, Own, Foreign, Held float64  // Room: its capacity
	Refused                         []string `json:",omitempty"` // classes that are rejected
	Shed                            float64
}

// compute simulates the loss that the flags describe.
func (f *planFlags) compute(cfg config.Config) (*plan, error) {
	if err := f.validate(); err != nil {
		return nil, err
	}
	sites := &site.Zones{Settings: zones.Defaults()}
	if f.site != "" {
		s, err := site.LoadFile(f.site)
		if err != nil {
			return nil, err
		}
		if s.Zones != nil {
			sites = s.Zones
		}
	}
	names := cfg.Settings.ZoneNames
	if len(names) == 0 {
		return nil, errors.New("plan: the configuration names no zones")
	}
	settings, _ := sites.Resolve(names)
	cores := coresByZone(cfg)
	p := &plan{Zones: names, Cores: cores}
	sc := zones.Scenario{
		LostAt: planTime(f.at), UnlistAfter: planTime(f.unlisted), ClientsMoveAfter: planTime(f.notice), Duration: planTime(f.length),
		ColdSpeed: cfg.Settings.Rules.Constraints.SlowStartInitialSpeed, WarmupTime: cfg.Settings.Rules.Constraints.SlowStartPeriod,
		Classes: classSpecs(cfg, sites),
	}
	for i, name := range names {
		p.Demand = append(p.Demand, f.load*cores[i])
		sc.Zones = append(sc.Zones, zones.ZoneSpec{Name: name, Cores: cores[i], Demand: f.load * cores[i]})
	}
	if len(f.returning) > 0 {
		sc.ReturnAt = sc.LostAt + planTime(f.outage)
	}
	for _, name := range slices.Concat(f.lose, f.returning) {
		i := slices.Index(names, name)
		if i < 0 {
			return nil, fmt.Errorf("plan: no zone %q; there are %s", name, strings.Join(names, ", "))
		}
		if !slices.Contains(sc.LostZones, i) {
			sc.LostZones = append(sc.LostZones, i)
			p.Lost = append(p.Lost, name)
		}
	}
	p.Order = append([]string{"tenants over their share", "repeats of what failed before"}, classOrder(sc.Classes)...)
	for i := range names {
		p.Steady = append(p.Steady, steadyState(settings, sc, i))
	}
	for _, m := range zones.Simulate(settings, sc) {
		s := second{At: float64(m.At/rules.Millisecond) / 1000, Asked: m.Demand, Left: m.Unserved}
		for _, z := range m.Zones {
			s.Zones = append(s.Zones, zoneSecond{z.State.String(), z.LoadShare, z.Capacity, z.OwnLoad, z.ForeignLoad, z.BlockedLoad, z.RejectedClasses, z.ShedLoad})
		}
		p.Seconds = append(p.Seconds, s)
	}
	return p, nil
}

// maxPlanLength bounds the time that a simulation takes.
const maxPlanLength = time.Hour

// validate checks the flags that have a range.
func (f *planFlags) validate() error {
	switch {
	case !(f.load > 0): // not a number, too
		return fmt.Errorf("plan: --load is %v, must be over 0", f.load)
	case f.at < 0:
		return fmt.Errorf("plan: --at is %v, must be at least 0", f.at)
	case f.outage <= 0:
		return fmt.Errorf("plan: --after is %v, must be over 0", f.outage)
	case f.length <= 0 || f.length > maxPlanLength:
		return fmt.Errorf("plan: --for is %v, must be over 0 and at most %v", f.length, maxPlanLength)
	}
	return nil
}

// coresByZone are the cores of the active engines that the configuration lists.
func coresByZone(cfg config.Config) []float64 {
	cores := make([]float64, len(cfg.Settings.ZoneNames))
	for _, e := range cfg.InitialList.Engines {
		z, k := slices.Index(cfg.Settings.ZoneNames, e.Zone), slices.Index(cfg.Settings.KindNames, e.Kind)
		if z >= 0 && k >= 0 && k < len(cfg.Settings.Rules.Kinds) && e.State == config.StateActive {
			cores[z] += cfg.Settings.Rules.Kinds[k].Cores
		}
	}
	return cores
}

// planTime is a duration in the unit of the rules.
func planTime(d time.Duration) rules.Time { return rules.Time(d / time.Microsecond) }

// classSpecs are the classes with their part of the work and their value for it.
func classSpecs(cfg config.Config, sites *site.Zones) []zones.ClassSpec {
	n := len(cfg.Settings.ClassNames)
	out := make([]zones.ClassSpec, n)
	total := 0.0
	for i, name := range cfg.Settings.ClassNames {
		c := cfg.Settings.Rules.Classes[i]
		part, work := 1.0, float64(c.LatencyObjective)*float64(max(1, c.Threads))
		for _, k := range sites.Classes {
			if k.Name == name {
				part, work = k.RequestWeight*float64(k.MeanWork), float64(k.MeanWork)
			}
		}
		out[i] = zones.ClassSpec{Name: name, DemandFraction: part, ValuePerCoreSecond: c.PriorityWeight * float64(rules.Second) / max(work, 1)}
		total += part
	}
	for i := range out {
		out[i].DemandFraction /= max(total, 1e-9)
	}
	return out
}

// classOrder are the classes in the order in which they are rejected. The most valuable one is never rejected.
func classOrder(classes []zones.ClassSpec) (out []string) {
	byValue := slices.Clone(classes)
	slices.SortStableFunc(byValue, func(a, b zones.ClassSpec) int { return cmp.Compare(a.ValuePerCoreSecond, b.ValuePerCoreSecond) })
	for _, c := range byValue[:max(len(byValue)-1, 0)] {
		out = append(out, c.Name)
	}
	return out
}

// steadyState simulates the loss of one zone until nothing changes any more.
func steadyState(settings zones.Settings, sc zones.Scenario, lose int) steady {
	sc.LostZones, sc.LostAt, sc.ReturnAt, sc.Duration = []int{lose}, rules.Second, 0, rules.Second+sc.UnlistAfter+sc.ClientsMoveAfter+20*rules.Second
	moments := zones.Simulate(settings, sc)
	last := moments[len(moments)-1]
	s := steady{Zone: sc.Zones[lose].Name, Unserved: last.Unserved, To: map[string]float64{}}
	for i, z := range last.Zones {
		s.Held += z.BlockedLoad
		if last.Demand > 0 {
			s.To[sc.Zones[i].Name] = (z.OwnLoad + z.ForeignLoad) / last.Demand
		}
	}
	return s
}

// minShownPart is the part of the load from which a zone is named: less is 0.00 when rounded.
const minShownPart = 0.0005

func (p *plan) print(w io.Writer) error {
	err := printTable(w, tabwriter.AlignRight, func(t *printer) {
		t.printf("zone\tcores\tclients ask\tif it is lost: unserved\theld\tparts of all load go to\t\n")
		for i, name := range p.Zones {
			var to []string
			for _, other := range p.Zones {
				if part := p.Steady[i].To[other]; part > minShownPart {
					to = append(to, fmt.Sprintf("%s %.2f", other, part))
				}
			}
			t.printf("%s\t%.0f\t%.1f\t%.1f\t%.1f\t%s\t\n", name, p.Cores[i], p.Demand[i], p.Steady[i].Unserved, p.Steady[i].Held, strings.Join(to, ", "))
		}
		t.printf("\n")
	})
	if err != nil {
		return err
	}
	out := &printer{w: w}
	out.printf("refused first: %s; then no more\n", strings.Join(p.Order, ", "))
	if len(p.Lost) == 0 {
		return out.err
	}
	out.printf("\nloss of %s, loads in cores\n", strings.Join(p.Lost, ", "))
	if out.err != nil {
		return out.err
	}
	return printTable(w, tabwriter.AlignRight, p.printSeconds)
}

func (p *plan) printSeconds(t *printer) {
	t.printf("s\tasked\tleft\t")
	for _, name := range p.Zones {
		t.printf("%s\tshare\town\tforeign\tcan do\trefused\t", name)
	}
	t.printf("\n")
	for _, s := range p.Seconds {
		t.printf("%.0f\t%.1f\t%.1f\t", s.At, s.Asked, s.Left)
		for _, z := range s.Zones {
			rejected := "-"
			if len(z.Refused) > 0 {
				rejected = strings.Join(z.Refused, "+")
			}
			t.printf("%s\t%.2f\t%.1f\t%.1f\t%.1f\t%s\t", z.State, z.Share, z.Own, z.Foreign, z.Room, rejected)
		}
		t.printf("\n")
	}
}
