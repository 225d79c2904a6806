package emulator

import (
	"math"

	"foxlane/rules"
)

// This file models the clients: their arrival process, their choice of a gateway and their retries.

// clientRequest is a client's request, over all of its tries.
type clientRequest struct {
	class        int
	startedAt    rules.Time
	deadline     rules.Time
	work         float64
	declaredWork float64
	dataSet      int
	tries        int
	done         bool // the client has received its result
}

// dataSets is the number of data sets, of which each request uses one.
const dataSets = 40

// interarrival draws the exponentially distributed time until the next new request.
func (f *Fleet) interarrival() rules.Time {
	return max(1, rules.Time(f.rng.ExpFloat64()/f.requestRate))
}

// newClientRequest draws and sends a new client request, and schedules the next one.
func (f *Fleet) newClientRequest() {
	f.after(f.interarrival(), f.newClientRequest)
	class := f.drawClass()
	model, c := f.scenario.Classes[class], f.scenario.Settings.Classes[class]
	sigma := math.Sqrt(math.Log(1 + model.CV*model.CV))
	work := float64(model.Work) * math.Exp(f.rng.NormFloat64()*sigma-sigma*sigma/2)
	r := &clientRequest{class: class, startedAt: f.now, deadline: f.now + c.ClientTimeout, work: work,
		declaredWork: work * math.Exp(f.rng.NormFloat64()*model.DeclaredNoise), dataSet: f.rng.IntN(dataSets)}
	if model.DeclaredRatio > 0 {
		r.declaredWork *= model.DeclaredRatio
	}
	f.Metrics.recordRequest(r, c)
	f.send(r)
}

// drawClass draws a class index, weighted by the classes' shares of the requests.
func (f *Fleet) drawClass() (class int) {
	total := 0.0
	for _, c := range f.scenario.Classes {
		total += c.Share
	}
	drawn := f.rng.Float64() * total
	for i, c := range f.scenario.Classes {
		if class = i; drawn < c.Share {
			break
		}
		drawn -= c.Share
	}
	return class
}

// pickGateway draws the gateway that a client connects to, weighted by load. It returns nil if no gateway accepts
// requests.
func (f *Fleet) pickGateway() *gateway {
	total := 0.0
	for i, g := range f.gateways {
		if g.up && !g.stopping {
			total += f.gatewayWeights[i]
		}
	}
	drawn := f.rng.Float64() * total
	for i, g := range f.gateways {
		if !g.up || g.stopping {
			continue
		}
		if drawn < f.gatewayWeights[i] {
			return g
		}
		drawn -= f.gatewayWeights[i]
	}
	return nil
}

// send sends one try of a request to a gateway. Without an available gateway it schedules a retry.
func (f *Fleet) send(r *clientRequest) {
	g := f.pickGateway()
	if g == nil {
		f.retry(r, 0)
		return
	}
	r.tries++
	f.after(f.scenario.Network.Client, func() { g.receive(r) })
}

// retry schedules a client's next try after a random backoff, if it has tries and time left. With probability
// HonorRetryAfter the client waits for retryAfter instead; 0 means that the gateway named none.
func (f *Fleet) retry(r *clientRequest, retryAfter rules.Time) {
	c := f.scenario.Clients
	if r.done || r.tries >= c.MaxTries {
		return
	}
	wait := rules.Time(f.rng.ExpFloat64() * float64(c.Backoff))
	if retryAfter > 0 && f.rng.Float64() < c.HonorRetryAfter {
		wait = retryAfter
	}
	if f.now+wait < r.deadline {
		f.after(wait, func() { f.send(r) })
	}
}
