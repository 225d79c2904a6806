package site

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"go4.org/netipx"

	"foxlane/internal/gossip"
	"foxlane/internal/replica"
)

// This file owns the block `members`: who else is talked to, and what is made of it.

// Members are the settings of the talk among gateways.
type Members struct {
	Bind    netip.AddrPort
	Control netip.AddrPort // where operators' commands are answered; invalid: nowhere
	Seeds   []netip.AddrPort
	May     []netip.Prefix                    // addresses that may speak; nil: any
	Via     map[netip.AddrPort]netip.AddrPort // reached by other addresses
	Fast    bool
	Replica replica.Settings // but for name, zone, life and seed
	Hearsay gossip.Settings
}

// Set is the set of addresses that may speak, or nil.
func (m *Members) Set() (*netipx.IPSet, error) {
	if m.May == nil {
		return nil, nil
	}
	var b netipx.IPSetBuilder
	for _, p := range m.May {
		b.AddPrefix(p)
	}
	return b.IPSet()
}

type membersBlock struct {
	Range     hcl.Range      `hcl:",def_range"`
	Bind      *hcl.Attribute `hcl:"bind,optional"`
	Control   *hcl.Attribute `hcl:"control,optional"`
	Seeds     *hcl.Attribute `hcl:"seeds,optional"`
	May       *hcl.Attribute `hcl:"may,optional"`
	Via       []viaBlock     `hcl:"via,block"`
	Fast      *hcl.Attribute `hcl:"fast,optional"`
	Budget    *hcl.Attribute `hcl:"budget,optional"`
	Fresh     *hcl.Attribute `hcl:"fresh,optional"`
	Observers *hcl.Attribute `hcl:"observers,optional"`
}

// viaBlock says that a member is reached at another address than it tells.
type viaBlock struct {
	Addr  string         `hcl:"member,label"`
	Range hcl.Range      `hcl:",def_range"`
	At    *hcl.Attribute `hcl:"at"`
}

const (
	leastBudget   = 1000
	mostBudget    = 10 << 20
	mostObservers = 100
)

func (b *membersBlock) decode() (*Members, hcl.Diagnostics) {
	m := &Members{Replica: replica.Defaults(), Hearsay: gossip.Defaults(), Via: map[netip.AddrPort]netip.AddrPort{}}
	var r reader
	if b.Bind == nil {
		r.diags = append(r.diags, wrong(b.Range, "members needs bind, an address with a port"))
	}
	r.addrPort(b.Bind, &m.Bind)
	r.addrPort(b.Control, &m.Control)
	for _, w := range r.words(b.Seeds) {
		if at, ok := r.parseAddrPort(w.text, w.at, "seeds"); ok {
			m.Seeds = append(m.Seeds, at)
		}
	}
	for _, w := range r.words(b.May) {
		p, err := netip.ParsePrefix(w.text)
		if err != nil {
			r.diags = append(r.diags, wrong(w.at, "may: %q is no prefix of addresses", w.text))
			continue
		}
		m.May = append(m.May, p.Masked())
	}
	for _, v := range b.Via {
		from, ok := r.parseAddrPort(v.Addr, v.Range, "via")
		var to netip.AddrPort
		if r.addrPort(v.At, &to); ok {
			m.Via[from] = to
		}
	}
	r.flag(b.Fast, &m.Fast)
	budget, observers := float64(m.Replica.Budget), float64(m.Hearsay.MinObservers)
	r.number(b.Budget, leastBudget, mostBudget, &budget)
	r.number(b.Observers, 1, mostObservers, &observers)
	m.Replica.Budget, m.Hearsay.MinObservers = int(budget), int(observers)
	r.duration(b.Fresh, &m.Hearsay.MaxReportAge)
	if !r.diags.HasErrors() && m.May != nil {
		if set, err := m.Set(); err != nil || !set.Contains(m.Bind.Addr()) {
			r.diags = append(r.diags, wrong(b.Range, "members: %s itself is not among the addresses that may speak", m.Bind.Addr()))
		}
	}
	return m, r.diags
}

// addrPort reads an address with a port.
func (r *reader) addrPort(a *hcl.Attribute, to *netip.AddrPort) {
	if a == nil {
		return
	}
	var text string
	if r.text(a, &text); text != "" {
		*to, _ = r.parseAddrPort(text, a.Expr.Range(), a.Name)
	}
}

func (r *reader) parseAddrPort(text string, at hcl.Range, what string) (netip.AddrPort, bool) {
	p, err := netip.ParseAddrPort(text)
	if err != nil || p.Port() == 0 || p.Addr().IsUnspecified() {
		r.diags = append(r.diags, wrong(at, "%s: %q is no address with a port that others could reach", what, text))
		return netip.AddrPort{}, false
	}
	return p, true
}

func (m *Members) write(b *bytes.Buffer) {
	fmt.Fprintf(b, "members {\n  bind      = %q\n", m.Bind)
	if m.Control.IsValid() {
		fmt.Fprintf(b, "  control   = %q\n", m.Control)
	}
	list := func(name string, texts []string) {
		if texts != nil {
			fmt.Fprintf(b, "  %s = [", name)
			for i, t := range texts {
				if i > 0 {
					b.WriteString(", ")
				}
				fmt.Fprintf(b, "%q", t)
			}
			b.WriteString("]\n")
		}
	}
	var seeds, may []string
	for _, s := range m.Seeds {
		seeds = append(seeds, s.String())
	}
	for _, p := range m.May {
		may = append(may, p.String())
	}
	list("seeds    ", seeds)
	list("may      ", may)
	fmt.Fprintf(b, "  fast      = %v\n  budget    = %d\n  observers = %d\n  fresh     = %q\n", m.Fast, m.Replica.Budget, m.Hearsay.MinObservers,
		timeText(m.Hearsay.MaxReportAge))
	froms := make([]netip.AddrPort, 0, len(m.Via))
	for from := range m.Via {
		froms = append(froms, from)
	}
	slices.SortFunc(froms, netip.AddrPort.Compare)
	for _, from := range froms {
		fmt.Fprintf(b, "\n  via %q {\n    at = %q\n  }\n", from, m.Via[from])
	}
	b.WriteString("}\n")
}
