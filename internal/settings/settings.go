// Package settings owns the one decoder of the settings object that a gateway
// is started with, on the simulator's wire and on sockets alike. It must never
// decide or default anything that the object does not say: what is absent
// stays zero.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"foxlane/rules"
)

type wireClass struct {
	LatencyObjective int64   `json:"aim"`
	ObjectiveStretch float64 `json:"aimStretch"`
	DedupWindow      int64   `json:"dedupWindow"`
	Idempotency      string  `json:"effect"`
	ClientTimeout    int64   `json:"giveUp"`
	DedupScope       string  `json:"group"`
	LateValue        float64 `json:"lateValue"`
	Name             string  `json:"name"`
	Stream           bool    `json:"stream"`
	PriorityWeight   float64 `json:"worth"`
	Ordered          bool    `json:"serialByKey"`
	AllowedZones     []int   `json:"staysIn"`
	AllowedKinds     []int   `json:"machineTypesAllowed"`
}

type wireSettings struct {
	Classes []wireClass `json:"classes"`
	Clients struct {
		MarksRetries bool `json:"marksRetry"`
	} `json:"clients"`
	Extra struct {
		ClassThreads      []int     `json:"classThreads"`
		KindCores         []float64 `json:"cpuOfKind"`
		KindMemoryMB      []float64 `json:"ramOfKindMb"`
		IsDataLoad        []bool    `json:"isLoad"`
		BlockedByDataLoad []bool    `json:"yieldsToLoads"`
		MaxGrantFraction  float64   `json:"mostGrant"`
		Overcommit        string    `json:"onShortage"`
		AcceptsPriority   bool      `json:"ranksHeeded"`
		AcceptsGrants     bool      `json:"takesGrants"`
		ReportsCost       bool      `json:"tellsCost"`
	} `json:"extra"`
	Penalties struct {
		CrossZone   float64 `json:"crossZone"`
		LateFailure float64 `json:"lateFail"`
		PeerMessage float64 `json:"peer"`
		Probe       float64 `json:"probe"`
		WastedWork  float64 `json:"waste"`
	} `json:"fees"`
	Limits struct {
		Cancel            bool  `json:"cancel"`
		EngineIdleTimeout int64 `json:"connIdle"`
		ConnectTimeout    int64 `json:"connectTimeout"`
		MaxAttempts       int   `json:"maxAttempts"`
		MaxOpenRequests   int   `json:"maxOpen"`
		MaxRetryAfter     int64 `json:"maxRetryAfter"`
		Multiplex         int   `json:"multiplex"`
		HedgedRequests    bool  `json:"parallelTries"`
		PeerMessages      bool  `json:"peerMessages"`
		Probes            bool  `json:"probes"`
		RetryAfter        bool  `json:"retryAfter"`
	} `json:"limits"`
	Kinds           []string `json:"machineTypes"`
	GatewayIndex    int      `json:"me"`
	MembershipMode  string   `json:"membershipMode"`
	OverQuotaWeight float64  `json:"overShareWorth"`
	Tenants         []struct {
		Fraction  float64 `json:"fraction"`
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"parties"`
	LoadReport struct {
		Fields []string `json:"fields"`
		Mode   string   `json:"how"`
	} `json:"report"`
	Constraints struct {
		DeadlineSlack         int64    `json:"answerSlack"`
		PollInterval          int64    `json:"askEvery"`
		SlowStartPeriod       int64    `json:"cold"`
		SlowStartInitialSpeed float64  `json:"coldFrom"`
		RetryBudgetRatio      *float64 `json:"extraPerRequest"`
		RetryBudgetMin        *float64 `json:"freeResends"`
		KeyQuarantine         int64    `json:"keyRest"`
		RetryBudgetWindow     int64    `json:"lookBack"`
		OverloadFactor        float64  `json:"overloadFactor"`
		DrainGrace            int64    `json:"stopSendingWithin"`
		OverloadWindow        int64    `json:"tipAfter"`
	} `json:"rules"`
	Gateways     int      `json:"siblings"`
	Tick         int64    `json:"tick"`
	WeightSource string   `json:"weightSource"`
	Zone         int      `json:"zone"`
	ZoneNames    []string `json:"zones"`
}

// enumValue looks a word of the settings up; the empty word is the first value.
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

// Settings is the settings object: what the module is told, and the names and
// figures that only a host needs.
type Settings struct {
	Rules             rules.Settings
	ClassNames        []string
	ZoneNames         []string
	KindNames         []string
	TenantNames       []string   // their names
	EngineIdleTimeout rules.Time // engines close idle connections after it
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

// decodeRules is the part of the object that the module is told.
func (w *wireSettings) decodeRules() (rules.Settings, error) {
	var s rules.Settings
	if len(w.Classes) == 0 {
		return s, errors.New("settings: no classes")
	}
	s = rules.Settings{
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
		Limits: rules.Limits{
			MaxAttempts:     w.Limits.MaxAttempts,
			MaxOpenRequests: w.Limits.MaxOpenRequests,
			HedgedRequests:  w.Limits.HedgedRequests,
			Cancel:          w.Limits.Cancel,
			Probes:          w.Limits.Probes,
			PeerMessages:    w.Limits.PeerMessages,
			RetryAfter:      w.Limits.RetryAfter,
			MaxRetryAfter:   rules.Time(w.Limits.MaxRetryAfter),
			ConnectTimeout:  rules.Time(w.Limits.ConnectTimeout),
		},
		Constraints: rules.Constraints{
			DeadlineSlack:         rules.Time(w.Constraints.DeadlineSlack),
			DrainGrace:            rules.Time(w.Constraints.DrainGrace),
			PollInterval:          rules.Time(w.Constraints.PollInterval),
			SlowStartInitialSpeed: w.Constraints.SlowStartInitialSpeed,
			SlowStartPeriod:       rules.Time(w.Constraints.SlowStartPeriod),
			OverloadFactor:        w.Constraints.OverloadFactor,
			OverloadWindow:        rules.Time(w.Constraints.OverloadWindow),
			KeyQuarantine:         rules.Time(w.Constraints.KeyQuarantine),
			RetryBudgetWindow:     rules.Time(w.Constraints.RetryBudgetWindow),
		},
		Penalties: rules.Penalties{
			CrossZone: w.Penalties.CrossZone, WastedWork: w.Penalties.WastedWork, Probe: w.Penalties.Probe,
			PeerMessage: w.Penalties.PeerMessage, LateFailure: w.Penalties.LateFailure,
		},
	}
	if w.Constraints.RetryBudgetRatio != nil || w.Constraints.RetryBudgetMin != nil {
		s.Constraints.RetryBudgetEnabled = true
		if w.Constraints.RetryBudgetRatio != nil {
			s.Constraints.RetryBudgetRatio = *w.Constraints.RetryBudgetRatio
		}
		if w.Constraints.RetryBudgetMin != nil {
			s.Constraints.RetryBudgetMin = *w.Constraints.RetryBudgetMin
		}
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"rules.coldFrom", w.Constraints.SlowStartInitialSpeed}, {"rules.cold", float64(w.Constraints.SlowStartPeriod)}, {"rules.tipAfter", float64(w.Constraints.OverloadWindow)},
		{"rules.overloadFactor", w.Constraints.OverloadFactor}, {"rules.answerSlack", float64(w.Constraints.DeadlineSlack)},
		{"rules.stopSendingWithin", float64(w.Constraints.DrainGrace)}, {"rules.lookBack", float64(w.Constraints.RetryBudgetWindow)},
		{"rules.keyRest", float64(w.Constraints.KeyQuarantine)}, {"limits.connectTimeout", float64(w.Limits.ConnectTimeout)},
		{"limits.connIdle", float64(w.Limits.EngineIdleTimeout)}, {"limits.maxAttempts", float64(w.Limits.MaxAttempts)},
		{"limits.maxOpen", float64(w.Limits.MaxOpenRequests)}, {"limits.multiplex", float64(w.Limits.Multiplex)},
		{"tick", float64(w.Tick)}, {"extra.mostGrant", w.Extra.MaxGrantFraction},
	} {
		if math.IsNaN(f.value) || f.value < 0 {
			return s, fmt.Errorf("settings: %s is %v, at least 0 is needed", f.key, f.value)
		}
	}
	if w.Constraints.SlowStartInitialSpeed > 1 {
		return s, fmt.Errorf("settings: rules.coldFrom is %v, at most 1 is a part", w.Constraints.SlowStartInitialSpeed)
	}
	var err error
	if s.LoadReport, err = enumValue[rules.LoadReportMode]("report.how", w.LoadReport.Mode, "silent", "piggyback", "pull"); err != nil {
		return s, err
	}
	s.Overcommit, err = enumValue[rules.OvercommitMode]("extra.onShortage", w.Extra.Overcommit, "wait", "shrink", "page")
	if err != nil {
		return s, err
	}
	for _, p := range w.Tenants {
		s.Tenants = append(s.Tenants, rules.Tenant{QuotaPerSecond: p.QuotaPerS, Fraction: p.Fraction})
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
	if c.Idempotency == "" { // what may not be known to be safe must not pass for it
		return class, fmt.Errorf("class %d (%q): settings: effect is missing", i, c.Name)
	}
	if class.Idempotency, err = enumValue[rules.Idempotency]("effect", c.Idempotency, "pure", "token", "side_effect"); err != nil {
		return class, fmt.Errorf("class %d (%q): %w", i, c.Name, err)
	}
	if class.DedupScope, err = enumValue[rules.DedupScope]("group", c.DedupScope, "all", "zone", "cell"); err != nil {
		return class, fmt.Errorf("class %d: %w", i, err)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"worth", c.PriorityWeight}, {"aim", float64(c.LatencyObjective)}, {"aimStretch", c.ObjectiveStretch}, {"giveUp", float64(c.ClientTimeout)},
		{"lateValue", c.LateValue}, {"dedupWindow", float64(c.DedupWindow)},
	} {
		if math.IsNaN(f.value) || f.value < 0 {
			return class, fmt.Errorf("class %d (%q): settings: %s is %v, at least 0 is needed", i, c.Name, f.key, f.value)
		}
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
