package emulator

import (
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file owns what a run is given: the models and their parameters.

// ClassModel is what clients request of one class.
type ClassModel struct {
	Share         float64    // of all requests, relative to the other classes'
	Work          rules.Time // mean, all threads together
	CV            float64    // coefficient of variation of the work, which is lognormal
	DeclaredNoise float64    // standard deviation of the logarithm of declared over true work
	DeclaredRatio float64    // declared over true work, on the whole; 0: 1
}

// ClientModel is how clients behave.
type ClientModel struct {
	MaxTries        int        // for one request, the first included
	Backoff         rules.Time // mean wait before a retry
	HonorRetryAfter float64    // fraction of clients that wait for as long as a rejection says
	LoadSkew        float64    // standard deviation of the logarithm of a gateway's part of the load
	FailoverDelay   rules.Time // from a gateway's end until its clients try another
}

// NetworkModel is the network's delays, one way.
type NetworkModel struct {
	SameZone, CrossZone rules.Time // between a gateway and an engine
	Client              rules.Time // between a client and a gateway
	MinListDelay        rules.Time // of an update of the list, to a gateway
	MaxListDelay        rules.Time
}

// Scenario is all that one run is given.
type Scenario struct {
	Settings         rules.Settings // the fields that name a gateway are set for each gateway
	Gateways         int
	Engines          int
	Zones            int
	Engine           EngineModel
	Classes          []ClassModel // by the index of Settings.Classes
	Clients          ClientModel
	Network          NetworkModel
	Load             float64 // offered work over the work that all engines can do at the start
	Start            rules.Time
	Duration         rules.Time
	Seed             uint64
	Faults           []Fault
	Placement        []int           // zones of engines and gateways, repeated; nil: round robin over Zones
	ZoneFailover     *zones.Settings // the plan for the loss of a zone; nil: none
	Gossip           *GossipModel    // nil: gateways don't gossip
	ColdBudgetFactor float64         // the slow-start budget that gateways assume over the true one; 0: 1
	StaticHomeShare  *float64        // a baseline instead of a plan: the part of a gateway's load that stays in its zone, whatever happens
}

// zoneOf is the zone of the i-th engine or gateway.
func (s *Scenario) zoneOf(i int) int {
	if len(s.Placement) > 0 {
		return s.Placement[i%len(s.Placement)]
	}
	return i % max(1, s.Zones)
}

// Warehouse is a site with three classes, as the design assumes: short look-ups, reports that are most of the work, and
// data loads that are not idempotent. It has five zones, and engines of 32 cores that start cold and warm up linearly.
// The load is relative to what all engines can do when warm. Every figure is a round one of the sites that the design
// was made for; work and latency objectives are at six tenths, as on sites with hundreds of gateways.
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
