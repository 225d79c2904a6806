package rules

import "testing"

// A request without an estimate, of a class that earns nothing late, is tried on engines that are idle before it is
// judged by what was never measured.
func TestNoEstimateIsTriedOnIdleEngines(t *testing.T) {
	point := Class{Aim: 200 * Millisecond, GiveUp: 1500 * Millisecond, Worth: 1, Threads: 1}
	f := site(t, plain(point), 3)
	f.usual[0] = float64(5 * Millisecond)
	for i := range 20 {
		id := f.ask(0, func(r *Request) { r.HasWork, r.Work = false, 0 })
		f.advance(10 * Millisecond)
		if f.sent(id) == 0 {
			t.Fatalf("request %d is not sent though all engines are idle", i)
		}
		for _, o := range f.pending() {
			f.resolve(o, VerdictOK)
		}
	}
	f.check("without an estimate")
}
