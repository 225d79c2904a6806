package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"foxlane/internal/faultgateway"
	"foxlane/internal/harness"
)

// Options say what is played.
type Options struct {
	Process     harness.Process // the test double
	Seeds       int             // how many
	First       uint64          // the first one
	Length      time.Duration   // of each, without its start and end
	Processes   int             // gateways of each
	Parallel    int             // seeds at once
	Shrink      int             // runs that a failing seed is shrunk by, at most; 0: none
	DefectSeeds int             // seeds that each planted defect is looked for with, at most; 0: none are planted
	Defects     []string        // defects to plant; nil: all
	Logs        string          // folder for the logs of failing seeds
	Progress    io.Writer
}

// Result is what came of a soak.
type Result struct {
	Seeds, Overlapping, Faults             int
	Requests, LateResponses, StoredResults int
	ViolationCounts                        map[harness.ViolationKind]int
	Pauses                                 int // of the rig itself
	LongestPause                           time.Duration
	FaultKinds                             map[string]int // troubles played, by kind
	Failed                                 []Failure
	SlowestDrain                           time.Duration
	LargeFleets                            int      // seeds with twenty processes or more
	NotPlayed                              []string // seeds that could not be played to their end, and why
	Detections                             []Detection
}

// Failure is a seed in which something was violated.
type Failure struct {
	Schedule   Schedule
	Violations []string
	Logs       string
	Shrunk     *Schedule // with the fewest troubles that still fail; nil: it was not shrunk, or never failed again
}

// Detection is what became of a planted defect.
type Detection struct {
	Defect      string
	SeedsPlayed int // that were played until it was found
	Evidence    string
	Detected    bool
}

const (
	maxSeeds     = 100_000
	maxProcesses = 40
	seedSlack    = 90 * time.Second // for start and end of one seed
)

func (o *Options) validate() error {
	switch {
	case o.Seeds < 0 || o.Seeds > maxSeeds:
		return fmt.Errorf("soak: %d seeds, 0 to %d are possible", o.Seeds, maxSeeds)
	case o.Processes < 2 || o.Processes > maxProcesses:
		return fmt.Errorf("soak: %d processes, 2 to %d are possible", o.Processes, maxProcesses)
	case o.Length < 3*time.Second || o.Length > time.Minute:
		return fmt.Errorf("soak: a length of %v, 3 s to a minute are possible", o.Length)
	case o.Parallel < 1 || o.Parallel*max(o.Processes, o.maxFleet()) > 200:
		return fmt.Errorf("soak: %d seeds at once with up to %d processes each; 200 processes at most", o.Parallel, max(o.Processes, o.maxFleet()))
	}
	return nil
}

// maxFleet is how many processes a seed may have.
func (o *Options) maxFleet() int {
	if o.Processes >= largeFleetFrom {
		return maxLargeFleet
	}
	return o.Processes
}

// Run plays all seeds, then looks for planted defects. It returns what it has when the context ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	r := &Result{ViolationCounts: map[harness.ViolationKind]int{}, FaultKinds: map[string]int{}}
	var mu sync.Mutex
	next := make(chan uint64)
	var players sync.WaitGroup
	for range o.Parallel {
		players.Go(func() {
			for seed := range next {
				s := NewSchedule(seed, o.Processes, o.Length)
				report, logs, err := o.play(ctx, &s, "")
				mu.Lock()
				r.add(ctx, &o, &s, report, logs, err)
				mu.Unlock()
			}
		})
	}
	for i := range o.Seeds {
		if ctx.Err() != nil {
			break
		}
		next <- o.First + uint64(i)
	}
	close(next)
	players.Wait()
	o.shrinkAll(ctx, r)
	o.detectDefects(ctx, r)
	return r, ctx.Err()
}

// add takes in what came of a seed.
func (r *Result) add(ctx context.Context, o *Options, s *Schedule, report *harness.Report, logs string, err error) {
	if ctx.Err() != nil {
		return // it was cut short
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
	if report != nil {
		r.Requests += report.ClientAttempts
		r.LateResponses += report.LateResponses
		r.StoredResults += report.StoredResults
		r.Pauses += report.Pauses
		r.LongestPause = max(r.LongestPause, report.LongestPause)
		r.SlowestDrain = max(r.SlowestDrain, report.SlowestDrain)
		for v, n := range report.ViolationCounts {
			r.ViolationCounts[harness.ViolationKind(v)] += n
		}
	}
	switch {
	case err != nil:
		r.NotPlayed = append(r.NotPlayed, fmt.Sprintf("seed %d: %v", s.Seed, err))
		fmt.Fprintf(o.Progress, "NOT PLAYED to its end: %v\n%slogs in %s\n", err, s, logs)
	case len(report.Violations) > 0:
		r.Failed = append(r.Failed, Failure{Schedule: *s, Violations: report.Violations, Logs: logs})
		fmt.Fprintf(o.Progress, "FAILED %s", s)
		for _, x := range report.Violations[:min(len(report.Violations), 6)] {
			fmt.Fprintln(o.Progress, "   ", x)
		}
		fmt.Fprintf(o.Progress, "    again: foxlab soak --seeds 1 --first %d --processes %d --for %v; logs in %s\n", s.Seed, o.Processes, o.Length, logs)
	default:
		if logs != "" {
			os.RemoveAll(logs)
		}
	}
}

// play plays one schedule, with a defect planted if one is named. Logs is the folder of its logs, if any are kept.
func (o *Options) play(ctx context.Context, s *Schedule, defect string) (report *harness.Report, logs string, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.Length+seedSlack)
	defer cancel()
	if o.Logs != "" && defect == "" {
		logs = filepath.Join(o.Logs, fmt.Sprintf("seed-%d", s.Seed))
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return nil, "", err
		}
	}
	p := o.Process
	if defect != "" {
		p.Env = append(append([]string{}, p.Env...), faultgateway.EnvDefect+"="+defect)
	}
	report, err = harness.RunProcess(ctx, p, s.Script, logs)
	return report, logs, err
}

