package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"foxlane/internal/harness"
)

// Result is the outcome of a soak.
type Result struct {
	Seeds, Overlapping, Faults             int
	Requests, LateResponses, StoredResults int
	ViolationCounts                        map[harness.ViolationKind]int
	Pauses                                 int // of the harness itself
	LongestPause                           time.Duration
	FaultKinds                             map[string]int // faults played, by kind
	Failed                                 []Failure
	SlowestDrain                           time.Duration
	LargeFleets                            int      // seeds with minLargeFleet processes or more
	NotPlayed                              []string // seeds that could not be played to their end, and why
	Detections                             []Detection
}

// Failure is a seed with violations.
type Failure struct {
	Schedule   Schedule
	Violations []string
	Logs       string
	Shrunk     *Schedule // with the fewest faults that still fail; nil: it was not shrunk, or never failed again
}

// Detection is the outcome of the search for a planted defect.
type Detection struct {
	Defect      string
	SeedsPlayed int // until it was detected, or in vain
	Evidence    string
	Detected    bool
}

// add adds the outcome of a seed, and prints it if it failed. The caller holds a lock.
func (r *Result) add(ctx context.Context, o *Options, s *Schedule, report *harness.Report, logs string, err error) {
	if ctx.Err() != nil {
		return // the seed was interrupted
	}
	r.Seeds++
	r.Faults += len(s.Script.Faults)
	for _, f := range s.Script.Faults {
		r.FaultKinds[f.Kind]++
	}
	if s.Overlapping() {
		r.Overlapping++
	}
	if s.processes() >= minLargeFleet {
		r.LargeFleets++
	}
	r.addReport(report)
	switch {
	case err != nil:
		r.NotPlayed = append(r.NotPlayed, fmt.Sprintf("seed %d: %v", s.Seed, err))
		o.printf("NOT PLAYED to its end: %v\n%slogs in %s\n", err, s, logs)
	case len(report.Violations) > 0:
		r.Failed = append(r.Failed, Failure{Schedule: *s, Violations: report.Violations, Logs: logs})
		o.printf("FAILED %s", s)
		for _, violation := range report.Violations[:min(len(report.Violations), 6)] {
			o.printf("    %s\n", violation)
		}
		o.printf("    again: foxlab soak --seeds 1 --first %d --processes %d --for %v; logs in %s\n", s.Seed, o.Processes, o.Length, logs)
	default:
		if logs != "" {
			_ = os.RemoveAll(logs) // logs that stay are only in the way
		}
	}
}

// addReport adds the figures of a seed's report, which is nil if the fleet did not start.
func (r *Result) addReport(report *harness.Report) {
	if report == nil {
		return
	}
	r.Requests += report.ClientAttempts
	r.LateResponses += report.LateResponses
	r.StoredResults += report.StoredResults
	r.Pauses += report.Pauses
	r.LongestPause = max(r.LongestPause, report.LongestPause)
	r.SlowestDrain = max(r.SlowestDrain, report.SlowestDrain)
	for kind, n := range report.ViolationCounts {
		r.ViolationCounts[harness.ViolationKind(kind)] += n
	}
}

// TotalViolations is the number of violations of all kinds.
func (r *Result) TotalViolations() (n int) {
	for _, count := range r.ViolationCounts {
		n += count
	}
	return n
}

// DefectsFound is the number of planted defects that were detected.
func (r *Result) DefectsFound() (n int) {
	for _, d := range r.Detections {
		if d.Detected {
			n++
		}
	}
	return n
}

// Write prints the figures, a line `name: value` each.
func (r *Result) Write(w io.Writer) error {
	var out strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&out, "%s: %v\n", name, value) }
	counts := func(kinds ...harness.ViolationKind) {
		for _, kind := range kinds {
			line(kind.String(), r.ViolationCounts[kind])
		}
	}
	for _, d := range r.Detections {
		line("planted_"+d.Defect+"_seeds", d.SeedsPlayed)
	}
	for _, kind := range slices.Sorted(maps.Keys(r.FaultKinds)) {
		line("fault_"+kind, r.FaultKinds[kind])
	}
	line("seeds", r.Seeds)
	line("seeds_failed", len(r.Failed))
	line("seeds_not_played", len(r.NotPlayed))
	line("requests", r.Requests)
	line("kept_results", r.StoredResults)
	line("faults", r.Faults)
	line("overlapping", r.Overlapping)
	line("violations", r.TotalViolations())
	counts(harness.LostRequest, harness.DuplicateExecution)
	line("late", r.LateResponses)
	counts(harness.SentAfterDisconnect, harness.PastDeadline, harness.SentWhileDraining, harness.SlowStartExceeded, harness.WrongResponse,
		harness.OrderViolated, harness.WrongZone, harness.RetryBudgetExceeded, harness.InvariantBroken, harness.Crashed, harness.NotReady)
	line("crowds", r.LargeFleets)
	line("drain_slowest_ms", r.SlowestDrain.Milliseconds())
	line("rig_pauses", r.Pauses)
	line("rig_longest_pause_ms", r.LongestPause.Milliseconds())
	line("planted", len(r.Detections))
	line("planted_found", r.DefectsFound())
	_, err := io.WriteString(w, out.String())
	return err
}
