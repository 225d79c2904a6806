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

// This file implements `foxlane plan`, which prints how gateways would react to the loss and the return of zones. All
// decisions come from package zones, the code that gateways run.

// planFlags are the flags of `foxlane plan`.
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
		Long: "Plan simulates the loss of zones, and their return, with the code that gateways run.\n" +
			"FILE is a gateway's configuration, with its zones, engines and classes; without it, the file in " + config.EnvConfig + " is used.",
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
	flags := cmd.Flags()
	flags.StringVar(&f.site, "site", "", "the operator's own file (HCL); without a block sites in it the defaults apply")
	flags.StringSliceVar(&f.lose, "lose", nil, "a zone that is lost with its engines and gateways; may be given more than once")
	flags.StringSliceVar(&f.returning, "return", nil, "a lost zone that returns, with cold engines")
	flags.Float64Var(&f.load, "load", 0.6, "ratio of offered work to the capacity of all engines; each zone's clients offer work in proportion to its engines")
	flags.DurationVar(&f.at, "at", 5*time.Second, "when the zones are lost")
	flags.DurationVar(&f.outage, "after", 20*time.Second, "how long the zones are lost, with --return")
	flags.DurationVar(&f.unlisted, "unlisted", 4*time.Second, "time from the loss of zones until their engines leave the endpoint list")
	flags.DurationVar(&f.notice, "notice", 2*time.Second, "time from the loss of zones until their clients use other gateways")
	flags.DurationVar(&f.length, "for", time.Minute, "how long to simulate")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
	return cmd
}

// plan is the output of the command. The names of its fields, and of the fields of the types in it, are the keys of
// --json.
type plan struct {
	Zones   []string
	Cores   []float64 // by zone
	Demand  []float64 // of the zone's clients, in cores
	Lost    []string
	Steady  []steadyLoss // by zone: where its load goes after its loss, in the steady state
	Order   []string     // kinds of requests in the order in which they are rejected
	Seconds []second
}

// steadyLoss is the steady state of the fleet after the loss of one zone.
type steadyLoss struct {
	Zone     string
	Held     float64            // load that the spillover limits keep from other zones, in cores
	Unserved float64            // load that no zone serves, in cores
	To       map[string]float64 // fraction of the whole load that each zone receives, by name
}

// second is the state at one second of the simulation. Loads are in cores.
type second struct {
	At    float64 // seconds since the start
	Asked float64 // demand
	Left  float64 // unserved
	Zones []zoneSecond
}

// zoneSecond is the state of one zone in a second: the fraction of its normal load that it receives (Share), its
// capacity (Room), the load from its own and from other zones' gateways, the load of other zones that exceeds the
// spillover limit (Held), and the load shed.
type zoneSecond struct {
	State                           string
	Share, Room, Own, Foreign, Held float64
	Refused                         []string `json:",omitempty"` // classes that are rejected
	Shed                            float64
}

// compute simulates the losses and returns that the flags describe.
func (f *planFlags) compute(cfg config.Config) (*plan, error) {
	if err := f.validate(); err != nil {
		return nil, err
	}
	zoneSettings := &site.Zones{Settings: zones.Defaults()}
	if f.site != "" {
		s, err := site.LoadFile(f.site)
		if err != nil {
			return nil, err
		}
		if s.Zones != nil {
			zoneSettings = s.Zones
		}
	}
	names := cfg.Settings.ZoneNames
	if len(names) == 0 {
		return nil, errors.New("plan: the configuration names no zones")
	}
	settings, _ := zoneSettings.Resolve(names)
	cores := coresByZone(cfg)
	p := &plan{Zones: names, Cores: cores}
	scenario := zones.Scenario{
		LostAt: toRulesTime(f.at), UnlistAfter: toRulesTime(f.unlisted), ClientsMoveAfter: toRulesTime(f.notice), Duration: toRulesTime(f.length),
		ColdSpeed: cfg.Settings.Rules.Constraints.SlowStartInitialSpeed, WarmupTime: cfg.Settings.Rules.Constraints.SlowStartPeriod,
		Classes: classSpecs(cfg, zoneSettings),
	}
	for i, name := range names {
		p.Demand = append(p.Demand, f.load*cores[i])
		scenario.Zones = append(scenario.Zones, zones.ZoneSpec{Name: name, Cores: cores[i], Demand: f.load * cores[i]})
	}
	if len(f.returning) > 0 {
		scenario.ReturnAt = scenario.LostAt + toRulesTime(f.outage)
	}
	for _, name := range slices.Concat(f.lose, f.returning) {
		i := slices.Index(names, name)
		if i < 0 {
			return nil, fmt.Errorf("plan: no zone %q; there are %s", name, strings.Join(names, ", "))
		}
		if !slices.Contains(scenario.LostZones, i) {
			scenario.LostZones = append(scenario.LostZones, i)
			p.Lost = append(p.Lost, name)
		}
	}
	p.Order = append([]string{"tenants over their share", "repeats of what failed before"}, rejectionOrder(scenario.Classes)...)
	for i := range names {
		p.Steady = append(p.Steady, steadyState(settings, scenario, i))
	}
	for _, sample := range zones.Simulate(settings, scenario) {
		s := second{At: float64(sample.At/rules.Millisecond) / 1000, Asked: sample.Demand, Left: sample.Unserved}
		for _, z := range sample.Zones {
			s.Zones = append(s.Zones, zoneSecond{z.State.String(), z.LoadShare, z.Capacity, z.OwnLoad, z.ForeignLoad, z.BlockedLoad, z.RejectedClasses, z.ShedLoad})
		}
		p.Seconds = append(p.Seconds, s)
	}
	return p, nil
}

