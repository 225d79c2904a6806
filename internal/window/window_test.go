package window

import (
	"testing"

	"pgregory.net/rapid"

	"foxlane/rules"
)

// For random additions, the total includes everything added within the last span and nothing older than a span and a
// bucket.
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
			lower, upper := 0.0, 0.0
			for _, a := range all {
				if now-a.at < rules.Second {
					lower += a.x
				}
				if now-a.at <= rules.Second+rules.Second/bucketCount {
					upper += a.x
				}
			}
			if got := s.Total(now); got < lower || got > upper {
				t.Fatalf("total %v, want %v to %v", got, lower, upper)
			}
		}
	})
}
