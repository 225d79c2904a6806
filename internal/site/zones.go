package site

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file owns the block `sites`: what becomes of the load of a zone that is lost, comes back or is drained.

// Zones are the settings of the zones, by name.
type Zones struct {
	Settings zones.Settings // but for its tiers, which Resolve fills in
	Zones    []Zone
	Classes  []PlanClass
}

// Zone is a zone that the file names.
type Zone struct {
	Name          string
	FailoverTiers [][]string // tiers beyond itself, nearest first
	Drain         bool
}

// PlanClass is what a plan takes a class for. At run time both figures are learned.
type PlanClass struct {
	Name          string
	RequestWeight float64    // part of all requests, in any unit
	MeanWork      rules.Time // mean of one, all threads together
}

type zonesBlock struct {
	Range         hcl.Range        `hcl:",def_range"`
	Overprovision *hcl.Attribute   `hcl:"overprovision,optional"`
	Panic         *hcl.Attribute   `hcl:"panic,optional"`
	Spill         *hcl.Attribute   `hcl:"spill,optional"`
	Retries       *hcl.Attribute   `hcl:"retries,optional"`
	LostBelow     *hcl.Attribute   `hcl:"lost_below,optional"`
	BackOver      *hcl.Attribute   `hcl:"back_over,optional"`
	Settle        *hcl.Attribute   `hcl:"settle,optional"`
	Ramp          *hcl.Attribute   `hcl:"ramp,optional"`
	Jitter        *hcl.Attribute   `hcl:"jitter,optional"`
	DrainOver     *hcl.Attribute   `hcl:"drain_over,optional"`
	Damping       *dampingBlock    `hcl:"damping,block"`
	Shedding      *sheddingBlock   `hcl:"shedding,block"`
	Zones         []zoneBlock      `hcl:"zone,block"`
	Classes       []planClassBlock `hcl:"class,block"`
}

type dampingBlock struct {
	Penalty  *hcl.Attribute `hcl:"penalty,optional"`
	HalfLife *hcl.Attribute `hcl:"half_life,optional"`
	Suppress *hcl.Attribute `hcl:"suppress,optional"`
	Reuse    *hcl.Attribute `hcl:"reuse,optional"`
	Longest  *hcl.Attribute `hcl:"longest,optional"`
}

type sheddingBlock struct {
	Up     *hcl.Attribute `hcl:"up,optional"`
	Slack  *hcl.Attribute `hcl:"slack,optional"`
	Settle *hcl.Attribute `hcl:"settle,optional"`
}

type zoneBlock struct {
	Name    string         `hcl:"name,label"`
	Range   hcl.Range      `hcl:",def_range"`
	Prefers *hcl.Attribute `hcl:"prefers,optional"`
	Drain   *hcl.Attribute `hcl:"drain,optional"`
}

type planClassBlock struct {
	Name     string         `hcl:"name,label"`
	Range    hcl.Range      `hcl:",def_range"`
	Requests *hcl.Attribute `hcl:"requests,optional"`
	Work     *hcl.Attribute `hcl:"work,optional"`
}

// maxDampingFigure bounds figures of damping and shedding: more is a slip of the pen.
const maxDampingFigure = 1000

func (b *zonesBlock) decode() (*Zones, hcl.Diagnostics) {
	s := &Zones{Settings: zones.Defaults()}
	z := &s.Settings
	var r attributeReader
	r.number(b.Overprovision, 1, 10, &z.Overprovision)
	r.number(b.Panic, 0, 1, &z.PanicThreshold)
	r.number(b.Spill, 0, 1, &z.SpilloverLimit)
	r.number(b.Retries, 0, 1, &z.RetryBudget)
	r.number(b.LostBelow, 0, 1, &z.LostBelow)
	r.number(b.BackOver, 0, 1, &z.RecoverAbove)
	r.duration(b.Settle, &z.SettlingTime)
	r.duration(b.Ramp, &z.RecoveryRamp)
	r.number(b.Jitter, 0, 1, &z.RampJitter)
	r.duration(b.DrainOver, &z.DrainTime)
	if d := b.Damping; d != nil {
		r.number(d.Penalty, 0, maxDampingFigure, &z.Damping.Penalty)
		r.duration(d.HalfLife, &z.Damping.HalfLife)
		r.number(d.Suppress, 0, maxDampingFigure, &z.Damping.SuppressAbove)
		r.number(d.Reuse, 0, maxDampingFigure, &z.Damping.ReuseBelow)
		r.duration(d.Longest, &z.Damping.MaxSuppression)
	}
	if l := b.Shedding; l != nil {
		z.SheddingEnabled = true
		r.number(l.Up, 0, maxDampingFigure, &z.Shedding.Threshold)
		r.number(l.Slack, 0, maxDampingFigure, &z.Shedding.Hysteresis)
		r.duration(l.Settle, &z.Shedding.SettlingTime)
	}
	for _, zb := range b.Zones {
		s.Zones = append(s.Zones, zb.decode(&r, s.Zones))
	}
	for _, c := range b.Classes {
		out := PlanClass{Name: c.Name}
		r.checkName(c.Name, "class", c.Range)
		if c.Requests == nil || c.Work == nil {
			r.diags = append(r.diags, errorAt(c.Range, "class %q needs both requests and work", c.Name))
		}
		r.number(c.Requests, 0, 1e9, &out.RequestWeight)
		if r.duration(c.Work, &out.MeanWork); c.Work != nil && out.MeanWork <= 0 && !r.diags.HasErrors() {
			r.diags = append(r.diags, errorAt(c.Work.Range, "class %q: work must be over 0", c.Name))
		}
		if slices.ContainsFunc(s.Classes, func(o PlanClass) bool { return o.Name == c.Name }) {
			r.diags = append(r.diags, errorAt(c.Range, "class %q comes twice", c.Name))
		}
		s.Classes = append(s.Classes, out)
	}
	if !r.diags.HasErrors() {
		if err := z.Validate(); err != nil {
			r.diags = append(r.diags, errorAt(b.Range, "sites: %v", err))
		}
	}
	return s, r.diags
}