// maxPlanLength bounds --for, and with it how long the command takes.
const maxPlanLength = time.Hour

// validate checks the ranges of the flags.
func (f *planFlags) validate() error {
	switch {
	case !(f.load > 0): // also true of NaN
		return fmt.Errorf("plan: --load is %v, must be greater than 0", f.load)
	case f.at < 0:
		return fmt.Errorf("plan: --at is %v, must be at least 0", f.at)
	case f.outage <= 0:
		return fmt.Errorf("plan: --after is %v, must be greater than 0", f.outage)
	case f.length <= 0 || f.length > maxPlanLength:
		return fmt.Errorf("plan: --for is %v, must be greater than 0 and at most %v", f.length, maxPlanLength)
	}
	return nil
}

// coresByZone returns, for each zone, the cores of the active engines that the configuration lists.
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

// toRulesTime converts a duration to the unit of package rules, microseconds.
func toRulesTime(d time.Duration) rules.Time { return rules.Time(d / time.Microsecond) }

// classSpecs returns the classes with their fraction of the demand and their value per core second. A class that the
// operator's file does not describe counts with a weight of 1, and its work is its latency objective times its threads.
func classSpecs(cfg config.Config, zoneSettings *site.Zones) []zones.ClassSpec {
	n := len(cfg.Settings.ClassNames)
	out := make([]zones.ClassSpec, n)
	total := 0.0
	for i, name := range cfg.Settings.ClassNames {
		c := cfg.Settings.Rules.Classes[i]
		weight, work := 1.0, float64(c.LatencyObjective)*float64(max(1, c.Threads))
		for _, planned := range zoneSettings.Classes {
			if planned.Name == name {
				weight, work = planned.RequestWeight*float64(planned.MeanWork), float64(planned.MeanWork)
			}
		}
		out[i] = zones.ClassSpec{Name: name, DemandFraction: weight, ValuePerCoreSecond: c.PriorityWeight * float64(rules.Second) / max(work, 1)}
		total += weight
	}
	for i := range out {
		out[i].DemandFraction /= max(total, 1e-9)
	}
	return out
}

// rejectionOrder returns the names of the classes in the order in which they are rejected, lowest value first. The most
// valuable class is never rejected.
func rejectionOrder(classes []zones.ClassSpec) (out []string) {
	byValue := slices.Clone(classes)
	slices.SortStableFunc(byValue, func(a, b zones.ClassSpec) int { return cmp.Compare(a.ValuePerCoreSecond, b.ValuePerCoreSecond) })
	for _, c := range byValue[:max(len(byValue)-1, 0)] {
		out = append(out, c.Name)
	}
	return out
}

// steadyState simulates the loss of one zone until the fleet has settled.
func steadyState(settings zones.Settings, scenario zones.Scenario, lostZone int) steadyLoss {
	scenario.LostZones, scenario.LostAt, scenario.ReturnAt, scenario.Duration = []int{lostZone}, rules.Second, 0, rules.Second+scenario.UnlistAfter+scenario.ClientsMoveAfter+20*rules.Second
	samples := zones.Simulate(settings, scenario)
	last := samples[len(samples)-1]
	s := steadyLoss{Zone: scenario.Zones[lostZone].Name, Unserved: last.Unserved, To: map[string]float64{}}
	for i, z := range last.Zones {
		s.Held += z.BlockedLoad
		if last.Demand > 0 {
			s.To[scenario.Zones[i].Name] = (z.OwnLoad + z.ForeignLoad) / last.Demand
		}
	}
	return s
}

// minShownFraction is the smallest fraction of the load with which a zone is named: less would be printed as 0.00.
const minShownFraction = 0.0005

func (p *plan) print(w io.Writer) error {
	err := printTable(w, tabwriter.AlignRight, func(t *printer) {
		t.printf("zone\tcores\tclients ask\tif it is lost: unserved\theld\tparts of all load go to\t\n")
		for i, name := range p.Zones {
			var to []string
			for _, other := range p.Zones {
				if fraction := p.Steady[i].To[other]; fraction > minShownFraction {
					to = append(to, fmt.Sprintf("%s %.2f", other, fraction))
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
