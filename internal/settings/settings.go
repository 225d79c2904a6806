// Package settings decodes the settings object with which a gateway is started,
// in the simulator and on sockets. It makes no decisions and has no defaults: an
// absent value stays zero.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"foxlane/rules"
)

// parseEnum returns the index of word in words, and 0 for an absent (empty) word.
func parseEnum[T ~int](key, word string, words ...string) (T, error) {
	for i, w := range words {
		if w == word {
			return T(i), nil
		}
	}
	if word == "" {
		return 0, nil
	}
	return 0, fmt.Errorf("settings: %s has unknown value %q", key, word)
}

// Settings is the decoded settings object: the settings of the decision module,
// and the names and values that only the gateway around it needs.
type Settings struct {
	Rules             rules.Settings
	ClassNames        []string
	ZoneNames         []string
	KindNames         []string
	TenantNames       []string
	EngineIdleTimeout rules.Time // time after which engines close idle connections
	Multiplex         int        // concurrent requests on one connection to an engine
}

// Decode decodes and checks a settings object. Unknown keys are ignored.
func Decode(raw json.RawMessage) (Settings, error) {
	var w wireSettings
	if len(raw) == 0 || string(raw) == "null" {
		return Settings{}, errors.New("settings: missing")
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	r, err := w.decodeRules()
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Rules: r, ZoneNames: w.ZoneNames, KindNames: w.Kinds,
		EngineIdleTimeout: rules.Time(w.Limits.EngineIdleTimeout), Multiplex: w.Limits.Multiplex,
	}
	for _, class := range w.Classes {
		s.ClassNames = append(s.ClassNames, class.Name)
	}
	for _, p := range w.Tenants {
		s.TenantNames = append(s.TenantNames, p.Name)
	}
	return s, nil
}

// decodeRules decodes the settings of the decision module.
func (w *wireSettings) decodeRules() (rules.Settings, error) {
	if len(w.Classes) == 0 {
		return rules.Settings{}, errors.New("settings: no classes")
	}
	if err := w.validate(); err != nil {
		return rules.Settings{}, err
	}
	s := rules.Settings{
		Gateways:         max(w.Gateways, 1),
		GatewayIndex:     w.GatewayIndex,
		Zone:             w.Zone,
		Tick:             rules.Time(w.Tick),
		PullMembership:   w.MembershipMode == "ask",
		OverQuotaWeight:  w.OverQuotaWeight,
		MaxGrantFraction: w.Extra.MaxGrantFraction,
		AcceptsGrants:    w.Extra.AcceptsGrants,
		AcceptsPriority:  w.Extra.AcceptsPriority,
		ReportsCost:      w.Extra.ReportsCost,
		MarksRetries:     w.Clients.MarksRetries,
		LoadReportFields: w.LoadReport.Fields,
		ScaleIsCapacity:  w.WeightSource == "nominal" || w.WeightSource == "rough",
		Limits:           w.decodeLimits(),
		Constraints:      w.decodeConstraints(),
		Penalties: rules.Penalties{
			CrossZone: w.Penalties.CrossZone, WastedWork: w.Penalties.WastedWork, Probe: w.Penalties.Probe,
			PeerMessage: w.Penalties.PeerMessage, LateFailure: w.Penalties.LateFailure,
		},
	}
	var err error
	if s.LoadReport, err = parseEnum[rules.LoadReportMode]("report.how", w.LoadReport.Mode, "silent", "piggyback", "pull"); err != nil {
		return s, err
	}
	s.Overcommit, err = parseEnum[rules.OvercommitMode]("extra.onShortage", w.Extra.Overcommit, "wait", "shrink", "page")
	if err != nil {
		return s, err
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, rules.Tenant{QuotaPerSecond: t.QuotaPerS, Fraction: t.Fraction})
	}
	for i := range max(len(w.Kinds), len(w.Extra.KindCores), len(w.Extra.KindMemoryMB)) {
		s.Kinds = append(s.Kinds, rules.EngineKind{Cores: valueAt(w.Extra.KindCores, i), MemoryMB: valueAt(w.Extra.KindMemoryMB, i)})
	}
	for i, c := range w.Classes {
		class, err := decodeClass(c, w, i)
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	return s, nil
}

func (w *wireSettings) decodeLimits() rules.Limits {
	return rules.Limits{
		MaxAttempts:     w.Limits.MaxAttempts,
		MaxOpenRequests: w.Limits.MaxOpenRequests,
		HedgedRequests:  w.Limits.HedgedRequests,
		Cancel:          w.Limits.Cancel,
		Probes:          w.Limits.Probes,
		PeerMessages:    w.Limits.PeerMessages,
		RetryAfter:      w.Limits.RetryAfter,
		MaxRetryAfter:   rules.Time(w.Limits.MaxRetryAfter),
		ConnectTimeout:  rules.Time(w.Limits.ConnectTimeout),
	}
}

