package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"foxlane/internal/faultgateway"
	"foxlane/internal/harness"
)

// TestMain runs the fault gateway where the test's own program is started as one.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "double" {
		site := ""
		if i := slices.Index(os.Args, "--site"); i > 0 {
			site = os.Args[i+1]
		}
		if err := faultgateway.Serve(site); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

func testOptions(t *testing.T) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Process: harness.Process{Program: self, Args: []string{"double"}, AcceptsCommands: true}, First: 1, Length: 4 * time.Second, Processes: 4,
		Parallel: 2, Logs: t.TempDir(), Progress: testLog{t}}
}

type testLog struct{ t *testing.T }

func (l testLog) Write(p []byte) (int, error) { l.t.Log(string(p)); return len(p), nil }

// A few seeds, with faults that overlap, have no violations.
func TestSeeds(t *testing.T) {
	o := testOptions(t)
	o.Seeds = 10
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Seeds != o.Seeds || len(r.Failed)+len(r.NotPlayed) > 0 || r.TotalViolations() > 0 {
		t.Errorf("%d seeds played, %d failed, not played: %v, violations %v", r.Seeds, len(r.Failed), r.NotPlayed, r.ViolationCounts)
	}
	if r.Requests < 200 || r.Overlapping == 0 {
		t.Errorf("%d requests, %d seeds with faults that overlap: the test does not test what it should", r.Requests, r.Overlapping)
	}
}

// Planted defects are detected.
func TestDefectsAreDetected(t *testing.T) {
	o := testOptions(t)
	o.DefectSeeds, o.Defects = 3, []string{faultgateway.DefectNonIdempotentTwice, faultgateway.DefectClosedWithoutResponse, faultgateway.DefectResponseLate, faultgateway.DefectListIgnoredAtStart}
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.DefectsFound() != len(o.Defects) {
		t.Errorf("found %+v", r.Detections)
	}
}

// A seed always gives the same schedule, seeds differ, and each fault ends within its run.
func TestNewSchedule(t *testing.T) {
	kinds := map[string]bool{}
	overlapping := 0
	for seed := range uint64(400) {
		a, b := NewSchedule(seed, 10, 5*time.Second), NewSchedule(seed, 10, 5*time.Second)
		if a.String() != b.String() {
			t.Fatalf("seed %d is drawn differently:\n%s%s", seed, &a, &b)
		}
		if a.Overlapping() {
			overlapping++
		}
		for _, f := range a.Script.Faults {
			kinds[f.Kind] = true
			if f.At < 0 || f.For <= 0 || f.At+f.For > 5*time.Second {
				t.Fatalf("seed %d: %v for %v", seed, f.At, f.For)
			}
		}
	}
	if len(kinds) < 20 || overlapping < 350 {
		t.Errorf("%d kinds of faults, %d of 400 seeds with some that overlap", len(kinds), overlapping)
	}
}

// An interrupted soak ends soon, without its last seeds.
func TestInterrupted(t *testing.T) {
	o := testOptions(t)
	o.Seeds = 1000
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	begin := time.Now()
	r, err := Run(ctx, o)
	if err == nil || r.Seeds >= o.Seeds {
		t.Errorf("%v, %d seeds", err, r.Seeds)
	}
	if took := time.Since(begin); took > 25*time.Second {
		t.Errorf("ended after %v", took)
	}
}
