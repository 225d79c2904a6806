package rules

import "testing"

// A request without an estimate, of a class that earns nothing late, is tried on engines that are idle before it is
// judged by what was never measured.
func TestNoEstimateIsTriedOnIdleEngines(t *testing.T) {
	point := Class{LatencyObjective: 200 * Millisecond, ClientTimeout: 1500 * Millisecond, PriorityWeight: 1, Threads: 1}
	f := startModule(t, basicSettings(point), 3)
	f.work[0] = float64(5 * Millisecond)
	for i := range 20 {
		id := f.submit(0, func(r *Request) { r.HasEstimate, r.EstimatedWork = false, 0 })
		f.advance(10 * Millisecond)
		if f.attempts(id) == 0 {
			t.Fatalf("request %d is not sent though all engines are idle", i)
		}
		for _, o := range f.pending() {
			f.resolve(o, StatusOK)
		}
	}
	f.verify("without an estimate")
}
