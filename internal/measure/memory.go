package measure

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"foxlane/internal/crowd"
	"foxlane/internal/harness"
)

// This file measures the peak resident memory of a gateway under crowds of clients, for several memory limits.

// memoryScene is a crowd beside a well-behaved client.
type memoryScene struct {
	name       string
	clients    int
	behaviours []crowd.Behaviour
	change     func(*Setup)                          // changes the setup; nil: no change
	minLength  time.Duration                         // of the scene
	disturb    func(ctx context.Context, t *Testbed) // injects faults until the context ends; nil: none
	besideAll  bool                                  // the well-behaved client gets all its results, if there is room for all connections
}

var mixedCrowd = []crowd.Behaviour{crowd.SendIncomplete, crowd.SendWithoutReading, crowd.SendShort, crowd.SendMalformed}

// largeResult is a result of the largest size that a gateway accepts.
var largeResult = func() (pages []string) {
	for range 8 {
		pages = append(pages, strings.Repeat("a\tb\t"+strings.Repeat("c", 95)+"\n", 78))
	}
	return pages
}()

var memoryScenes = []memoryScene{
	{name: "idle"},
	{name: "incomplete", clients: 450, behaviours: []crowd.Behaviour{crowd.SendIncomplete}},
	{name: "unread", clients: 300, behaviours: []crowd.Behaviour{crowd.SendWithoutReading}},
	{name: "short", clients: 400, behaviours: []crowd.Behaviour{crowd.SendShort}},
	{name: "malformed", clients: 300, behaviours: []crowd.Behaviour{crowd.SendMalformed}},
	{name: "pings", clients: 100, behaviours: []crowd.Behaviour{crowd.SendPings}},
	{name: "mixed", clients: 480, behaviours: mixedCrowd},
	{name: "frozen", clients: 480, behaviours: mixedCrowd, disturb: freezeRepeatedly},
	{name: "frozen_long", clients: 480, behaviours: mixedCrowd, disturb: freezeLong, minLength: 8 * time.Second},
	{name: "restart", clients: 480, behaviours: mixedCrowd, disturb: restartIntoCrowd},
	{name: "engines_back", clients: 200, behaviours: mixedCrowd, disturb: loseEngines},
	{name: "engines_unread", clients: 200, behaviours: []crowd.Behaviour{crowd.SendWithoutReading}, disturb: silenceEngines},
	{name: "engines_dribble", clients: 200, behaviours: mixedCrowd, disturb: dribbleEngines},
	{name: "names_flood", clients: 100, behaviours: mixedCrowd, disturb: floodFromNameServer},
	{name: "log_unread", clients: 200, behaviours: mixedCrowd, change: func(s *Setup) { s.Verbose, s.LogUnread = true, true }},
	{name: "comments", clients: 450, behaviours: []crowd.Behaviour{crowd.SendLongComments}, disturb: silenceEngines, minLength: 4 * time.Second},
	{name: "starved", clients: 200, behaviours: append(slices.Clone(mixedCrowd), crowd.SendLongComments, crowd.SendPings), disturb: starveAfterRestart, minLength: 4 * time.Second},
	{name: "results", clients: 300, behaviours: []crowd.Behaviour{crowd.IgnoreResults}, change: func(s *Setup) { s.Pages = largeResult }},
	{name: "results_read", clients: 300, behaviours: []crowd.Behaviour{crowd.SendShort}, change: func(s *Setup) { s.Pages = largeResult }},
	{name: "patient", clients: 20, behaviours: []crowd.Behaviour{crowd.SendShort}, change: func(s *Setup) { s.Timeout = 25 * time.Second; s.ServiceTime = time.Millisecond }},
	{name: "slow", clients: 450, behaviours: []crowd.Behaviour{crowd.WriteSlowly}, minLength: hostileLength, besideAll: true},
	{name: "halfway", clients: 450, behaviours: []crowd.Behaviour{crowd.StopHalfway}, minLength: hostileLength, besideAll: true},
	{name: "fields", clients: 450, behaviours: []crowd.Behaviour{crowd.SendManyFields}, minLength: hostileLength, besideAll: true},
	{name: "flood_pings", clients: 1, behaviours: []crowd.Behaviour{crowd.FloodPings}, minLength: hostileLength, besideAll: true},
	{name: "flood_settings", clients: 1, behaviours: []crowd.Behaviour{crowd.FloodSettings}, minLength: hostileLength, besideAll: true},
	{name: "flood_malformed", clients: 1, behaviours: []crowd.Behaviour{crowd.FloodMalformed}, minLength: hostileLength, besideAll: true},
	{name: "flood_unknown", clients: 1, behaviours: []crowd.Behaviour{crowd.FloodUnknown}, minLength: hostileLength, besideAll: true},
	{name: "flood_names", clients: 1, behaviours: []crowd.Behaviour{crowd.FloodNames}, minLength: hostileLength, besideAll: true,
		change: func(s *Setup) { s.SiteConfig = "fair {\n any_tenant = true\n}\n" }},
	{name: "flood_names_of_one", clients: 1, behaviours: []crowd.Behaviour{crowd.FloodNamesOfOneTenant}, minLength: hostileLength, besideAll: true},
	{name: "flood_connections", clients: 1, behaviours: []crowd.Behaviour{crowd.ConnectRepeatedly}, minLength: hostileLength, besideAll: true},
	{name: "refused", clients: 20, behaviours: []crowd.Behaviour{crowd.SendShort}, change: func(s *Setup) { s.Timeout = 25 * time.Second },
		disturb: func(_ context.Context, t *Testbed) { t.stopEngines() }},
}