func (w *wireSettings) decodeConstraints() rules.Constraints {
	c := rules.Constraints{
		DeadlineSlack:         rules.Time(w.Constraints.DeadlineSlack),
		DrainGrace:            rules.Time(w.Constraints.DrainGrace),
		PollInterval:          rules.Time(w.Constraints.PollInterval),
		SlowStartInitialSpeed: w.Constraints.SlowStartInitialSpeed,
		SlowStartPeriod:       rules.Time(w.Constraints.SlowStartPeriod),
		OverloadFactor:        w.Constraints.OverloadFactor,
		OverloadWindow:        rules.Time(w.Constraints.OverloadWindow),
		KeyQuarantine:         rules.Time(w.Constraints.KeyQuarantine),
		RetryBudgetWindow:     rules.Time(w.Constraints.RetryBudgetWindow),
	}
	// Either key enables the retry budget; if the other is absent, its value is 0.
	if ratio := w.Constraints.RetryBudgetRatio; ratio != nil {
		c.RetryBudgetEnabled, c.RetryBudgetRatio = true, *ratio
	}
	if minRetries := w.Constraints.RetryBudgetMin; minRetries != nil {
		c.RetryBudgetEnabled, c.RetryBudgetMin = true, *minRetries
	}
	return c
}

// validate checks the ranges of the object's numbers, except those of its classes.
func (w *wireSettings) validate() error {
	if err := checkNotNegative([]namedNumber{
		{"rules.coldFrom", w.Constraints.SlowStartInitialSpeed},
		{"rules.cold", float64(w.Constraints.SlowStartPeriod)},
		{"rules.tipAfter", float64(w.Constraints.OverloadWindow)},
		{"rules.overloadFactor", w.Constraints.OverloadFactor},
		{"rules.answerSlack", float64(w.Constraints.DeadlineSlack)},
		{"rules.stopSendingWithin", float64(w.Constraints.DrainGrace)},
		{"rules.lookBack", float64(w.Constraints.RetryBudgetWindow)},
		{"rules.keyRest", float64(w.Constraints.KeyQuarantine)},
		{"limits.connectTimeout", float64(w.Limits.ConnectTimeout)},
		{"limits.connIdle", float64(w.Limits.EngineIdleTimeout)},
		{"limits.maxAttempts", float64(w.Limits.MaxAttempts)},
		{"limits.maxOpen", float64(w.Limits.MaxOpenRequests)},
		{"limits.multiplex", float64(w.Limits.Multiplex)},
		{"tick", float64(w.Tick)},
		{"extra.mostGrant", w.Extra.MaxGrantFraction},
	}); err != nil {
		return err
	}
	if speed := w.Constraints.SlowStartInitialSpeed; speed > 1 {
		return fmt.Errorf("settings: rules.coldFrom is %v, must be at most 1", speed)
	}
	return nil
}

// namedNumber is a number of the settings object with its key, for errors.
type namedNumber struct {
	key   string
	value float64
}

func checkNotNegative(numbers []namedNumber) error {
	for _, number := range numbers {
		if math.IsNaN(number.value) || number.value < 0 {
			return fmt.Errorf("settings: %s is %v, must be at least 0", number.key, number.value)
		}
	}
	return nil
}

func decodeClass(wire wireClass, settings *wireSettings, index int) (rules.Class, error) {
	class := rules.Class{
		LatencyObjective:  rules.Time(wire.LatencyObjective),
		ObjectiveStretch:  wire.ObjectiveStretch,
		ClientTimeout:     rules.Time(wire.ClientTimeout),
		LateValue:         wire.LateValue,
		PriorityWeight:    wire.PriorityWeight,
		DedupWindow:       rules.Time(wire.DedupWindow),
		Stream:            wire.Stream,
		Ordered:           wire.Ordered,
		AllowedZones:      wire.AllowedZones,
		AllowedKinds:      wire.AllowedKinds,
		Threads:           max(valueAt(settings.Extra.ClassThreads, index), 1),
		IsDataLoad:        valueAt(settings.Extra.IsDataLoad, index),
		BlockedByDataLoad: valueAt(settings.Extra.BlockedByDataLoad, index),
	}
	var err error
	if wire.Idempotency == "" { // required: without it the class would count as idempotent, the value 0
		return class, fmt.Errorf("class %d (%q): settings: effect is missing", index, wire.Name)
	}
	if class.Idempotency, err = parseEnum[rules.Idempotency]("effect", wire.Idempotency, "pure", "token", "side_effect"); err != nil {
		return class, fmt.Errorf("class %d (%q): %w", index, wire.Name, err)
	}
	if class.DedupScope, err = parseEnum[rules.DedupScope]("group", wire.DedupScope, "all", "zone", "cell"); err != nil {
		return class, fmt.Errorf("class %d: %w", index, err)
	}
	if err := checkNotNegative([]namedNumber{
		{"worth", wire.PriorityWeight},
		{"aim", float64(wire.LatencyObjective)},
		{"aimStretch", wire.ObjectiveStretch},
		{"giveUp", float64(wire.ClientTimeout)},
		{"lateValue", wire.LateValue},
		{"dedupWindow", float64(wire.DedupWindow)},
	}); err != nil {
		return class, fmt.Errorf("class %d (%q): %w", index, wire.Name, err)
	}
	return class, nil
}

// valueAt returns the value at index i, or the zero value if the list is shorter.
func valueAt[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}
