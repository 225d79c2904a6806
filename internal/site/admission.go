package site

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"go4.org/netipx"

	"foxlane/internal/admission"
)

// This file reads and writes the block `fair`: the tenants of admission control, and their weights.

type admissionBlock struct {
	AnyTenant *hcl.Attribute `hcl:"any_tenant,optional"`
	Weight    *hcl.Attribute `hcl:"weight,optional"`
	Ahead     *hcl.Attribute `hcl:"ahead,optional"`
	Burst     *hcl.Attribute `hcl:"burst,optional"`
	Longest   *hcl.Attribute `hcl:"longest,optional"`
	Ignored   *hcl.Attribute `hcl:"ignored,optional"`
	State     *hcl.Attribute `hcl:"state,optional"`
	Networks  []networkBlock `hcl:"network,block"`
	Tenants   []tenantBlock  `hcl:"tenant,block"`
}

type networkBlock struct {
	Name      string         `hcl:"name,label"`
	Range     hcl.Range      `hcl:",def_range"`
	Addresses *hcl.Attribute `hcl:"addresses,optional"`
	Weight    *hcl.Attribute `hcl:"weight,optional"`
	Together  *hcl.Attribute `hcl:"together,optional"`
	Trusted   *hcl.Attribute `hcl:"trusted,optional"`
}

type tenantBlock struct {
	Name     string         `hcl:"name,label"`
	Range    hcl.Range      `hcl:",def_range"`
	Weight   *hcl.Attribute `hcl:"weight,optional"`
	Networks *hcl.Attribute `hcl:"networks,optional"`
}

// Bounds of settings. Less than 16 KB of state would not hold a single principal.
const (
	minWeight     = 1e-6
	maxWeight     = 1e6
	maxAhead      = 1024
	maxIgnored    = 250
	minStateBytes = 16 << 10
	maxStateBytes = 1 << 30
)

func (b *admissionBlock) decode(r *attributeReader) *Admission {
	a := &Admission{Settings: admission.Defaults()}
	s := &a.Settings
	r.flag(b.AnyTenant, &s.AnyTenant)
	r.number(b.Weight, minWeight, maxWeight, &s.UnlistedWeight)
	r.count(b.Ahead, 1, maxAhead, &s.ModuleQueueDepth)
	r.duration(b.Burst, &s.Burst)
	r.duration(b.Longest, &s.MaxRetryAfter)
	r.count(b.Ignored, 1, maxIgnored, &s.MaxEarlyReturns)
	r.size(b.State, minStateBytes, maxStateBytes, &a.StateBytes)
	var networkNames []string
	for _, n := range b.Networks {
		if slices.Contains(networkNames, n.Name) {
			r.errorf(n.Range, "network %q is declared twice", n.Name)
		}
		r.checkName(n.Name, "network", n.Range)
		networkNames = append(networkNames, n.Name)
		s.Networks = append(s.Networks, n.decode(r))
	}
	seen := map[string]bool{}
	for _, t := range b.Tenants {
		r.checkName(t.Name, "tenant", t.Range)
		if seen[t.Name] {
			r.errorf(t.Range, "tenant %q is declared twice", t.Name)
		}
		seen[t.Name] = true
		s.Tenants = append(s.Tenants, t.decode(r, networkNames))
	}
	if !r.failed() {
		if err := s.Validate(); err != nil { // not expected: the reader has enforced the same bounds
			r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "fair: " + err.Error()})
		}
	}
	return a
}

// decode decodes a tenant. The networks are the names to which it may refer.
func (b *tenantBlock) decode(r *attributeReader, networks []string) admission.Tenant {
	t := admission.Tenant{Name: b.Name, Weight: 1}
	r.number(b.Weight, minWeight, maxWeight, &t.Weight)
	for _, w := range r.stringList(b.Networks) {
		if !slices.Contains(networks, w.text) {
			hint := ""
			if closest := closestName(w.text, networks); closest != "" {
				hint = fmt.Sprintf("; did you mean %q?", closest)
			}
			r.errorf(w.at, "network %q is not declared%s", w.text, hint)
		}
		t.Networks = append(t.Networks, w.text)
	}
	if b.Networks != nil && len(t.Networks) == 0 && !r.failed() {
		r.errorf(b.Networks.Range, "tenant %q allows no network: name one, or leave networks out", b.Name)
	}
	return t
}