// hostileLength is the length of scenes in which the well-behaved client is to get its results, of which the first second is
// not counted.
const hostileLength = 3 * time.Second

// memoryLimitsMB are the memory limits that are measured.
var memoryLimitsMB = []int{32, 64, 192}

// Memory measures the peak of a gateway's resident memory for each scene and memory limit, as a fraction of the limit.
// The gateway is the path of its program; empty: the program is built from this module.
func Memory(ctx context.Context, gateway string, seconds int, progress io.Writer) (*Report, error) {
	r := newReport("memory", "scene", "limit MB", "peak MB", "peak anonymous MB", "beside: requests", "served", "p99 ms")
	program, remove, err := GatewayProgram(ctx, gateway)
	if err != nil {
		return r, err
	}
	defer remove()
	for _, scene := range memoryScenes {
		for _, limit := range memoryLimitsMB {
			progressf(progress, "%s, %d MB\n", scene.name, limit)
			if err := measureMemory(ctx, r, scene, program, limit, time.Duration(seconds)*time.Second); err != nil {
				return r, fmt.Errorf("%s with %d MB: %w", scene.name, limit, err)
			}
		}
	}
	return r, ctx.Err()
}

// measureMemory runs one scene against a new testbed and adds its row and value.
func measureMemory(ctx context.Context, r *Report, scene memoryScene, program string, limitMB int, length time.Duration) error {
	peak, beside, err := runMemoryScene(ctx, scene, program, limitMB, 1024, length)
	if err != nil {
		return err
	}
	r.addRow(scene.name, limitMB, peak.PeakMB, peak.AnonymousMB, beside.Requested.Load(), beside.Served.Load(), beside.LatencyQuantile(99))
	r.setValue(fmt.Sprintf("peak_fraction_%s_%d", scene.name, limitMB), peak.PeakMB/float64(limitMB), "1 or less")
	return nil
}

// runMemoryScene runs one scene and returns the gateway's peak memory and the statistics of the well-behaved client.
func runMemoryScene(ctx context.Context, scene memoryScene, program string, limitMB, sockets int, length time.Duration) (harness.MemoryUsage, *ClientStats, error) {
	setup := Setup{Gateway: program, Engines: 2, Slots: 16, ServiceTime: 20 * time.Millisecond, MemoryMB: limitMB, Sockets: sockets, RetryAfter: true,
		Timeout: 2500 * time.Millisecond}
	if scene.change != nil {
		scene.change(&setup)
	}
	t, err := StartTestbed(setup)
	if err != nil {
		return harness.MemoryUsage{}, nil, err
	}
	defer t.discard()
	running, stop := context.WithTimeout(ctx, max(length, scene.minLength))
	defer stop()
	var others sync.WaitGroup
	clients := crowd.Crowd{Addr: t.Addr, Clients: scene.clients, Timeout: setup.Timeout, Behaviours: scene.behaviours,
		NextID: func() string { return fmt.Sprintf("%016x", lastRequestID.Add(1)) }}
	others.Go(func() { clients.Run(running) })
	if scene.disturb != nil {
		others.Go(func() { scene.disturb(running, t) })
	}
	stats := RunClients(running, t, ClientGroup{Name: "beside", Clients: 1, Interval: 100 * time.Millisecond, Timeout: setup.Timeout, TimedFromSend: true,
		SourceAddr: func(int) netip.Addr { return loopbackAddr(5, 0) }, WarmUp: time.Second})["beside"]
	others.Wait()
	peak, err := t.Memory()
	return peak, stats, err
}
