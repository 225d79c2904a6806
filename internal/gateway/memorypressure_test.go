package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/rules"
)

// pressureMB is the memory limit in the tests of this file.
const pressureMB = 100

// newPressedGateway returns a gateway without engines, so that requests wait, and with a memory limit of pressureMB.
func newPressedGateway(t *testing.T) *testGateway {
	return newTestGatewayWith(t, func(c *config.Config) { c.Limits.ProcessBytes = pressureMB << 20 })
}

// sample reports a resident memory in MB and returns the effects other than writes and log lines.
func (gw *testGateway) sample(residentMB int64) (effects []Effect) {
	gw.g.Step(gw.now, MemorySampled{ResidentBytes: residentMB << 20})
	for _, effect := range gw.g.Flush() {
		switch effect := effect.(type) {
		case *Write:
			gw.output[effect.Conn] = append(gw.output[effect.Conn], effect.Data...)
		case CollectMemory, LimitEventQueue, PauseAccepting, ReportMemory:
			effects = append(effects, effect)
		}
	}
	return effects
}

// names returns the types of effects.
func names(effects []Effect) string {
	var words []string
	for _, effect := range effects {
		words = append(words, strings.TrimPrefix(fmt.Sprintf("%T", effect), "gateway."))
	}
	return strings.Join(words, " ")
}

// Whatever takes the memory, the process must stay within its limit: near it, memory is collected and less input is
// taken, and as usual again below. Connections wait to be accepted for a bounded time only.
func TestHighMemoryLimitsInput(t *testing.T) {
	gw := newPressedGateway(t)
	for _, step := range []struct {
		after      rules.Time
		residentMB int64
		want       string
	}{
		{0, 70, ""},
		{0, 76, "ReportMemory"},
		{0, 86, "LimitEventQueue PauseAccepting CollectMemory"},
		{100 * rules.Millisecond, 86, ""},
		{300 * rules.Millisecond, 86, "PauseAccepting"},
		{200 * rules.Millisecond, 86, ""},
		{500 * rules.Millisecond, 86, "PauseAccepting CollectMemory"},
		{100 * rules.Millisecond, 60, "LimitEventQueue PauseAccepting"},
		{rules.Second, 60, ""},
		{0, 91, "ReportMemory LimitEventQueue PauseAccepting CollectMemory"},
	} {
		gw.now += step.after
		effects := gw.sample(step.residentMB)
		if got := names(effects); got != step.want {
			t.Errorf("%d MB after %v: %s, want %s", step.residentMB, step.after, got, step.want)
		}
		if limit, ok := effects, len(effects) > 0 && step.residentMB < 70; ok && limit[0] != (LimitEventQueue{Bytes: gw.g.limits.EventQueueBytes}) {
			t.Errorf("%+v below the level, want the whole queue", limit[0])
		}
	}
}

// As the last resort, requests that have not run are rejected, with a time to come back, those first that keep most; new
// ones are rejected too. None is left without its answer, and afterwards requests are accepted as before.
func TestCriticalMemoryRejectsWaitingRequests(t *testing.T) {
	const clients = 40
	gw := newPressedGateway(t)
	for i := range ConnID(clients) {
		gw.loginClient(i + 1)
		gw.takeOutput(i + 1)
		statement := "SELECT '" + strings.Repeat("x", 1000*int(i)) + "'"
		gw.receive(i+1, string(queryPacket(fmt.Sprintf("/* kind=point,req=%016x,timeout=2000 */ %s", i, statement))))
	}
	if n := len(gw.g.requests); n != clients {
		t.Fatalf("%d requests are open, want %d", n, clients)
	}
	gw.sample(92)
	rejected := 0
	for i := ConnID(1); i <= clients; i++ {
		if answer := gw.takeOutput(i); strings.Contains(answer, "refused") && strings.Contains(answer, "holdoff=") {
			rejected++
		} else if i == clients {
			t.Error("the request that keeps most was not rejected")
		}
	}
	if rejected != clients/shedFraction || len(gw.g.requests) != clients-rejected {
		t.Errorf("%d requests were rejected and %d are open, want %d rejected", rejected, len(gw.g.requests), clients/shedFraction)
	}
	gw.loginClient(99)
	gw.takeOutput(99)
	gw.receive(99, requestPacket("point", idA))
	if answer := gw.takeOutput(99); !strings.Contains(answer, "too much is open") {
		t.Errorf("a new request got %q", answer)
	}
	gw.sample(50)
	gw.receive(99, requestPacket("point", idA))
	if gw.g.requests[idA] == nil {
		t.Error("no request is accepted afterwards")
	}
	gw.advance(10 * rules.Second)
	if n := len(gw.g.requests); n != 0 {
		t.Errorf("%d requests got no answer", n)
	}
}

// A request that an engine may have run must not be rejected for lack of memory.
func TestCriticalMemoryKeepsRunningRequests(t *testing.T) {
	gw := newTestGatewayWith(t, func(c *config.Config) { c.Limits.ProcessBytes = pressureMB << 20 }, oneHost)
	gw.sendToEngine("load")
	gw.takeOutput(1)
	gw.sample(99)
	if answer := gw.takeOutput(1); len(answer) > 0 || gw.g.requests[idA] == nil {
		t.Errorf("a running request got %q", answer)
	}
}