// fails answers whether a schedule is violated when it is played.
func (o *Options) fails(ctx context.Context, s *Schedule) bool {
	quiet := *o
	quiet.Logs = ""
	report, _, err := quiet.play(ctx, s, "")
	return err == nil && len(report.Violations) > 0
}

// shrinkAll looks for the fewest troubles with which failing seeds still fail.
func (o *Options) shrinkAll(ctx context.Context, r *Result) {
	for i := range r.Failed {
		left := o.Shrink
		f := &r.Failed[i]
		smallest := f.Schedule
		for at := 0; at < len(smallest.Script.Faults) && left > 0 && ctx.Err() == nil; left-- {
			smaller := smallest
			smaller.Script.Faults = append(append([]harness.Fault{}, smallest.Script.Faults[:at]...), smallest.Script.Faults[at+1:]...)
			if len(smaller.Script.Faults) > 0 && o.fails(ctx, &smaller) {
				smallest = smaller
				f.Shrunk = &smallest
			} else {
				at++
			}
		}
		if f.Shrunk != nil {
			fmt.Fprintf(o.Progress, "still fails with fewer troubles: %s", f.Shrunk)
		}
	}
}

// detectDefects plants each defect and plays seeds until it is found.
func (o *Options) detectDefects(ctx context.Context, r *Result) {
	if o.DefectSeeds <= 0 {
		return
	}
	defects := o.Defects
	if defects == nil {
		defects = faultgateway.Defects
	}
	found := make([]Detection, len(defects))
	var players sync.WaitGroup
	slots := make(chan struct{}, o.Parallel)
	for i, defect := range defects {
		players.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			found[i] = o.detect(ctx, defect)
		})
	}
	players.Wait()
	r.Detections = found
}

// detect plays seeds with a defect until something is violated.
func (o *Options) detect(ctx context.Context, defect string) Detection {
	detection := Detection{Defect: defect}
	for detection.SeedsPlayed < o.DefectSeeds && ctx.Err() == nil {
		s := NewSchedule(o.First+uint64(detection.SeedsPlayed), o.Processes, o.Length)
		detection.SeedsPlayed++
		report, _, err := o.play(ctx, &s, defect)
		switch {
		case errors.Is(err, context.Canceled):
		case err != nil:
			detection.Evidence = err.Error()
		case len(report.Violations) > 0:
			detection.Detected, detection.Evidence = true, report.Violations[0]
			fmt.Fprintf(o.Progress, "planted %s: found in seed %d, the %d. played: %.160s\n", defect, s.Seed, detection.SeedsPlayed, detection.Evidence)
			return detection
		}
	}
	fmt.Fprintf(o.Progress, "planted %s: NOT found in %d seeds\n", defect, detection.SeedsPlayed)
	return detection
}

// TotalViolations is how many there were in all.
func (r *Result) TotalViolations() (n int) {
	for _, k := range r.ViolationCounts {
		n += k
	}
	return n
}

// DefectsFound is how many planted defects were found.
func (r *Result) DefectsFound() (n int) {
	for _, f := range r.Detections {
		if f.Detected {
			n++
		}
	}
	return n
}

// Write prints the figures, a line `name: value` each.
func (r *Result) Write(w io.Writer) {
	for _, f := range r.Detections {
		fmt.Fprintf(w, "planted_%s_seeds: %d\n", f.Defect, f.SeedsPlayed)
	}
	for _, kind := range slices.Sorted(maps.Keys(r.FaultKinds)) {
		fmt.Fprintf(w, "fault_%s: %d\n", kind, r.FaultKinds[kind])
	}
	fmt.Fprintf(w, "seeds: %d\nseeds_failed: %d\nseeds_not_played: %d\nrequests: %d\nkept_results: %d\nfaults: %d\noverlapping: %d\nviolations: %d\n", r.Seeds, len(r.Failed),
		len(r.NotPlayed), r.Requests, r.StoredResults, r.Faults, r.Overlapping, r.TotalViolations())
	for _, v := range []harness.ViolationKind{harness.LostRequest, harness.DuplicateExecution} {
		fmt.Fprintf(w, "%s: %d\n", v, r.ViolationCounts[v])
	}
	fmt.Fprintf(w, "late: %d\n", r.LateResponses)
	for _, v := range []harness.ViolationKind{harness.SentAfterDisconnect, harness.PastDeadline, harness.SentWhileDraining, harness.SlowStartExceeded, harness.WrongResponse, harness.OrderViolated, harness.WrongZone, harness.RetryBudgetExceeded, harness.InvariantBroken, harness.Crashed, harness.NotReady} {
		fmt.Fprintf(w, "%s: %d\n", v, r.ViolationCounts[v])
	}
	fmt.Fprintf(w, "crowds: %d\ndrain_slowest_ms: %d\n", r.LargeFleets, r.SlowestDrain.Milliseconds())
	fmt.Fprintf(w, "rig_pauses: %d\nrig_longest_pause_ms: %d\n", r.Pauses, r.LongestPause.Milliseconds())
	fmt.Fprintf(w, "planted: %d\nplanted_found: %d\n", len(r.Detections), r.DefectsFound())
}
