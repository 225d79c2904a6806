package emulator

import "foxlane/rules"

// Warehouse is a site of three classes as the design's: short look-ups, reports that are most of the work,
// and loads that must not run twice. Five zones, engines of 32 cores that start cold and warm evenly. The
// load is a part of what all engines do when warm. Every figure is a round one of the sites that the design
// was made for, with work and aims at six tenths, as they have it where hundreds of gateways are.
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
