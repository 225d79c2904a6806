package rules

import "testing"

// A slow attempt cuts the share as soon as it is slow, and a report of queries that wait for memory does so
// with any outcome. Good outcomes let it grow while it is used up.
func TestShareFollowsOutcomes(t *testing.T) {
	s := basicSettings(interactive)
	s.Gateways = 4
	chk := startModule(t, s, 1)
	chk.setShare(1)
	chk.submit(0, nil)
	chk.advance(400 * Millisecond)
	if chk.fleetFraction() >= 1 {
		t.Fatal("an attempt at four times its run time did not count before its outcome")
	}
	before := chk.fleetFraction()
	chk.submit(0, nil)
	o := chk.pending()[1]
	o.Latency, o.Load = 90*Millisecond, map[string]float64{"queue": 2}
	chk.resolve(o, StatusOK)
	if chk.fleetFraction() >= before {
		t.Fatal("queries that wait for memory did not cut the share")
	}
	chk.setShare(0.25)
	for range 20 {
		chk.submit(0, nil)
	}
	for _, o := range chk.pending() {
		o.Latency = 90 * Millisecond
		chk.resolve(o, StatusOK)
	}
	if chk.fleetFraction() <= 0.25 {
		t.Fatal("the share did not grow though outcomes were good and it was used up")
	}
}

// An attempt that goes on being slow cuts the share further than one that was slow for a moment.
func TestSlowForLongCutsMore(t *testing.T) {
	cut := func(times Time) float64 {
		chk := startModule(t, basicSettings(interactive), 4)
		chk.setShare(2)
		chk.submit(0, func(r *Request) { r.Deadline = chk.now + 100*Second })
		o := chk.pending()[0]
		o.Latency = times * 100 * Millisecond
		chk.resolve(o, StatusOK)
		return chk.module.share
	}
	if brief, long := cut(2), cut(8); long >= brief || brief >= 2 {
		t.Fatalf("a share of 2 became %.3f by an attempt at twice its time, %.3f at eight times", brief, long)
	}
}

// The share grows faster after a start, not for good: a gateway that is back has to learn quickly that it may
// use what others left free.
func TestShareGrowsFasterAfterAStart(t *testing.T) {
	grown := func(age Time) float64 {
		s := basicSettings(interactive)
		s.Gateways = 3
		chk := startModule(t, s, 3)
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
	if young, old := grown(0), grown(60*Second); old <= 0 || young < 3*old {
		t.Fatalf("grew by %.4f after a start and by %.4f a minute later", young, old)
	}
}
