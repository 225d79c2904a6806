// Package settings decodes the settings object that a gateway is started with,
// on the simulator's wire and on sockets alike. It must never decide or default
// anything that the object does not say: what is absent stays zero.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"foxlane/rules"
)

// enumValue returns the index of a word among the possible ones; an absent word is the first.
func enumValue[T ~int](what, word string, words ...string) (T, error) {
	for i, w := range words {
		if w == word {
			return T(i), nil
		}
	}
	if word == "" {
		return 0, nil
	}
	return 0, fmt.Errorf("settings: %s has unknown value %q", what, word)
}

// Settings is the decoded settings object: the settings of the decision module,
// and the names and values that only a gateway needs.
type Settings struct {
	Rules             rules.Settings
	ClassNames        []string
	ZoneNames         []string
	KindNames         []string
	TenantNames       []string
	EngineIdleTimeout rules.Time // after which engines close idle connections
	Multiplex         int        // requests that one connection to an engine carries
}

// Decode reads a settings object.
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
	for _, c := range w.Classes {
		s.ClassNames = append(s.ClassNames, c.Name)
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
	if err := w.check(); err != nil {
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
	if s.LoadReport, err = enumValue[rules.LoadReportMode]("report.how", w.LoadReport.Mode, "silent", "piggyback", "pull"); err != nil {
		return s, err
	}
	s.Overcommit, err = enumValue[rules.OvercommitMode]("extra.onShortage", w.Extra.Overcommit, "wait", "shrink", "page")
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
	// Either key enables the retry budget; the absent one is 0 then.
	if ratio := w.Constraints.RetryBudgetRatio; ratio != nil {
		c.RetryBudgetEnabled, c.RetryBudgetRatio = true, *ratio
	}
	if least := w.Constraints.RetryBudgetMin; least != nil {
		c.RetryBudgetEnabled, c.RetryBudgetMin = true, *least
	}
	return c
}

// check checks the numbers of the object, without those of classes.
func (w *wireSettings) check() error {
	if err := notNegative([]amount{
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
		return fmt.Errorf("settings: rules.coldFrom is %v, at most 1 is a part", speed)
	}
	return nil
}

// amount is a number under its key in the settings object.
type amount struct {
	key   string
	value float64
}

func notNegative(amounts []amount) error {
	for _, a := range amounts {
		if math.IsNaN(a.value) || a.value < 0 {
			return fmt.Errorf("settings: %s is %v, at least 0 is needed", a.key, a.value)
		}
	}
	return nil
}

func decodeClass(c wireClass, w *wireSettings, i int) (rules.Class, error) {
	class := rules.Class{
		LatencyObjective:  rules.Time(c.LatencyObjective),
		ObjectiveStretch:  c.ObjectiveStretch,
		ClientTimeout:     rules.Time(c.ClientTimeout),
		LateValue:         c.LateValue,
		PriorityWeight:    c.PriorityWeight,
		DedupWindow:       rules.Time(c.DedupWindow),
		Stream:            c.Stream,
		Ordered:           c.Ordered,
		AllowedZones:      c.AllowedZones,
		AllowedKinds:      c.AllowedKinds,
		Threads:           max(valueAt(w.Extra.ClassThreads, i), 1),
		IsDataLoad:        valueAt(w.Extra.IsDataLoad, i),
		BlockedByDataLoad: valueAt(w.Extra.BlockedByDataLoad, i),
	}
	var err error
	if c.Idempotency == "" { // a class that is not known to be idempotent must not be taken for one
		return class, fmt.Errorf("class %d (%q): settings: effect is missing", i, c.Name)
	}
	if class.Idempotency, err = enumValue[rules.Idempotency]("effect", c.Idempotency, "pure", "token", "side_effect"); err != nil {
		return class, fmt.Errorf("class %d (%q): %w", i, c.Name, err)
	}
	if class.DedupScope, err = enumValue[rules.DedupScope]("group", c.DedupScope, "all", "zone", "cell"); err != nil {
		return class, fmt.Errorf("class %d: %w", i, err)
	}
	if err := notNegative([]amount{
		{"worth", c.PriorityWeight},
		{"aim", float64(c.LatencyObjective)},
		{"aimStretch", c.ObjectiveStretch},
		{"giveUp", float64(c.ClientTimeout)},
		{"lateValue", c.LateValue},
		{"dedupWindow", float64(c.DedupWindow)},
	}); err != nil {
		return class, fmt.Errorf("class %d (%q): %w", i, c.Name, err)
	}
	return class, nil
}

// valueAt is the i-th value of a list, or zero where the list is shorter.
func valueAt[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}
