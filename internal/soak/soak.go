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
	Process     harness.Process // the fault gateway
	Seeds       int             // how many
	First       uint64          // the first one
	Length      time.Duration   // of each, without its start and end
	Processes   int             // gateways of each
	Parallel    int             // seeds at once
	Shrink      int             // runs to shrink a failing seed, at most; 0: none
	DefectSeeds int             // seeds to detect each planted defect, at most; 0: none are planted
	Defects     []string        // to plant; nil: all
	Logs        string          // folder for the logs of failing seeds
	Progress    io.Writer       // what happens, for people
}

const (
	maxSeeds     = 100_000
	maxProcesses = 40
	seedSlack    = 90 * time.Second // for the start and the checks at the end of one seed
)

// validate returns an error that names what can't be run.
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

// maxFleet is the largest number of processes that a seed may have.
func (o *Options) maxFleet() int {
	if o.Processes >= largeFleetFrom {
		return maxLargeFleet
	}
	return o.Processes
}

// Run plays all seeds, shrinks those that fail, then looks for planted defects. When the context ends it returns what it has with
// the context's error.
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

// play plays one schedule, with a defect planted if one is named. It returns the folder of the gateways' logs, if they are kept.
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

// fails reports whether a schedule has violations when it is played.
func (o *Options) fails(ctx context.Context, s *Schedule) bool {
	quiet := *o
	quiet.Logs = ""
	report, _, err := quiet.play(ctx, s, "")
	return err == nil && len(report.Violations) > 0
}

// shrinkAll looks for the fewest faults with which failing seeds still fail.
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
			o.printf("still fails with fewer faults: %s", f.Shrunk)
		}
	}
}

// printf prints progress. A failure to print does not stop a soak.
func (o *Options) printf(format string, args ...any) { _, _ = fmt.Fprintf(o.Progress, format, args...) }
