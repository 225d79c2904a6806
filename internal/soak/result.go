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
	Pauses                                 int // of the harness process itself
	LongestPause                           time.Duration
	FaultKinds                             map[string]int // number of faults, by kind
	Failed                                 []Failure
	SlowestDrain                           time.Duration
	PeakFraction                           float64  // highest resident peak of a process over its memory limit
	LargeFleets                            int      // seeds with at least minLargeFleet gateways
	Incomplete                             []string // seeds that did not run to completion, each with its error
	Detections                             []Detection
}

// Failure is a seed with violations.
type Failure struct {
	Schedule   Schedule
	Violations []string
	LogDir     string
	Shrunk     *Schedule // the smallest schedule found that still fails; nil: not shrunk, or no smaller one failed
}

// Detection is the outcome of the search for one planted defect.
type Detection struct {
	Defect   string
	SeedsRun int    // up to and including the one that detected it
	Evidence string // the first violation, or the last error of a seed
	Detected bool
}

// add adds the outcome of a seed and prints it if the seed failed. Calls must be serialized by the caller.
func (r *Result) add(ctx context.Context, o *Options, schedule *Schedule, report *harness.Report, logDir string, err error) {
	if ctx.Err() != nil {
		return // an interrupted seed has no outcome
	}
	r.Seeds++
	r.Faults += len(schedule.Script.Faults)
	for _, f := range schedule.Script.Faults {
		r.FaultKinds[f.Kind]++
	}
	if schedule.Overlapping() {
		r.Overlapping++
	}
	if schedule.gatewayCount() >= minLargeFleet {
		r.LargeFleets++
	}
	r.addReport(report)
	switch {
	case err != nil:
		r.Incomplete = append(r.Incomplete, fmt.Sprintf("seed %d: %v", schedule.Seed, err))
		o.printf("NOT COMPLETED: %v\n%slogs in %s\n", err, schedule, logDir)
	case len(report.Violations) > 0:
		r.Failed = append(r.Failed, Failure{Schedule: *schedule, Violations: report.Violations, LogDir: logDir})
		o.printf("FAILED %s", schedule)
		for _, violation := range firstOfEachKind(report.Violations) {
			o.printf("    %s\n", violation)
		}
		o.printf("    rerun: foxlab soak%s --seeds 1 --first %d --processes %d --for %v; logs in %s\n", o.variantFlag(), schedule.Seed, o.Processes, o.Duration, logDir)
	default:
		if logDir != "" {
			_ = os.RemoveAll(logDir) // leftover logs only take space
		}
	}
}

// variantFlag returns the flag that selects the kind of schedules.
func (o *Options) variantFlag() string {
	if o.Starved {
		return " --starved"
	}
	return ""
}

// firstOfEachKind returns the first two violations of each kind. Their texts have the kind after the time.
func firstOfEachKind(violations []string) (first []string) {
	const perKind = 2
	counts := map[string]int{}
	for _, violation := range violations {
		_, text, _ := strings.Cut(violation, ": ")
		kind, _, _ := strings.Cut(text, ":")
		if counts[kind]++; counts[kind] <= perKind {
			first = append(first, violation)
		}
	}
	return first
}

// addReport adds the figures of a seed's report. It ignores a nil report: the fleet did not start.
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
	r.PeakFraction = max(r.PeakFraction, report.PeakFraction)
	for kind, n := range report.ViolationCounts {
		r.ViolationCounts[harness.ViolationKind(kind)] += n
	}
}

// TotalViolations returns the number of violations of all kinds.
func (r *Result) TotalViolations() (n int) {
	for _, count := range r.ViolationCounts {
		n += count
	}
	return n
}

// DefectsFound returns the number of planted defects that were detected.
func (r *Result) DefectsFound() (n int) {
	for _, d := range r.Detections {
		if d.Detected {
			n++
		}
	}
	return n
}

// Write prints each figure on a line of its own, as `name: value`.
func (r *Result) Write(w io.Writer) error {
	var out strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&out, "%s: %v\n", name, value) }
	counts := func(kinds ...harness.ViolationKind) {
		for _, kind := range kinds {
			line(kind.String(), r.ViolationCounts[kind])
		}
	}
	for _, d := range r.Detections {
		line("planted_"+d.Defect+"_seeds", d.SeedsRun)
	}
	for _, kind := range slices.Sorted(maps.Keys(r.FaultKinds)) {
		line("fault_"+kind, r.FaultKinds[kind])
	}
	line("seeds", r.Seeds)
	line("seeds_failed", len(r.Failed))
	line("seeds_not_played", len(r.Incomplete))
	line("requests", r.Requests)
	line("kept_results", r.StoredResults)
	line("faults", r.Faults)
	line("overlapping", r.Overlapping)
	line("violations", r.TotalViolations())
	counts(harness.LostRequest, harness.DuplicateExecution)
	line("late", r.LateResponses)
	counts(harness.SentAfterDisconnect, harness.PastDeadline, harness.SentWhileDraining, harness.SlowStartExceeded, harness.WrongResponse,
		harness.OrderViolated, harness.WrongZone, harness.RetryBudgetExceeded, harness.InvariantBroken, harness.Crashed, harness.NotReady, harness.MemoryExceeded)
	line("memory_peak_fraction", fmt.Sprintf("%.2f", r.PeakFraction))
	line("crowds", r.LargeFleets)
	line("drain_slowest_ms", r.SlowestDrain.Milliseconds())
	line("rig_pauses", r.Pauses)
	line("rig_longest_pause_ms", r.LongestPause.Milliseconds())
	line("planted", len(r.Detections))
	line("planted_found", r.DefectsFound())
	_, err := io.WriteString(w, out.String())
	return err
}
