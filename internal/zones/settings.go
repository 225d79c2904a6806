package zones

import (
	"fmt"
	"slices"

	"foxlane/rules"
)

// Settings are the operator's. Fractions are of 1.
type Settings struct {
	Overprovision   float64    // factor on healthy capacity: with 1.4 a zone keeps all of its load until 0.71 of it is healthy
	PanicThreshold  float64    // fraction of all capacity that must be healthy; under it health is ignored
	SpilloverLimit  float64    // fraction of a zone's warm capacity that load of other zones takes at most; 1: no limit
	RetryBudget     float64    // retries into a zone, over the first attempts there; 1: no limit
	LostBelow       float64    // a zone fails when less than this fraction of it is healthy
	RecoverAbove    float64    // and recovers from this fraction on
	SettlingTime    rules.Time // how long either must last
	RecoveryRamp    rules.Time // time in which the share of a recovered zone rises from nothing to all
	RampJitter      float64    // fraction of the ramp by which gateways spread its begin
	DrainTime       rules.Time // time in which the share of a draining zone falls from all to nothing
	Damping         Damping
	Tiers           map[int][][]int // by zone: the zones that it prefers after itself, nearest first; the others come last
	SheddingEnabled bool            // without it nothing is shed
	Shedding        SheddingSettings
}

// Damping keeps a zone that flaps out of use until it has been stable (as route-flap damping does, RFC 2439).
type Damping struct {
	Penalty        float64    // of each loss
	HalfLife       rules.Time // in which the sum of penalties halves
	SuppressAbove  float64    // sum from which a zone stays lost though it is healthy
	ReuseBelow     float64    // sum under which it may recover
	MaxSuppression rules.Time // that a zone is suppressed after it is healthy again
}

// Defaults are the settings of a file that names none.
func Defaults() Settings {
	return Settings{
		Overprovision: 1.4, PanicThreshold: 0.5, SpilloverLimit: 1, RetryBudget: 1, LostBelow: 0.3, RecoverAbove: 0.7, SettlingTime: 500 * rules.Millisecond,
		RecoveryRamp: 15 * rules.Second, RampJitter: 0.2, DrainTime: 10 * rules.Second,
		Damping:  Damping{Penalty: 1, HalfLife: 15 * rules.Second, SuppressAbove: 2.5, ReuseBelow: 0.75, MaxSuppression: 60 * rules.Second},
		Shedding: DefaultShedding(),
	}
}

// SettingsError says which settings can't be used, by their keys in the operator's file, and what is allowed.
type SettingsError struct{ Problem string }

// Error returns the problem.
func (e *SettingsError) Error() string { return e.Problem }

func settingsErrorf(format string, args ...any) error {
	return &SettingsError{fmt.Sprintf(format, args...)}
}

// Validate returns a *SettingsError if the settings can't be used.
func (s Settings) Validate() error {
	switch {
	case !(s.Overprovision >= 1 && s.Overprovision <= 10):
		return settingsErrorf("overprovision is %v, 1 to 10 is possible", s.Overprovision)
	case !isFraction(s.PanicThreshold), !isFraction(s.SpilloverLimit), !isFraction(s.RampJitter), !isFraction(s.RetryBudget):
		return settingsErrorf("panic, spill, retries and jitter are parts: 0 to 1")
	case !(s.LostBelow > 0 && s.LostBelow < s.RecoverAbove && s.RecoverAbove <= 1):
		return settingsErrorf("lost_below is %v and back_over %v: 0 < lost_below < back_over <= 1", s.LostBelow, s.RecoverAbove)
	case s.SettlingTime < 0, s.RecoveryRamp <= 0, s.DrainTime <= 0:
		return settingsErrorf("ramp and drain must be over 0, settle at least 0")
	case !(s.Damping.Penalty >= 0), s.Damping.HalfLife <= 0, s.Damping.MaxSuppression < 0:
		return settingsErrorf("damping: half_life must be over 0, penalty and longest at least 0")
	case !(s.Damping.ReuseBelow > 0 && s.Damping.ReuseBelow < s.Damping.SuppressAbove):
		return settingsErrorf("damping: reuse is %v and suppress %v: 0 < reuse < suppress", s.Damping.ReuseBelow, s.Damping.SuppressAbove)
	}
	for from, tiers := range s.Tiers {
		seen := []int{from}
		for _, t := range tiers {
			for _, z := range t {
				if slices.Contains(seen, z) {
					return settingsErrorf("tiers: a zone comes twice for zone %d", from)
				}
				seen = append(seen, z)
			}
		}
	}
	return s.Shedding.validate()
}

// isFraction is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }
