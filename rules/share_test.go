package rules

import "testing"

// An attempt cuts the share as soon as it is slow, before its outcome. An outcome whose load report has
// queries that wait for memory cuts it too. Good outcomes grow the share while it is used up.
func TestShareFollowsOutcomes(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Gateways = 4
	chk := startModule(t, settings, 1)
	chk.setFleetFraction(1)
	chk.submit(0, nil)
	chk.advance(400 * Millisecond)
	if chk.fleetFraction() >= 1 {
		t.Fatal("an attempt at four times its run time did not cut the share before its outcome")
	}
	before := chk.fleetFraction()
	chk.submit(0, nil)
	o := chk.pending()[1]
	o.Latency, o.Load = 90*Millisecond, map[string]float64{"queue": 2}
	chk.resolve(o, StatusOK)
	if chk.fleetFraction() >= before {
		t.Fatal("a load report with queries that wait for memory did not cut the share")
	}
	chk.setFleetFraction(0.25)
	for range 20 {
		chk.submit(0, nil)
	}
	for _, o := range chk.pending() {
		o.Latency = 90 * Millisecond
		chk.resolve(o, StatusOK)
	}
	if chk.fleetFraction() <= 0.25 {
		t.Fatal("the share did not grow though it was used up and outcomes were good")
	}
}

// The longer an attempt is slow, the more it cuts the share.
func TestLongerSlowAttemptCutsShareMore(t *testing.T) {
	shareAfter := func(slowdown Time) float64 {
		chk := startModule(t, basicSettings(interactive), 4)
		chk.setFleetFraction(2)
		chk.submit(0, func(r *Request) { r.Deadline = chk.now + 100*Second })
		o := chk.pending()[0]
		o.Latency = slowdown * 100 * Millisecond
		chk.resolve(o, StatusOK)
		return chk.module.share
	}
	if brief, long := shareAfter(2), shareAfter(8); long >= brief || brief >= 2 {
		t.Fatalf("an attempt with twice its run time cut a share of 2 to %.3f, one with eight times to %.3f",
			brief, long)
	}
}

// The share grows faster for some time after the start of a gateway, which has to learn quickly that it
// may use the capacity that the others leave free.
func TestShareGrowsFasterAfterAStart(t *testing.T) {
	growth := func(age Time) float64 {
		settings := basicSettings(interactive)
		settings.Gateways = 3
		chk := startModule(t, settings, 3)
		chk.module.startedAt = chk.now - age
		for range 40 {
			chk.submit(0, nil)
		}
		before := chk.fleetFraction()
		for _, o := range chk.pending() {
			o.Latency = 90 * Millisecond
			chk.resolve(o, StatusOK)
		}
		return chk.fleetFraction() - before
	}
	if young, old := growth(0), growth(60*Second); old <= 0 || young < 3*old {
		t.Fatalf("the share grew by %.4f after the start and by %.4f a minute later", young, old)
	}
}
