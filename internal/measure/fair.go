package measure

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"
)

// This file measures admission control on sockets: quiet clients beside a flood. What virtual time decides is measured
// in admission.go.

// fairSiteConfig turns admission control on.
const fairSiteConfig = "fair {\n}\n"

// fairSetup is the setup that the targets were set on: two engines of 16 slots, 100 ms a query.
func fairSetup(gateway, siteConfig string) Setup {
	return Setup{Gateway: gateway, Engines: 2, Slots: 16, ServiceTime: 100 * time.Millisecond, MemoryMB: 192, Sockets: 1024, SiteConfig: siteConfig,
		RetryAfter: true, Timeout: fairTimeout}
}

const (
	quietClients  = 20
	fairTimeout   = 2500 * time.Millisecond
	quietInterval = quietClients * time.Second / 40 // 40 requests a second in all, an eighth of what the engines can do
	// warmUp is how long a scenario runs before it is counted: hundreds of clients connect in its first second.
	warmUp = 2 * time.Second
)

// quiet are clients with addresses of their own that use an eighth of the engines.
func quiet() ClientGroup {
	return ClientGroup{Name: "quiet", Clients: quietClients, Interval: quietInterval, Timeout: fairTimeout,
		SourceAddr: func(i int) netip.Addr { return loopbackAddr(1, i) }, WarmUp: warmUp}
}

// flood are clients of one address that send as fast as they are answered.
func flood(clients int) ClientGroup {
	return ClientGroup{Name: "flood", Clients: clients, Timeout: fairTimeout,
		SourceAddr: func(int) netip.Addr { return loopbackAddr(2, 0) }, WarmUp: warmUp}
}

// Fairness measures admission control. The gateway is the path of its program; empty: it is built from this module.
func Fairness(ctx context.Context, gateway string, seconds int, progress io.Writer) (*Report, error) {
	r := newReport("fair", "scenario", "quiet requests", "served", "p50 ms", "p99 ms", "flood served", "rejected", "disconnected")
	if err := fairOnSockets(ctx, r, gateway, time.Duration(seconds)*time.Second, progress); err != nil {
		return r, err
	}
	progressf(progress, "shares and Retry-After, in virtual time\n")
	r.setValue("jain_100", jainIndex(), "0.97 or more")
	r.setValue("weight_error", weightError(), "0.1 or less")
	served, p50 := returnsAfterRejection(1)
	r.setValue("return_kept", served, "0.9 or more")
	r.setValue("return_ratio_p50", p50, "0.5 to 2")
	served, p50 = returnsAfterRejection(2)
	r.setValue("return_kept_half_capacity", served, "")
	r.setValue("return_ratio_p50_half_capacity", p50, "")
	progressf(progress, "size and cost\n")
	bytes, bound := stateSize(10_000)
	r.setValue("state_bytes_10k", float64(bytes), fmt.Sprintf("%d at most", bound))
	bytes, bound = stateSize(1_000_000)
	r.setValue("state_bytes_1m", float64(bytes), fmt.Sprintf("%d at most", bound))
	ns, allocs := admissionCost()
	r.setValue("cost_ns", ns, "2000 or less")
	r.setValue("cost_allocs", allocs, "0")
	return r, ctx.Err()
}

// fairOnSockets measures what quiet clients lose beside a flood, and what admission control costs a flood alone.
func fairOnSockets(ctx context.Context, r *Report, gateway string, length time.Duration, progress io.Writer) error {
	stats := map[string]map[string]*ClientStats{}
	for _, s := range []struct {
		name, siteConfig string
		length           time.Duration
		groups           []ClientGroup
	}{
		{"quiet alone, admission control on", fairSiteConfig, length, []ClientGroup{quiet()}},
		{"280 flooding, admission control on", fairSiteConfig, length, []ClientGroup{quiet(), flood(280)}},
		{"280 flooding, admission control off", "", length, []ClientGroup{quiet(), flood(280)}},
		{"100 flooding alone, admission control on", fairSiteConfig, length / 2, []ClientGroup{flood(100)}},
		{"100 flooding alone, admission control off", "", length / 2, []ClientGroup{flood(100)}},
	} {
		progressf(progress, "%s, %v\n", s.name, s.length+warmUp)
		seen, err := runFairScenario(ctx, gateway, s.siteConfig, s.length+warmUp, s.groups)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		q, f := seen["quiet"], seen["flood"]
		r.addRow(s.name, q.Requested.Load(), q.Served.Load(), q.LatencyQuantile(50), q.LatencyQuantile(99), f.Served.Load(), f.Rejected.Load(), f.Disconnected.Load())
		stats[s.name] = seen
	}
	alone, beside := stats["quiet alone, admission control on"]["quiet"], stats["280 flooding, admission control on"]["quiet"]
	on, off := stats["100 flooding alone, admission control on"]["flood"], stats["100 flooding alone, admission control off"]["flood"]
	servedRatio := func(s *ClientStats) float64 { return float64(s.Served.Load()) / float64(max(s.Requested.Load(), 1)) }
	r.setValue("quiet_served_ratio", servedRatio(beside)/servedRatio(alone), "0.98 or more")
	r.setValue("quiet_p99_ratio", beside.LatencyQuantile(99)/alone.LatencyQuantile(99), "2 or less")
	r.setValue("throughput_ratio", float64(on.Served.Load())/float64(max(off.Served.Load(), 1)), "0.97 or more")
	return nil
}

// runFairScenario runs groups against a testbed of its own. The statistics have an entry for each kind of group, empty
// for those that don't take part.
func runFairScenario(ctx context.Context, gateway, siteConfig string, length time.Duration, groups []ClientGroup) (map[string]*ClientStats, error) {
	t, err := StartTestbed(fairSetup(gateway, siteConfig))
	if err != nil {
		return nil, err
	}
	defer t.discard()
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	stats := RunClients(ctx, t, groups...)
	for _, name := range []string{"quiet", "flood"} {
		if stats[name] == nil {
			stats[name] = newClientStats()
		}
	}
	return stats, nil
}