func (b *networkBlock) decode(r *attributeReader) admission.Network {
	n := admission.Network{Name: b.Name, Weight: 1}
	r.number(b.Weight, minWeight, maxWeight, &n.Weight)
	r.flag(b.Together, &n.SharedTenant)
	r.flag(b.Trusted, &n.Trusted)
	var set netipx.IPSetBuilder
	texts := r.stringList(b.Addresses)
	for _, w := range texts {
		if err := addAddresses(&set, w.text); err != nil {
			r.errorf(w.at, "%v", err)
		}
	}
	if len(texts) == 0 && !r.failed() {
		r.errorf(b.Range, "network %q has no addresses", b.Name)
	}
	addresses, err := set.IPSet()
	if err != nil {
		r.errorf(b.Range, "network %q: %v", b.Name, err)
	}
	n.Addresses = addresses
	return n
}

// addAddresses adds an address, a prefix or a range to the set, or removes it if the text begins with "!".
func addAddresses(set *netipx.IPSetBuilder, text string) error {
	text, exclude := strings.CutPrefix(text, "!")
	addresses, err := parseAddresses(text)
	if err != nil {
		return err
	}
	if exclude {
		set.RemoveRange(addresses)
	} else {
		set.AddRange(addresses)
	}
	return nil
}

func parseAddresses(text string) (netipx.IPRange, error) {
	if p, err := netip.ParsePrefix(text); err == nil {
		if p != p.Masked() {
			return netipx.IPRange{}, fmt.Errorf("%s has bits set after its prefix length; did you mean %s?", text, p.Masked())
		}
		if p.Addr().Is4In6() {
			return netipx.IPRange{}, fmt.Errorf("%s: write an IPv4 network in IPv4 notation", text)
		}
		return netipx.RangeOfPrefix(p), nil
	}
	if r, err := netipx.ParseIPRange(text); err == nil {
		return r, nil
	}
	a, err := netip.ParseAddr(text)
	if err != nil || a.Zone() != "" {
		return netipx.IPRange{}, fmt.Errorf("%q is not an address, a prefix or a range", text)
	}
	return netipx.IPRangeFrom(a.Unmap(), a.Unmap()), nil
}

// write writes the block with all settings, defaults included.
func (a *Admission) write(b *bytes.Buffer) {
	s := a.Settings
	fmt.Fprintf(b, "fair {\n  any_tenant = %v\n  weight     = %v\n  ahead      = %d\n  burst      = %q\n  longest    = %q\n  ignored    = %d\n",
		s.AnyTenant, s.UnlistedWeight, s.ModuleQueueDepth, formatTime(s.Burst), formatTime(s.MaxRetryAfter), s.MaxEarlyReturns)
	if a.StateBytes > 0 {
		fmt.Fprintf(b, "  state      = %q\n", formatSize(a.StateBytes))
	} else {
		fmt.Fprintf(b, "  # state follows from the machine: a 32nd of its memory\n")
	}
	for _, n := range s.Networks {
		var prefixes []string
		for _, p := range n.Addresses.Prefixes() {
			prefixes = append(prefixes, p.String())
		}
		fmt.Fprintf(b, "\n  network %q {\n    addresses = [%s]\n    weight    = %v\n    together  = %v\n    trusted   = %v\n  }\n",
			n.Name, quoteList(prefixes), n.Weight, n.SharedTenant, n.Trusted)
	}
	for _, t := range s.Tenants {
		fmt.Fprintf(b, "\n  tenant %q {\n    weight = %v\n", t.Name, t.Weight)
		if t.Networks != nil {
			fmt.Fprintf(b, "    networks = [%s]\n", quoteList(t.Networks))
		}
		b.WriteString("  }\n")
	}
	b.WriteString("}\n")
}
