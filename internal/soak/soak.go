package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"foxlane/internal/faultgateway"
	"foxlane/internal/harness"
)

// Options are the settings of a soak.
type Options struct {
	Process           harness.Process // the fault gateway
	Seeds             int             // number of consecutive seeds to run
	FirstSeed         uint64          // the first seed
	Starved           bool            // schedules with little processor time, lost zones, hostile clients and restarts, see NewStarvedSchedule
	Duration          time.Duration   // of a seed's run, without startup and final checks
	Processes         int             // gateways in a fleet
	Parallel          int             // seeds that run at once
	MaxShrinkRuns     int             // maximum number of runs to shrink a failing seed; 0: failing seeds are not shrunk
	MaxSeedsPerDefect int             // maximum number of seeds to detect a planted defect; 0: no defects are planted
	Defects           []string        // defects to plant; nil: all
	LogDir            string          // folder for the logs of failing seeds; empty: logs are not kept
	Progress          io.Writer       // receives human-readable progress
}

const (
	maxSeeds     = 100_000
	maxProcesses = 40
	seedOverhead = 90 * time.Second // allowed for the startup and the final checks of one seed
)

// validate returns an error that names the first option out of range.
func (o *Options) validate() error {
	switch {
	case o.Seeds < 0 || o.Seeds > maxSeeds:
		return fmt.Errorf("soak: number of seeds %d is out of range 0 to %d", o.Seeds, maxSeeds)
	case o.Processes < 2 || o.Processes > maxProcesses:
		return fmt.Errorf("soak: number of processes %d is out of range 2 to %d", o.Processes, maxProcesses)
	case o.Duration < 3*time.Second || o.Duration > time.Minute:
		return fmt.Errorf("soak: length %v is out of range 3s to 1m", o.Duration)
	case o.Parallel < 1 || o.Parallel*max(o.Processes, o.maxFleetSize()) > 200:
		return fmt.Errorf("soak: %d parallel seeds of up to %d processes each exceed 200 processes", o.Parallel, max(o.Processes, o.maxFleetSize()))
	}
	return nil
}

// newSchedule draws the schedule of a seed.
func (o *Options) newSchedule(seed uint64) Schedule {
	if o.Starved {
		return NewStarvedSchedule(seed, o.Processes, o.Duration)
	}
	return NewSchedule(seed, o.Processes, o.Duration)
}

// maxFleetSize returns the largest number of processes that a seed may start.
func (o *Options) maxFleetSize() int {
	if o.Processes >= largeFleetThreshold {
		return maxLargeFleet
	}
	return o.Processes
}

// Run runs all seeds, shrinks those that fail, then searches for planted defects. If the context ends, Run returns
// the results so far with the context's error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	r := &Result{ViolationCounts: map[harness.ViolationKind]int{}, FaultKinds: map[string]int{}}
	var mu sync.Mutex
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range o.Parallel {
		workers.Go(func() {
			for seed := range seeds {
				schedule := o.newSchedule(seed)
				report, logDir, err := o.runSchedule(ctx, &schedule, "")
				mu.Lock()
				r.add(ctx, &o, &schedule, report, logDir, err)
				mu.Unlock()
			}
		})
	}
	for i := range o.Seeds {
		if ctx.Err() != nil {
			break
		}
		seeds <- o.FirstSeed + uint64(i)
	}
	close(seeds)
	workers.Wait()
	o.shrinkFailures(ctx, r)
	o.detectDefects(ctx, r)
	return r, ctx.Err()
}

// runSchedule runs one schedule, with the named defect planted unless the name is empty. It returns the folder of the
// gateways' logs; empty: they are not kept.
func (o *Options) runSchedule(ctx context.Context, schedule *Schedule, defect string) (report *harness.Report, logDir string, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+seedOverhead)
	defer cancel()
	if o.LogDir != "" && defect == "" {
		logDir = filepath.Join(o.LogDir, fmt.Sprintf("seed-%d", schedule.Seed))
		if err := os.MkdirAll(logDir, 0o700); err != nil {
			return nil, "", err
		}
	}
	process := o.Process
	if defect != "" {
		process.Env = append(append([]string{}, process.Env...), faultgateway.EnvDefect+"="+defect)
	}
	report, err = harness.RunProcess(ctx, process, schedule.Script, logDir)
	return report, logDir, err
}

// fails reports whether a run of the schedule completes with violations.
func (o *Options) fails(ctx context.Context, schedule *Schedule) bool {
	withoutLogs := *o
	withoutLogs.LogDir = ""
	report, _, err := withoutLogs.runSchedule(ctx, schedule, "")
	return err == nil && len(report.Violations) > 0
}

// shrinkFailures removes faults one at a time from each failing seed, and keeps a removal if the seed still fails.
func (o *Options) shrinkFailures(ctx context.Context, r *Result) {
	for i := range r.Failed {
		runsLeft := o.MaxShrinkRuns
		failure := &r.Failed[i]
		smallest := failure.Schedule
		for index := 0; index < len(smallest.Script.Faults) && runsLeft > 0 && ctx.Err() == nil; runsLeft-- {
			candidate := smallest
			candidate.Script.Faults = append(append([]harness.Fault{}, smallest.Script.Faults[:index]...), smallest.Script.Faults[index+1:]...)
			if len(candidate.Script.Faults) > 0 && o.fails(ctx, &candidate) {
				smallest = candidate
				failure.Shrunk = &smallest
			} else {
				index++
			}
		}
		if failure.Shrunk != nil {
			o.printf("still fails with fewer faults: %s", failure.Shrunk)
		}
	}
}

// printf prints progress. A failed write does not stop the soak.
func (o *Options) printf(format string, args ...any) { _, _ = fmt.Fprintf(o.Progress, format, args...) }
