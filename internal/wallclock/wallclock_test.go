package wallclock

import (
	"testing"

	"pgregory.net/rapid"

	"foxlane/rules"
)

const hour = 3600 * rules.Second

func TestProcessTime(t *testing.T) {
	const now = 1000 * hour
	for name, c := range map[string]struct {
		skews       []rules.Time
		stamp, want rules.Time
	}{
		"no step":                        {nil, now - 5*rules.Second, now - 5*rules.Second},
		"slewed":                         {[]rules.Time{90 * rules.Millisecond}, now - 5*rules.Second, now - 5*rules.Second},
		"stamped after a step forward":   {[]rules.Time{hour}, now + hour - 2*rules.Second, now - 2*rules.Second},
		"stamped before a step forward":  {[]rules.Time{hour}, now - 2*rules.Second, now - 2*rules.Second},
		"stamped after a step back":      {[]rules.Time{-hour}, now - hour - 2*rules.Second, now - 2*rules.Second},
		"stamped before a step back":     {[]rules.Time{-hour}, now - 2*rules.Second, now - 2*rules.Second},
		"stepped and stepped back again": {[]rules.Time{hour, 0}, now + hour - rules.Second, now - rules.Second},
		"a clock that is ahead":          {nil, now + hour, now},
	} {
		var s Steps
		for _, skew := range c.skews {
			s.Note(skew)
		}
		if got := s.ProcessTime(c.stamp, now); got != c.want {
			t.Errorf("%s: %v after now, want %v", name, got-now, c.want-now)
		}
	}
}

// For random steps and timestamps, an engine is never taken to be older than it is.
func TestNeverOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Steps
		now, began, skew, stamp := 1000*hour, rules.Time(0), rules.Time(0), rules.Time(0)
		started := rapid.IntRange(0, 5).Draw(t, "started before step")
		for i := range 6 {
			if i == started {
				began, stamp = now, now+skew
			}
			now += rules.Time(rapid.Int64Range(1, int64(10*rules.Second)).Draw(t, "passes"))
			skew += rules.Time(rapid.Int64Range(-int64(2*hour), int64(2*hour)).Draw(t, "step"))
			s.Note(skew)
		}
		if got := s.ProcessTime(stamp, now); got < began-6*minStep {
			t.Fatalf("taken to be %v older than it is", began-got)
		}
	})
}
