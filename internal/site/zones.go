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

// This file reads and writes the block `sites`: where the load of a zone goes when it is lost, recovers or is drained.

// Zones holds the settings of zone failover. It refers to zones by name.
type Zones struct {
	Settings zones.Settings // without Tiers, which Resolve fills in
	Zones    []Zone
	Classes  []PlanClass
}

// Zone holds the settings of one zone.
type Zone struct {
	Name          string
	FailoverTiers [][]string // other zones that take its load, preferred tier first
	Drain         bool
}

// PlanClass describes a class for `foxlane plan`. A gateway learns both values from its requests.
type PlanClass struct {
	Name          string
	RequestWeight float64    // number of requests relative to the other classes
	MeanWork      rules.Time // mean work of a request, summed over its threads
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

// maxDampingValue bounds the values of damping and shedding: a larger one is a typing error.
const maxDampingValue = 1000

func (b *zonesBlock) decode(r *attributeReader) *Zones {
	s := &Zones{Settings: zones.Defaults()}
	z := &s.Settings
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
	if damping := b.Damping; damping != nil {
		r.number(damping.Penalty, 0, maxDampingValue, &z.Damping.Penalty)
		r.duration(damping.HalfLife, &z.Damping.HalfLife)
		r.number(damping.Suppress, 0, maxDampingValue, &z.Damping.SuppressAbove)
		r.number(damping.Reuse, 0, maxDampingValue, &z.Damping.ReuseBelow)
		r.duration(damping.Longest, &z.Damping.MaxSuppression)
	}
	if shedding := b.Shedding; shedding != nil {
		z.SheddingEnabled = true
		r.number(shedding.Up, 0, maxDampingValue, &z.Shedding.Threshold)
		r.number(shedding.Slack, 0, maxDampingValue, &z.Shedding.Hysteresis)
		r.duration(shedding.Settle, &z.Shedding.SettlingTime)
	}
	for _, zb := range b.Zones {
		s.Zones = append(s.Zones, zb.decode(r, s.Zones))
	}
	for _, cb := range b.Classes {
		s.Classes = append(s.Classes, cb.decode(r, s.Classes))
	}
	if !r.failed() {
		if err := z.Validate(); err != nil {
			r.errorf(b.Range, "sites: %v", err)
		}
	}
	return s
}

func (b *planClassBlock) decode(r *attributeReader, earlier []PlanClass) PlanClass {
	c := PlanClass{Name: b.Name}
	r.checkName(b.Name, "class", b.Range)
	if b.Requests == nil || b.Work == nil {
		r.errorf(b.Range, "class %q needs both requests and work", b.Name)
	}
	r.number(b.Requests, 0, 1e9, &c.RequestWeight)
	if r.duration(b.Work, &c.MeanWork); b.Work != nil && c.MeanWork <= 0 && !r.failed() {
		r.errorf(b.Work.Range, "class %q: work must be greater than 0", b.Name)
	}
	if slices.ContainsFunc(earlier, func(o PlanClass) bool { return o.Name == b.Name }) {
		r.errorf(b.Range, "class %q is declared twice", b.Name)
	}
	return c
}

func (b *zoneBlock) decode(r *attributeReader, earlier []Zone) Zone {
	z := Zone{Name: b.Name}
	r.checkName(b.Name, "zone", b.Range)
	if slices.ContainsFunc(earlier, func(o Zone) bool { return o.Name == b.Name }) {
		r.errorf(b.Range, "zone %q is declared twice", b.Name)
	}
	r.flag(b.Drain, &z.Drain)
	seen := []string{b.Name}
	for _, tier := range r.stringLists(b.Prefers) {
		var names []string
		for _, w := range tier {
			if slices.Contains(seen, w.text) {
				r.errorf(w.at, "zone %q: %q is named twice, or is the zone itself", b.Name, w.text)
			}
			seen = append(seen, w.text)
			names = append(names, w.text)
		}
		z.FailoverTiers = append(z.FailoverTiers, names)
	}
	return z
}

// Resolve returns the settings with zones as indexes into names, and the indexes of the drained zones. It ignores zones
// of the file that are not in names: a later configuration may have them.
func (s *Zones) Resolve(names []string) (settings zones.Settings, drained []int) {
	settings = s.Settings
	settings.Tiers = map[int][][]int{}
	for _, z := range s.Zones {
		from := slices.Index(names, z.Name)
		if from < 0 {
			continue
		}
		if z.Drain {
			drained = append(drained, from)
		}
		for _, tier := range z.FailoverTiers {
			var indexes []int
			for _, name := range tier {
				if i := slices.Index(names, name); i >= 0 {
					indexes = append(indexes, i)
				}
			}
			if len(indexes) > 0 {
				settings.Tiers[from] = append(settings.Tiers[from], indexes)
			}
		}
	}
	return settings, drained
}

func (s *Zones) write(b *bytes.Buffer) {
	z := s.Settings
	fmt.Fprintf(b, "sites {\n  overprovision = %v\n  panic         = %v\n  spill         = %v\n  retries       = %v\n  lost_below    = %v\n  back_over     = %v\n"+
		"  settle        = %q\n  ramp          = %q\n  jitter        = %v\n  drain_over    = %q\n",
		z.Overprovision, z.PanicThreshold, z.SpilloverLimit, z.RetryBudget, z.LostBelow, z.RecoverAbove, formatTime(z.SettlingTime), formatTime(z.RecoveryRamp), z.RampJitter, formatTime(z.DrainTime))
	damping, shedding := z.Damping, z.Shedding
	fmt.Fprintf(b, "\n  damping {\n    penalty   = %v\n    half_life = %q\n    suppress  = %v\n    reuse     = %v\n    longest   = %q\n  }\n",
		damping.Penalty, formatTime(damping.HalfLife), damping.SuppressAbove, damping.ReuseBelow, formatTime(damping.MaxSuppression))
	if z.SheddingEnabled {
		fmt.Fprintf(b, "\n  shedding {\n    up     = %v\n    slack  = %v\n    settle = %q\n  }\n", shedding.Threshold, shedding.Hysteresis, formatTime(shedding.SettlingTime))
	}
	for _, n := range s.Zones {
		fmt.Fprintf(b, "\n  zone %q {\n    drain   = %v\n", n.Name, n.Drain)
		if n.FailoverTiers != nil {
			var tiers []string
			for _, names := range n.FailoverTiers {
				tiers = append(tiers, "["+quoteList(names)+"]")
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
