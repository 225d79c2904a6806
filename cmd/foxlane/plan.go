package main

import (
	"cmp"
	"encoding/json"
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
// comes back. It must never decide any of it.

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
		Short: "Say where the load of a lost zone goes, what is refused first, and how its return runs",
		Long: "Plan plays the loss of zones, and their return, with the code that decides at run time.\n" +
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
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(p)
			}
			return p.print(cmd.OutOrStdout())
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&f.site, "site", "", "the operator's own file (HCL); without its block sites the defaults hold")
	fl.StringSliceVar(&f.lose, "lose", nil, "a zone that is lost, engines and gateways; may be given more than once")
	fl.StringSliceVar(&f.returning, "return", nil, "a lost zone that comes back, cold")
	fl.Float64Var(&f.load, "load", 0.6, "work that clients ask for, over what all engines can do; each zone's clients in proportion to its engines")
	fl.DurationVar(&f.at, "at", 5*time.Second, "when the zones are lost")
	fl.DurationVar(&f.outage, "after", 20*time.Second, "how long they are away, with --return")
	fl.DurationVar(&f.unlisted, "unlisted", 4*time.Second, "from the loss until their engines leave the list")
	fl.DurationVar(&f.notice, "notice", 2*time.Second, "from the loss until their clients come to other gateways")
	fl.DurationVar(&f.length, "for", time.Minute, "how long to look")
	fl.BoolVar(&f.asJSON, "json", false, "print JSON")
	return cmd
}

// plan is what is printed.
type plan struct {
	Zones   []string
	Cores   []float64 // of each
	Demand  []float64 // of each one's clients, in cores
	Lost    []string
	Steady  []steady // for each loss: where its load goes once all has settled
	Order   []string // what is refused, first to last
	Seconds []second
}

type steady struct {
	Zone     string
	Held     float64            // foreign load over the limits of spill, in cores
	Unserved float64            // cores that nobody does
	To       map[string]float64 // parts of all load
}

type second struct {
	At    float64
	Asked float64
	Left  float64
	Zones []zoneSecond
}

type zoneSecond struct {
	State                           string
	Share, Room, Own, Foreign, Held float64
	Refused                         []string `json:",omitempty"`
	Shed                            float64
}

func (f *planFlags) compute(cfg config.Config) (*plan, error) {
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
	if !(f.load > 0) || f.at < 0 || f.outage <= 0 || f.length <= 0 || f.length > time.Hour {
		return nil, errors.New("plan: --load and --after must be over 0, --at at least 0, --for over 0 and at most 1h")
	}
	names := cfg.Settings.ZoneNames
	if len(names) == 0 {
		return nil, errors.New("plan: the configuration names no zones")
	}
	set, _ := sites.Resolve(names)
	sc := zones.Scenario{
		LostAt: planTime(f.at), UnlistAfter: planTime(f.unlisted), ClientsMoveAfter: planTime(f.notice), Duration: planTime(f.length),
		ColdSpeed: cfg.Settings.Rules.Constraints.SlowStartInitialSpeed, WarmupTime: cfg.Settings.Rules.Constraints.SlowStartPeriod,
	}
	cores := make([]float64, len(names))
	for _, e := range cfg.InitialList.Engines {
		z, k := slices.Index(names, e.Zone), slices.Index(cfg.Settings.KindNames, e.Kind)
		if z >= 0 && k >= 0 && k < len(cfg.Settings.Rules.Kinds) && e.State == config.StateActive {
			cores[z] += cfg.Settings.Rules.Kinds[k].Cores
		}
	}
	p := &plan{Zones: names, Cores: cores}
	for i, name := range names {
		p.Demand = append(p.Demand, f.load*cores[i])
		sc.Zones = append(sc.Zones, zones.ZoneSpec{Name: name, Cores: cores[i], Demand: f.load * cores[i]})
	}
	for _, name := range append(slices.Clone(f.lose), f.returning...) {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("plan: no zone %q; there are %s", name, strings.Join(names, ", "))
		}
	}
	if len(f.returning) > 0 {
		sc.ReturnAt = sc.LostAt + planTime(f.outage)
	}
	for _, name := range append(slices.Clone(f.lose), f.returning...) {
		if i := slices.Index(names, name); !slices.Contains(sc.LostZones, i) {
			sc.LostZones = append(sc.LostZones, i)
			p.Lost = append(p.Lost, name)
		}
	}
	sc.Classes = classSpecs(cfg, sites)
	p.Order = append([]string{"tenants over their share", "repeats of what failed before"}, classOrder(sc.Classes)...)
	for i := range names {
		p.Steady = append(p.Steady, steadyState(set, sc, i))
	}
	for _, m := range zones.Simulate(set, sc) {
		s := second{At: float64(m.At/rules.Millisecond) / 1000, Asked: m.Demand, Left: m.Unserved}
		for _, z := range m.Zones {
			s.Zones = append(s.Zones, zoneSecond{z.State.String(), z.LoadShare, z.Capacity, z.OwnLoad, z.ForeignLoad, z.BlockedLoad, z.RejectedClasses, z.ShedLoad})
		}
		p.Seconds = append(p.Seconds, s)
	}
	return p, nil
}

