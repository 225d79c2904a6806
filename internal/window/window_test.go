package window

import (
	"testing"

	"pgregory.net/rapid"

	"foxlane/rules"
)

// Whatever is added when: nothing of the last span is missing, nothing older than a span and a step counts.
func TestSumCoversItsSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Sum{Span: rules.Second}
		type added struct {
			at rules.Time
			x  float64
		}
		var all []added
		now := rules.Time(rapid.IntRange(0, 1e12).Draw(t, "start"))
		for range rapid.IntRange(1, 50).Draw(t, "n") {
			now += rules.Time(rapid.IntRange(0, 700_000).Draw(t, "gap"))
			x := float64(rapid.IntRange(0, 9).Draw(t, "x"))
			s.Add(now, x)
			all = append(all, added{now, x})
			least, most := 0.0, 0.0
			for _, a := range all {
				if now-a.at < rules.Second {
					least += a.x
				}
				if now-a.at <= rules.Second+rules.Second/bucketCount {
					most += a.x
				}
			}
			if got := s.Total(now); got < least || got > most {
				t.Fatalf("%v within the span, %v to %v were added", got, least, most)
			}
		}
	})
}
