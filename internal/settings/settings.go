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
	Aim                 int64   `json:"aim"`
	AimStretch          float64 `json:"aimStretch"`
	DedupWindow         int64   `json:"dedupWindow"`
	Effect              string  `json:"effect"`
	GiveUp              int64   `json:"giveUp"`
	Group               string  `json:"group"`
	LateValue           float64 `json:"lateValue"`
	Name                string  `json:"name"`
	Stream              bool    `json:"stream"`
	Worth               float64 `json:"worth"`
	SerialByKey         bool    `json:"serialByKey"`
	StaysIn             []int   `json:"staysIn"`
	MachineTypesAllowed []int   `json:"machineTypesAllowed"`
}

type wireInfo struct {
	Classes []wireClass `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Extra struct {
		ClassThreads  []int     `json:"classThreads"`
		CPUOfKind     []float64 `json:"cpuOfKind"`
		RAMOfKindMB   []float64 `json:"ramOfKindMb"`
		IsLoad        []bool    `json:"isLoad"`
		YieldsToLoads []bool    `json:"yieldsToLoads"`
		MostGrant     float64   `json:"mostGrant"`
		OnShortage    string    `json:"onShortage"`
		RanksHeeded   bool      `json:"ranksHeeded"`
		TakesGrants   bool      `json:"takesGrants"`
		TellsCost     bool      `json:"tellsCost"`
	} `json:"extra"`
	Fees struct {
		CrossZone float64 `json:"crossZone"`
		LateFail  float64 `json:"lateFail"`
		Peer      float64 `json:"peer"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"fees"`
	Limits struct {
		Cancel         bool  `json:"cancel"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
		MaxAttempts    int   `json:"maxAttempts"`
		MaxOpen        int   `json:"maxOpen"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		Multiplex      int   `json:"multiplex"`
		ParallelTries  bool  `json:"parallelTries"`
		PeerMessages   bool  `json:"peerMessages"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retryAfter"`
	} `json:"limits"`
	MachineTypes   []string `json:"machineTypes"`
	Me             int      `json:"me"`
	MembershipMode string   `json:"membershipMode"`
	OverShareWorth float64  `json:"overShareWorth"`
	Parties        []struct {
		Fraction  float64 `json:"fraction"`
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"parties"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Rules struct {
		AnswerSlack       int64    `json:"answerSlack"`
		AskEvery          int64    `json:"askEvery"`
		Cold              int64    `json:"cold"`
		ColdFrom          float64  `json:"coldFrom"`
		ExtraPerRequest   *float64 `json:"extraPerRequest"`
		FreeResends       *float64 `json:"freeResends"`
		KeyRest           int64    `json:"keyRest"`
		LookBack          int64    `json:"lookBack"`
		OverloadFactor    float64  `json:"overloadFactor"`
		StopSendingWithin int64    `json:"stopSendingWithin"`
		TipAfter          int64    `json:"tipAfter"`
	} `json:"rules"`
	Siblings     int      `json:"siblings"`
	Tick         int64    `json:"tick"`
	WeightSource string   `json:"weightSource"`
	Zone         int      `json:"zone"`
	Zones        []string `json:"zones"`
}

// choice looks a word of the settings up; the empty word is the first value.
func choice[T ~int](what, word string, words ...string) (T, error) {
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
	Rules      rules.Settings
	ClassNames []string
	ZoneNames  []string
	KindNames  []string
	Tenants    []string   // their names
	ConnIdle   rules.Time // engines close idle connections after it
	Multiplex  int        // requests that one connection to an engine carries
}

// Decode reads a settings object.
func Decode(raw json.RawMessage) (Settings, error) {
	var w wireInfo
	if len(raw) == 0 || string(raw) == "null" {
		return Settings{}, errors.New("settings: missing")
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	r, err := w.rules()
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Rules: r, ZoneNames: w.Zones, KindNames: w.MachineTypes,
		ConnIdle: rules.Time(w.Limits.ConnIdle), Multiplex: w.Limits.Multiplex,
	}
	for _, c := range w.Classes {
		s.ClassNames = append(s.ClassNames, c.Name)
	}
	for _, p := range w.Parties {
		s.Tenants = append(s.Tenants, p.Name)
	}
	return s, nil
}