func planTime(d time.Duration) rules.Time { return rules.Time(d / time.Microsecond) }

// classSpecs are the classes by their part of the work, and by what they earn for it.
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

func classOrder(classes []zones.ClassSpec) (out []string) {
	byRank := slices.Clone(classes)
	slices.SortStableFunc(byRank, func(a, b zones.ClassSpec) int { return cmp.Compare(a.ValuePerCoreSecond, b.ValuePerCoreSecond) })
	for _, c := range byRank[:max(len(byRank)-1, 0)] {
		out = append(out, c.Name)
	}
	return out
}

// steadyState plays the loss of one zone until nothing changes any more.
func steadyState(set zones.Settings, sc zones.Scenario, lose int) steady {
	sc.LostZones, sc.LostAt, sc.ReturnAt, sc.Duration = []int{lose}, rules.Second, 0, rules.Second+sc.UnlistAfter+sc.ClientsMoveAfter+20*rules.Second
	moments := zones.Simulate(set, sc)
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

func (p *plan) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "zone\tcores\tclients ask\tif it is lost: unserved\theld\tparts of all load go to\t\n")
	for i, name := range p.Zones {
		var to []string
		for _, other := range p.Zones {
			if part := p.Steady[i].To[other]; part > 0.0005 {
				to = append(to, fmt.Sprintf("%s %.2f", other, part))
			}
		}
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t%.1f\t%.1f\t%s\t\n", name, p.Cores[i], p.Demand[i], p.Steady[i].Unserved, p.Steady[i].Held, strings.Join(to, ", "))
	}
	fmt.Fprintf(t, "\n")
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "refused first: %s; then no more\n", strings.Join(p.Order, ", "))
	if len(p.Lost) == 0 {
		return nil
	}
	fmt.Fprintf(w, "\nloss of %s, loads in cores\n", strings.Join(p.Lost, ", "))
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "s\tasked\tleft\t")
	for _, name := range p.Zones {
		fmt.Fprintf(t, "%s\tshare\town\tforeign\tcan do\trefused\t", name)
	}
	fmt.Fprint(t, "\n")
	for _, s := range p.Seconds {
		fmt.Fprintf(t, "%.0f\t%.1f\t%.1f\t", s.At, s.Asked, s.Left)
		for _, z := range s.Zones {
			refused := "-"
			if len(z.Refused) > 0 {
				refused = strings.Join(z.Refused, "+")
			}
			fmt.Fprintf(t, "%s\t%.2f\t%.1f\t%.1f\t%.1f\t%s\t", z.State, z.Share, z.Own, z.Foreign, z.Room, refused)
		}
		fmt.Fprint(t, "\n")
	}
	return t.Flush()
}
