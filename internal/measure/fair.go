package measure

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"
)

// This file measures admission control on sockets, with quiet clients beside a flood. Measurements in virtual time
// are in admission.go.

// fairSiteConfig is the text of an operator's file that turns admission control on.
const fairSiteConfig = "fair {\n}\n"

// fairSetup returns the setup for which the targets were chosen: two engines of 16 slots, 100 ms per query.
func fairSetup(gateway, siteConfig string) Setup {
	return Setup{Gateway: gateway, Engines: 2, Slots: 16, ServiceTime: 100 * time.Millisecond, MemoryMB: 192, Sockets: 1024, SiteConfig: siteConfig,
		RetryAfter: true, Timeout: fairTimeout}
}

const (
	quietClients  = 20
	fairTimeout   = 2500 * time.Millisecond
	quietInterval = quietClients * time.Second / 40 // 40 requests per second in all, an eighth of the engines' capacity
	// fairWarmUp is the initial part of a scenario that is not counted: hundreds of clients connect in the first
	// second.
	fairWarmUp = 2 * time.Second
)

// quietGroup returns clients with one address each that together use an eighth of the engines' capacity.
func quietGroup() ClientGroup {
	return ClientGroup{Name: "quiet", Clients: quietClients, Interval: quietInterval, Timeout: fairTimeout,
		SourceAddr: func(i int) netip.Addr { return loopbackAddr(1, i) }, WarmUp: fairWarmUp}
}

// floodGroup returns clients of one shared address that send their next request as soon as the last is answered.
func floodGroup(clients int) ClientGroup {
	return ClientGroup{Name: "flood", Clients: clients, Timeout: fairTimeout,
		SourceAddr: func(int) netip.Addr { return loopbackAddr(2, 0) }, WarmUp: fairWarmUp}
}

// Fairness measures admission control on sockets and in virtual time, and the controller alone. The gateway is the path
// of its program; empty: the program is built from this module.
func Fairness(ctx context.Context, gateway string, seconds int, progress io.Writer) (*Report, error) {
	r := newReport("fair", "scenario", "quiet requests", "served", "p50 ms", "p99 ms", "flood served", "rejected", "disconnected")
	if err := fairOnSockets(ctx, r, gateway, time.Duration(seconds)*time.Second, progress); err != nil {
		return r, err
	}
	progressf(progress, "shares and Retry-After, in virtual time\n")
	r.setValue("jain_100", jainIndex(), "0.97 or more")
	r.setValue("weight_error", weightError(), "0.1 or less")
	served, p50 := retriesAfterRejection(1)
	r.setValue("return_kept", served, "0.9 or more")
	r.setValue("return_ratio_p50", p50, "0.5 to 2")
	served, p50 = retriesAfterRejection(2)
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

// fairOnSockets measures the service that quiet clients lose beside a flood, and the throughput that admission
// control costs when only a flood sends.
func fairOnSockets(ctx context.Context, r *Report, gateway string, length time.Duration, progress io.Writer) error {
	stats := map[string]map[string]*ClientStats{}
	for _, s := range []struct {
		name, siteConfig string
		length           time.Duration
		groups           []ClientGroup
	}{
		{"quiet alone, admission control on", fairSiteConfig, length, []ClientGroup{quietGroup()}},
		{"280 flooding, admission control on", fairSiteConfig, length, []ClientGroup{quietGroup(), floodGroup(280)}},
		{"280 flooding, admission control off", "", length, []ClientGroup{quietGroup(), floodGroup(280)}},
		{"100 flooding alone, admission control on", fairSiteConfig, length / 2, []ClientGroup{floodGroup(100)}},
		{"100 flooding alone, admission control off", "", length / 2, []ClientGroup{floodGroup(100)}},
	} {
		progressf(progress, "%s, %v\n", s.name, s.length+fairWarmUp)
		groupStats, err := runFairScenario(ctx, gateway, s.siteConfig, s.length+fairWarmUp, s.groups)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		quiet, flood := groupStats["quiet"], groupStats["flood"]
		r.addRow(s.name, quiet.Requested.Load(), quiet.Served.Load(), quiet.LatencyQuantile(50), quiet.LatencyQuantile(99), flood.Served.Load(), flood.Rejected.Load(), flood.Disconnected.Load())
		stats[s.name] = groupStats
	}
	quietAlone, quietBesideFlood := stats["quiet alone, admission control on"]["quiet"], stats["280 flooding, admission control on"]["quiet"]
	floodWithAdmission, floodWithoutAdmission := stats["100 flooding alone, admission control on"]["flood"], stats["100 flooding alone, admission control off"]["flood"]
	servedRatio := func(s *ClientStats) float64 { return float64(s.Served.Load()) / float64(max(s.Requested.Load(), 1)) }
	r.setValue("quiet_served_ratio", servedRatio(quietBesideFlood)/servedRatio(quietAlone), "0.98 or more")
	r.setValue("quiet_p99_ratio", quietBesideFlood.LatencyQuantile(99)/quietAlone.LatencyQuantile(99), "2 or less")
	r.setValue("throughput_ratio", float64(floodWithAdmission.Served.Load())/float64(max(floodWithoutAdmission.Served.Load(), 1)), "0.97 or more")
	return nil
}

// runFairScenario runs groups against a new testbed. The statistics have an entry for "quiet" and for "flood",
// which is empty if that group does not take part.
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
