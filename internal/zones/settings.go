package zones

import (
	"fmt"
	"slices"

	"foxlane/rules"
)

// Settings are the operator's settings of zone failover. Fractions are from 0 to 1.
type Settings struct {
	Overprovision   float64    // factor on capacity: with 1.4 a zone keeps all of its load while 0.71 of it is healthy
	PanicThreshold  float64    // fraction of the present cores that must be healthy; below it, health is ignored
	SpilloverLimit  float64    // fraction of a zone's warm capacity open to the load of other zones; 1: no limit
	RetryBudget     float64    // ratio of retries to first attempts in a zone; 1: no limit
	LostBelow       float64    // a zone fails when less than this fraction of it is healthy
	RecoverAbove    float64    // a zone recovers when at least this fraction of it is healthy
	SettlingTime    rules.Time // how long either condition must last
	RecoveryRamp    rules.Time // time in which the share of a recovered zone rises from 0 to 1
	RampJitter      float64    // fraction of RecoveryRamp over which gateways spread the start of their ramps
	DrainTime       rules.Time // time in which the share of a draining zone falls from 1 to 0
	Damping         Damping
	Tiers           map[int][][]int // by zone: failover tiers, nearest first; zones not listed form the last tier
	SheddingEnabled bool
	Shedding        SheddingSettings
}

// Damping configures flap damping as in RFC 2439: a zone that flaps is not used until it has been stable.
type Damping struct {
	Penalty        float64    // added by each loss
	HalfLife       rules.Time // of the sum of penalties
	SuppressAbove  float64    // sum of penalties from which a zone stays lost even if it is healthy
	ReuseBelow     float64    // sum of penalties down to which a suppressed zone stays lost
	MaxSuppression rules.Time // longest suppression after the last penalty
}

// Defaults returns the settings that apply where the operator's file sets none.
func Defaults() Settings {
	return Settings{
		Overprovision: 1.4, PanicThreshold: 0.5, SpilloverLimit: 1, RetryBudget: 1, LostBelow: 0.3, RecoverAbove: 0.7, SettlingTime: 500 * rules.Millisecond,
		RecoveryRamp: 15 * rules.Second, RampJitter: 0.2, DrainTime: 10 * rules.Second,
		Damping:  Damping{Penalty: 1, HalfLife: 15 * rules.Second, SuppressAbove: 2.5, ReuseBelow: 0.75, MaxSuppression: 60 * rules.Second},
		Shedding: DefaultShedding(),
	}
}

// SettingsError reports invalid settings. Problem names them by their keys in the operator's file, and the allowed
// range.
type SettingsError struct{ Problem string }

// Error implements error.
func (e *SettingsError) Error() string { return e.Problem }

func settingsErrorf(format string, args ...any) error {
	return &SettingsError{fmt.Sprintf(format, args...)}
}

// Validate returns a *SettingsError for the first invalid setting, or nil.
func (s Settings) Validate() error {
	switch {
	case !(s.Overprovision >= 1 && s.Overprovision <= 10):
		return settingsErrorf("overprovision is %v, must be between 1 and 10", s.Overprovision)
	case !isFraction(s.PanicThreshold), !isFraction(s.SpilloverLimit), !isFraction(s.RampJitter), !isFraction(s.RetryBudget):
		return settingsErrorf("panic, spill, retries and jitter must be between 0 and 1")
	case !(s.LostBelow > 0 && s.LostBelow < s.RecoverAbove && s.RecoverAbove <= 1):
		return settingsErrorf("lost_below is %v and back_over %v, must be 0 < lost_below < back_over <= 1", s.LostBelow, s.RecoverAbove)
	case s.SettlingTime < 0, s.RecoveryRamp <= 0, s.DrainTime <= 0:
		return settingsErrorf("ramp and drain must be over 0, settle at least 0")
	case !(s.Damping.Penalty >= 0), s.Damping.HalfLife <= 0, s.Damping.MaxSuppression < 0:
		return settingsErrorf("damping: half_life must be over 0, penalty and longest at least 0")
	case !(s.Damping.ReuseBelow > 0 && s.Damping.ReuseBelow < s.Damping.SuppressAbove):
		return settingsErrorf("damping: reuse is %v and suppress %v, must be 0 < reuse < suppress", s.Damping.ReuseBelow, s.Damping.SuppressAbove)
	}
	for from, tiers := range s.Tiers {
		seen := []int{from}
		for _, tier := range tiers {
			for _, zone := range tier {
				if slices.Contains(seen, zone) {
					return settingsErrorf("tiers: a zone is named twice for zone %d, or is the zone itself", from)
				}
				seen = append(seen, zone)
			}
		}
	}
	return s.Shedding.validate()
}

// isFraction reports whether x is within 0 and 1. It is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }
