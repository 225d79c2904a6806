package harness

import (
	"testing"
)

// The harness must count a gateway as notified of a drain whichever serial number the list has: the serial numbers
// restart with each start of a gateway, and a late answer may carry a list from before that with its old number.
func TestDrainNotificationAfterSerialRestart(t *testing.T) {
	fleet := `
zone "hall-a" {
  gateways = 2
  engines  = 4
}
cores  = 8
load   = 0.4
length = "7s"
` +
		fault("retire", `of = "hall-a/e0"`, `at = "200ms"`, `for = "300ms"`)
	restarted := fault("retire", `of = "hall-a/e1"`, `at = "1s"`, `for = "300ms"`) +
		fault("kill", `of = "gateways"`, `at = "2s"`, `for = "200ms"`)
	for name, faults := range map[string]string{
		"a list of the previous incarnation, then a drain": restarted + fault("lists", `of = "gateways"`, `text = "earlier"`, `factor = 1`, `at = "2700ms"`, `for = "150ms"`) +
			fault("retire", `of = "hall-a/e2"`, `at = "3300ms"`, `for = "3s"`),
		"a drain, then a list of the previous incarnation": restarted + fault("retire", `of = "hall-a/e2"`, `at = "3s"`, `for = "3s"`) +
			fault("lists", `of = "gateways"`, `text = "earlier"`, `factor = 1`, `at = "3500ms"`, `for = "150ms"`),
		"serial numbers that restart while the gateway runs": fault("lists", `of = "gateways"`, `text = "anew"`, `at = "2s"`) +
			fault("retire", `of = "hall-a/e2"`, `at = "2600ms"`, `for = "3s"`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := playScript(t, fleet+faults)
			if report.Attempts < 100 {
				t.Errorf("%d attempts at engines, want at least 100: too few for the test to be meaningful", report.Attempts)
			}
		})
	}
}
