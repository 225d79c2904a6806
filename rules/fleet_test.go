package rules

import "testing"

// After a failed poll the previous endpoint list stays valid, and the gateway subscribes to the list again.
func TestFailedPollKeepsPreviousList(t *testing.T) {
	settings := basicSettings(interactive)
	settings.PullMembership = true
	chk := startModule(t, settings, 1)
	subscriptions := 0
	chk.observe = func(a Action) {
		if a, ok := a.(Subscribe); ok && a.On {
			subscriptions++
		}
	}
	chk.handle(FleetUpdate{Mode: UpdateFailed})
	if id := chk.submit(0, nil); chk.attemptCount(id) != 1 {
		t.Fatal("the engines were lost after a failed poll")
	}
	chk.advance(2 * Second)
	if subscriptions == 0 {
		t.Fatal("the gateway did not subscribe to the list again")
	}
}