// rules is the part of the object that the module is told.
func (w *wireInfo) rules() (rules.Settings, error) {
	var s rules.Settings
	if len(w.Classes) == 0 {
		return s, errors.New("settings: no classes")
	}
	s = rules.Settings{
		Gateways:         max(w.Siblings, 1),
		GatewayIndex:     w.Me,
		Zone:             w.Zone,
		Tick:             rules.Time(w.Tick),
		PullMembership:   w.MembershipMode == "ask",
		OverQuotaWeight:  w.OverShareWorth,
		MaxGrantFraction: w.Extra.MostGrant,
		AcceptsGrants:    w.Extra.TakesGrants,
		AcceptsPriority:  w.Extra.RanksHeeded,
		ReportsCost:      w.Extra.TellsCost,
		MarksRetries:     w.Clients.MarksRetry,
		LoadReportFields: w.Report.Fields,
		ScaleIsCapacity:  w.WeightSource == "nominal" || w.WeightSource == "rough",
		Limits: rules.Limits{
			MaxAttempts:     w.Limits.MaxAttempts,
			MaxOpenRequests: w.Limits.MaxOpen,
			HedgedRequests:  w.Limits.ParallelTries,
			Cancel:          w.Limits.Cancel,
			Probes:          w.Limits.Probes,
			PeerMessages:    w.Limits.PeerMessages,
			RetryAfter:      w.Limits.RetryAfter,
			MaxRetryAfter:   rules.Time(w.Limits.MaxRetryAfter),
			ConnectTimeout:  rules.Time(w.Limits.ConnectTimeout),
		},
		Constraints: rules.Constraints{
			DeadlineSlack:         rules.Time(w.Rules.AnswerSlack),
			DrainGrace:            rules.Time(w.Rules.StopSendingWithin),
			PollInterval:          rules.Time(w.Rules.AskEvery),
			SlowStartInitialSpeed: w.Rules.ColdFrom,
			SlowStartPeriod:       rules.Time(w.Rules.Cold),
			OverloadFactor:        w.Rules.OverloadFactor,
			OverloadWindow:        rules.Time(w.Rules.TipAfter),
			KeyQuarantine:         rules.Time(w.Rules.KeyRest),
			RetryBudgetWindow:     rules.Time(w.Rules.LookBack),
		},
		Penalties: rules.Penalties{
			CrossZone: w.Fees.CrossZone, WastedWork: w.Fees.Waste, Probe: w.Fees.Probe,
			PeerMessage: w.Fees.Peer, LateFailure: w.Fees.LateFail,
		},
	}
	if w.Rules.ExtraPerRequest != nil || w.Rules.FreeResends != nil {
		s.Constraints.RetryBudgetEnabled = true
		if w.Rules.ExtraPerRequest != nil {
			s.Constraints.RetryBudgetRatio = *w.Rules.ExtraPerRequest
		}
		if w.Rules.FreeResends != nil {
			s.Constraints.RetryBudgetMin = *w.Rules.FreeResends
		}
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"rules.coldFrom", w.Rules.ColdFrom}, {"rules.cold", float64(w.Rules.Cold)}, {"rules.tipAfter", float64(w.Rules.TipAfter)},
		{"rules.overloadFactor", w.Rules.OverloadFactor}, {"rules.answerSlack", float64(w.Rules.AnswerSlack)},
		{"rules.stopSendingWithin", float64(w.Rules.StopSendingWithin)}, {"rules.lookBack", float64(w.Rules.LookBack)},
		{"rules.keyRest", float64(w.Rules.KeyRest)}, {"limits.connectTimeout", float64(w.Limits.ConnectTimeout)},
		{"limits.connIdle", float64(w.Limits.ConnIdle)}, {"limits.maxAttempts", float64(w.Limits.MaxAttempts)},
		{"limits.maxOpen", float64(w.Limits.MaxOpen)}, {"limits.multiplex", float64(w.Limits.Multiplex)},
		{"tick", float64(w.Tick)}, {"extra.mostGrant", w.Extra.MostGrant},
	} {
		if math.IsNaN(f.value) || f.value < 0 {
			return s, fmt.Errorf("settings: %s is %v, at least 0 is needed", f.key, f.value)
		}
	}
	if w.Rules.ColdFrom > 1 {
		return s, fmt.Errorf("settings: rules.coldFrom is %v, at most 1 is a part", w.Rules.ColdFrom)
	}
	var err error
	if s.LoadReport, err = choice[rules.LoadReportMode]("report.how", w.Report.How, "silent", "piggyback", "pull"); err != nil {
		return s, err
	}
	s.Overcommit, err = choice[rules.OvercommitMode]("extra.onShortage", w.Extra.OnShortage, "wait", "shrink", "page")
	if err != nil {
		return s, err
	}
	for _, p := range w.Parties {
		s.Tenants = append(s.Tenants, rules.Tenant{QuotaPerSecond: p.QuotaPerS, Fraction: p.Fraction})
	}
	for i := range max(len(w.MachineTypes), len(w.Extra.CPUOfKind), len(w.Extra.RAMOfKindMB)) {
		s.Kinds = append(s.Kinds, rules.EngineKind{Cores: at(w.Extra.CPUOfKind, i), MemoryMB: at(w.Extra.RAMOfKindMB, i)})
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

func decodeClass(c wireClass, w *wireInfo, i int) (rules.Class, error) {
	class := rules.Class{
		LatencyObjective:  rules.Time(c.Aim),
		ObjectiveStretch:  c.AimStretch,
		ClientTimeout:     rules.Time(c.GiveUp),
		LateValue:         c.LateValue,
		PriorityWeight:    c.Worth,
		DedupWindow:       rules.Time(c.DedupWindow),
		Stream:            c.Stream,
		Ordered:           c.SerialByKey,
		AllowedZones:      c.StaysIn,
		AllowedKinds:      c.MachineTypesAllowed,
		Threads:           max(at(w.Extra.ClassThreads, i), 1),
		IsDataLoad:        at(w.Extra.IsLoad, i),
		BlockedByDataLoad: at(w.Extra.YieldsToLoads, i),
	}
	var err error
	if c.Effect == "" { // what may not be known to be safe must not pass for it
		return class, fmt.Errorf("class %d (%q): settings: effect is missing", i, c.Name)
	}
	if class.Idempotency, err = choice[rules.Idempotency]("effect", c.Effect, "pure", "token", "side_effect"); err != nil {
		return class, fmt.Errorf("class %d (%q): %w", i, c.Name, err)
	}
	if class.DedupScope, err = choice[rules.DedupScope]("group", c.Group, "all", "zone", "cell"); err != nil {
		return class, fmt.Errorf("class %d: %w", i, err)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"worth", c.Worth}, {"aim", float64(c.Aim)}, {"aimStretch", c.AimStretch}, {"giveUp", float64(c.GiveUp)},
		{"lateValue", c.LateValue}, {"dedupWindow", float64(c.DedupWindow)},
	} {
		if math.IsNaN(f.value) || f.value < 0 {
			return class, fmt.Errorf("class %d (%q): settings: %s is %v, at least 0 is needed", i, c.Name, f.key, f.value)
		}
	}
	return class, nil
}

// at is the i-th value of a list, or zero where the list is shorter.
func at[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}
