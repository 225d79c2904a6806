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

// This file reads and writes the block `members`: the other gateways, and the messages exchanged with them.

// Members holds the settings of the messages among gateways.
type Members struct {
	Bind            netip.AddrPort
	Control         netip.AddrPort // address for operators' commands; the zero value: no listener
	Seeds           []netip.AddrPort
	AllowedPrefixes []netip.Prefix                    // addresses of the members that are accepted; nil: any
	AddressMap      map[netip.AddrPort]netip.AddrPort // from a member's announced address to the one to reach it at
	FastTimers      bool
	Replica         replica.Settings // without name, zone, incarnation and seed, which the gateway adds
	Gossip          gossip.Settings
}

// AllowedSet returns the addresses of AllowedPrefixes as a set, or nil if any address is allowed.
func (m *Members) AllowedSet() (*netipx.IPSet, error) {
	if m.AllowedPrefixes == nil {
		return nil, nil
	}
	var b netipx.IPSetBuilder
	for _, p := range m.AllowedPrefixes {
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
	Via       []addressBlock `hcl:"via,block"`
	Fast      *hcl.Attribute `hcl:"fast,optional"`
	Budget    *hcl.Attribute `hcl:"budget,optional"`
	Fresh     *hcl.Attribute `hcl:"fresh,optional"`
	Observers *hcl.Attribute `hcl:"observers,optional"`
}

// addressBlock is a block `via`: the address at which to reach a member instead of the one that the member announces.
type addressBlock struct {
	Addr  string         `hcl:"member,label"`
	Range hcl.Range      `hcl:",def_range"`
	At    *hcl.Attribute `hcl:"at"`
}

const (
	minGossipBudget = 1000
	maxGossipBudget = 10 << 20
	maxObservers    = 100
)

func (b *membersBlock) decode(r *attributeReader) *Members {
	m := &Members{Replica: replica.Defaults(), Gossip: gossip.Defaults(), AddressMap: map[netip.AddrPort]netip.AddrPort{}}
	if b.Bind == nil {
		r.errorf(b.Range, "the block members needs bind, an address with a port")
	}
	r.addrPort(b.Bind, &m.Bind)
	r.addrPort(b.Control, &m.Control)
	for _, w := range r.stringList(b.Seeds) {
		if at, ok := r.parseAddrPort(w.text, w.at, "seeds"); ok {
			m.Seeds = append(m.Seeds, at)
		}
	}
	for _, w := range r.stringList(b.May) {
		p, err := netip.ParsePrefix(w.text)
		if err != nil {
			r.errorf(w.at, "may: %q is not an address prefix", w.text)
			continue
		}
		m.AllowedPrefixes = append(m.AllowedPrefixes, p.Masked())
	}
	for _, v := range b.Via {
		from, ok := r.parseAddrPort(v.Addr, v.Range, "via")
		var to netip.AddrPort
		if r.addrPort(v.At, &to); ok {
			m.AddressMap[from] = to
		}
	}
	r.flag(b.Fast, &m.FastTimers)
	budget, observers := float64(m.Replica.BytesPerSecond), float64(m.Gossip.MinObservers)
	r.number(b.Budget, minGossipBudget, maxGossipBudget, &budget)
	r.number(b.Observers, 1, maxObservers, &observers)
	m.Replica.BytesPerSecond, m.Gossip.MinObservers = int(budget), int(observers)
	r.duration(b.Fresh, &m.Gossip.MaxReportAge)
	if !r.failed() && m.AllowedPrefixes != nil {
		if set, err := m.AllowedSet(); err != nil || !set.Contains(m.Bind.Addr()) {
			r.errorf(b.Range, "members: may does not include the gateway's own address %s", m.Bind.Addr())
		}
	}
	return m
}

// addrPort reads an address with a port that other gateways can reach.
func (r *attributeReader) addrPort(a *hcl.Attribute, target *netip.AddrPort) {
	if a == nil {
		return
	}
	var text string
	if r.text(a, &text); text != "" {
		*target, _ = r.parseAddrPort(text, a.Expr.Range(), a.Name)
	}
}

func (r *attributeReader) parseAddrPort(text string, at hcl.Range, key string) (netip.AddrPort, bool) {
	p, err := netip.ParseAddrPort(text)
	if err != nil || p.Port() == 0 || p.Addr().IsUnspecified() {
		r.errorf(at, "%s: %q is not an address with a port that other gateways could reach", key, text)
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
			fmt.Fprintf(b, "  %s = [%s]\n", name, quoteList(texts))
		}
	}
	var seeds, prefixes []string
	for _, s := range m.Seeds {
		seeds = append(seeds, s.String())
	}
	for _, p := range m.AllowedPrefixes {
		prefixes = append(prefixes, p.String())
	}
	list("seeds    ", seeds)
	list("may      ", prefixes)
	fmt.Fprintf(b, "  fast      = %v\n  budget    = %d\n  observers = %d\n  fresh     = %q\n", m.FastTimers, m.Replica.BytesPerSecond, m.Gossip.MinObservers,
		formatTime(m.Gossip.MaxReportAge))
	announced := make([]netip.AddrPort, 0, len(m.AddressMap))
	for from := range m.AddressMap {
		announced = append(announced, from)
	}
	slices.SortFunc(announced, netip.AddrPort.Compare)
	for _, from := range announced {
		fmt.Fprintf(b, "\n  via %q {\n    at = %q\n  }\n", from, m.AddressMap[from])
	}
	b.WriteString("}\n")
}