func (b *zoneBlock) decode(r *attributeReader, before []Zone) Zone {
	z := Zone{Name: b.Name}
	r.checkName(b.Name, "zone", b.Range)
	if slices.ContainsFunc(before, func(o Zone) bool { return o.Name == b.Name }) {
		r.diags = append(r.diags, errorAt(b.Range, "zone %q comes twice", b.Name))
	}
	r.flag(b.Drain, &z.Drain)
	seen := []string{b.Name}
	for _, tier := range r.stringLists(b.Prefers) {
		var names []string
		for _, w := range tier {
			if slices.Contains(seen, w.text) {
				r.diags = append(r.diags, errorAt(w.at, "zone %q: %q comes twice, or is the zone itself", b.Name, w.text))
			}
			seen = append(seen, w.text)
			names = append(names, w.text)
		}
		z.FailoverTiers = append(z.FailoverTiers, names)
	}
	return z
}

// stringLists reads a list of lists of strings.
func (r *attributeReader) stringLists(a *hcl.Attribute) (out [][]stringAt) {
	if a == nil {
		return nil
	}
	outer, diags := hcl.ExprList(a.Expr)
	if diags.HasErrors() {
		r.diags = append(r.diags, errorAt(a.Expr.Range(), "%s must be a list of lists, a tier each: [[\"near\"], [\"far\", \"farther\"]]", a.Name))
		return nil
	}
	for _, e := range outer {
		out = append(out, r.stringList(&hcl.Attribute{Name: a.Name + ": each tier", Expr: e, Range: e.Range()}))
	}
	return out
}

// Resolve returns the settings for a gateway that knows the zones by these names, and which of them are drained.
// A zone of the file that no list names is let pass: it may come later, under another configuration.
func (s *Zones) Resolve(names []string) (set zones.Settings, drained []int) {
	set = s.Settings
	set.Tiers = map[int][][]int{}
	for _, z := range s.Zones {
		from := slices.Index(names, z.Name)
		if from < 0 {
			continue
		}
		if z.Drain {
			drained = append(drained, from)
		}
		for _, tier := range z.FailoverTiers {
			var level []int
			for _, name := range tier {
				if i := slices.Index(names, name); i >= 0 {
					level = append(level, i)
				}
			}
			if len(level) > 0 {
				set.Tiers[from] = append(set.Tiers[from], level)
			}
		}
	}
	return set, drained
}

func (s *Zones) write(b *bytes.Buffer) {
	z := s.Settings
	fmt.Fprintf(b, "sites {\n  overprovision = %v\n  panic         = %v\n  spill         = %v\n  retries       = %v\n  lost_below    = %v\n  back_over     = %v\n"+
		"  settle        = %q\n  ramp          = %q\n  jitter        = %v\n  drain_over    = %q\n",
		z.Overprovision, z.PanicThreshold, z.SpilloverLimit, z.RetryBudget, z.LostBelow, z.RecoverAbove, formatTime(z.SettlingTime), formatTime(z.RecoveryRamp), z.RampJitter, formatTime(z.DrainTime))
	d, l := z.Damping, z.Shedding
	fmt.Fprintf(b, "\n  damping {\n    penalty   = %v\n    half_life = %q\n    suppress  = %v\n    reuse     = %v\n    longest   = %q\n  }\n",
		d.Penalty, formatTime(d.HalfLife), d.SuppressAbove, d.ReuseBelow, formatTime(d.MaxSuppression))
	if z.SheddingEnabled {
		fmt.Fprintf(b, "\n  shedding {\n    up     = %v\n    slack  = %v\n    settle = %q\n  }\n", l.Threshold, l.Hysteresis, formatTime(l.SettlingTime))
	}
	for _, n := range s.Zones {
		fmt.Fprintf(b, "\n  zone %q {\n    drain   = %v\n", n.Name, n.Drain)
		if n.FailoverTiers != nil {
			var tiers []string
			for _, t := range n.FailoverTiers {
				var names []string
				for _, name := range t {
					names = append(names, fmt.Sprintf("%q", name))
				}
				tiers = append(tiers, "["+strings.Join(names, ", ")+"]")
			}
			fmt.Fprintf(b, "    prefers = [%s]\n", strings.Join(tiers, ", "))
		}
		b.WriteString("  }\n")
	}
	for _, c := range s.Classes {
		fmt.Fprintf(b, "\n  class %q {\n    requests = %v\n    work     = %q\n  }\n", c.Name, c.RequestWeight, formatTime(c.MeanWork))
	}
	b.WriteString("}\n")
}
