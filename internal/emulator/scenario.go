package emulator

import (
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file owns the input of a run: the models and their parameters.

// ClassModel holds the distribution of the requests of one class.
type ClassModel struct {
	Share         float64    // of all requests, relative to the other classes'
	Work          rules.Time // mean, summed over all threads
	CV            float64    // coefficient of variation of the work, which is lognormal
	DeclaredNoise float64    // standard deviation of the logarithm of the ratio of declared to true work
	DeclaredRatio float64    // systematic ratio of declared to true work; 0: 1
}

// ClientModel holds the behaviour of clients.
type ClientModel struct {
	MaxTries        int        // per request, including the first
	Backoff         rules.Time // mean wait before a retry
	HonorRetryAfter float64    // fraction of retries that wait for the delay that the rejection names
	LoadSkew        float64    // standard deviation of the logarithm of a gateway's share of the load
	FailoverDelay   rules.Time // after a gateway's crash, before its clients try another
}

// NetworkModel holds the one-way network delays.
type NetworkModel struct {
	SameZone, CrossZone rules.Time // between a gateway and an engine
	Client              rules.Time // between a client and a gateway
	MinListDelay        rules.Time // of an endpoint list update to a gateway; uniform up to MaxListDelay
	MaxListDelay        rules.Time
}

// Scenario is the whole input of one run.
type Scenario struct {
	Settings              rules.Settings // GatewayIndex, Zone and Gateways are set for each gateway
	Gateways              int
	Engines               int
	Zones                 int
	Engine                EngineModel
	Classes               []ClassModel // parallel to Settings.Classes
	Clients               ClientModel
	Network               NetworkModel
	Load                  float64 // ratio of the offered work to the capacity of all engines at the start
	Start                 rules.Time
	Duration              rules.Time
	Seed                  uint64
	Faults                []Fault
	Placement             []int           // zones of engines and of gateways, cyclic; empty: round robin over Zones
	ZoneFailover          *zones.Settings // nil: no zone failover
	Gossip                *GossipModel    // nil: gateways don't gossip
	SlowStartBudgetFactor float64         // ratio of the slow-start budget that gateways assume to the true one; 0: 1
	// StaticHomeShare is the constant fraction of a gateway's load that stays in its zone. It replaces ZoneFailover in the
	// baseline of a comparison; nil: not used.
	StaticHomeShare *float64
}

// zoneOf returns the zone of the engine or gateway with index i.
func (s *Scenario) zoneOf(i int) int {
	if len(s.Placement) > 0 {
		return s.Placement[i%len(s.Placement)]
	}
	return i % max(1, s.Zones)
}

// Warehouse returns a scenario of a site with three classes, as the design assumes: short look-ups, reports that are
// most of the work, and data loads that are not idempotent. It has five zones, and engines of 32 cores that start cold
// and warm up linearly. Load is relative to the capacity of all engines when warm. The figures are rounded from the
// sites that the design was made for; work and latency objectives are at 0.6 of them, as on sites with hundreds of
// gateways.
func Warehouse(gateways, engines int, load float64, seed uint64) Scenario {
	const ms = rules.Millisecond
	return Scenario{
		Settings: rules.Settings{
			Tick: 5 * ms, Kinds: []rules.EngineKind{{Cores: 32, MemoryMB: 65536}}, MaxGrantFraction: 0.4, AcceptsGrants: true,
			AcceptsPriority: true, ReportsCost: true,
			Classes: []rules.Class{
				{LatencyObjective: 300 * ms, ObjectiveStretch: 1.5, ClientTimeout: 1500 * ms, LateValue: 0.1, PriorityWeight: 1, Threads: 1},
				{LatencyObjective: 900 * ms, ObjectiveStretch: 2.5, ClientTimeout: 12000 * ms, LateValue: 0.4, PriorityWeight: 20, Threads: 4},
				{LatencyObjective: 2400 * ms, ObjectiveStretch: 3, ClientTimeout: 15000 * ms, LateValue: 0.6, PriorityWeight: 25, Threads: 2,
					Idempotency: rules.NotIdempotent, IsDataLoad: true},
			},
			Limits: rules.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 2 * rules.Second,
				HedgedRequests: true, Probes: true, ConnectTimeout: 250 * ms},
			Constraints: rules.Constraints{DeadlineSlack: 20 * ms, DrainGrace: rules.Second, SlowStartInitialSpeed: 0.33, SlowStartPeriod: 15 * rules.Second,
				OverloadFactor: 3, OverloadWindow: 2 * rules.Second},
		},
		Gateways: gateways, Engines: engines, Zones: 5,
		Engine: EngineModel{Cores: 32, Slots: 128, QueueLimit: 128, KneeThreads: 1.7, OverloadLoss: 0.2, WorkNoise: 0.1},
		Classes: []ClassModel{
			{Share: 12, Work: 45 * ms, CV: 1.1, DeclaredNoise: 0.3},
			{Share: 2.4, Work: 2000 * ms, CV: 1.2, DeclaredNoise: 0.3},
			{Share: 0.9, Work: 2300 * ms, CV: 0.7, DeclaredNoise: 0.3},
		},
		Clients: ClientModel{MaxTries: 2, Backoff: 300 * ms, HonorRetryAfter: 0.6, LoadSkew: 0.5, FailoverDelay: rules.Second},
		Network: NetworkModel{SameZone: 200, CrossZone: 2 * ms, Client: ms, MinListDelay: 200 * ms, MaxListDelay: 1500 * ms},
		Load:    load, Start: 1000 * rules.Second, Duration: 30 * rules.Second, Seed: seed,
	}
}
