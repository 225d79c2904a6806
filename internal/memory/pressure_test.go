package memory

import "testing"

// A level begins at its fraction of the limit and ends only clearly below it, so that samples around one do not make it
// begin again and again.
func TestPressureLevels(t *testing.T) {
	p := Pressure{Limit: 1000}
	for _, step := range []struct {
		resident int64
		want     Level
	}{{749, Normal}, {750, Elevated}, {849, Elevated}, {850, High}, {830, High}, {819, Elevated}, {950, Critical}, {880, Critical}, {869, High}, {100, Normal}, {2000, Critical}, {0, Normal}} {
		if p.Observe(step.resident); p.Level() != step.want {
			t.Errorf("%v at %d of 1000, want %v", p.Level(), step.resident, step.want)
		}
	}
	if got := p.Excess(950); got != 100 {
		t.Errorf("excess %d of 950, want 100", got)
	}
	unlimited := Pressure{}
	if unlimited.Observe(1 << 40); unlimited.Level() != Normal {
		t.Errorf("%v without a limit", unlimited.Level())
	}
}

// Each holder has its size now and its highest since the last report.
func TestHoldersKeepPeaks(t *testing.T) {
	var h Holders
	h.Set(Timers, 100)
	h.Set(Timers, 30)
	h.Set(Clients, 7)
	if got := h.All()[Timers]; got != (Holding{Timers, 30, 100}) || h.TotalPeak() != 107 {
		t.Errorf("%+v, %d in all", got, h.TotalPeak())
	}
	h.ResetPeaks()
	if got := h.All()[Timers]; got.Peak != 30 {
		t.Errorf("peak %d after a report, want 30", got.Peak)
	}
}
