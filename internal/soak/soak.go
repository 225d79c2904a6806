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
	Process   harness.Process // the test double
	Seeds     int             // how many
	First     uint64          // the first one
	Length    time.Duration   // of each, without its start and end
	Processes int             // gateways of each
	Parallel  int             // seeds at once
	Shrink    int             // runs that a failing seed is shrunk by, at most; 0: none
	Plants    int             // seeds that each planted defect is looked for with, at most; 0: none are planted
	Only      []string        // defects to plant; nil: all
	Logs      string          // folder for the logs of failing seeds
	Progress  io.Writer
}

// Result is what came of a soak.
type Result struct {
	Seeds, Overlapping, Faults int
	Requests, Late, Kept       int
	Verdicts                   map[harness.Verdict]int
	Pauses                     int // of the rig itself
	LongestPause               time.Duration
	Kinds                      map[string]int // troubles played, by kind
	Failed                     []Failure
	SlowestDrain               time.Duration
	Crowds                     int      // seeds with twenty processes or more
	Broken                     []string // seeds that could not be played to their end, and why
	Planted                    []Found
}

// Failure is a seed in which something was violated.
type Failure struct {
	Schedule Schedule
	Breaches []string
	Logs     string
	Smallest *Schedule // with the fewest troubles that still fail; nil: it was not shrunk, or never failed again
}

// Found is what became of a planted defect.
type Found struct {
	Plant string
	Seeds int // that were played until it was found
	By    string
	Found bool
}

const (
	mostSeeds     = 100_000
	mostProcesses = 40
	seedSlack     = 90 * time.Second // for start and end of one seed
)

func (o *Options) check() error {
	switch {
	case o.Seeds < 0 || o.Seeds > mostSeeds:
		return fmt.Errorf("soak: %d seeds, 0 to %d are possible", o.Seeds, mostSeeds)
	case o.Processes < 2 || o.Processes > mostProcesses:
		return fmt.Errorf("soak: %d processes, 2 to %d are possible", o.Processes, mostProcesses)
	case o.Length < 3*time.Second || o.Length > time.Minute:
		return fmt.Errorf("soak: a length of %v, 3 s to a minute are possible", o.Length)
	case o.Parallel < 1 || o.Parallel*max(o.Processes, o.largest()) > 200:
		return fmt.Errorf("soak: %d seeds at once with up to %d processes each; 200 processes at most", o.Parallel, max(o.Processes, o.largest()))
	}
	return nil
}

// largest is how many processes a seed may have.
func (o *Options) largest() int {
	if o.Processes >= crowdFrom {
		return crowdMost
	}
	return o.Processes
}

// Run plays all seeds, then looks for planted defects. It returns what it has when the context ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &Result{Verdicts: map[harness.Verdict]int{}, Kinds: map[string]int{}}
	var mu sync.Mutex
	next := make(chan uint64)
	var players sync.WaitGroup
	for range o.Parallel {
		players.Go(func() {
			for seed := range next {
				s := Draw(seed, o.Processes, o.Length)
				books, logs, err := o.play(ctx, &s, "")
				mu.Lock()
				r.add(ctx, &o, &s, books, logs, err)
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
	o.plantAll(ctx, r)
	return r, ctx.Err()
}

// add takes in what came of a seed.
func (r *Result) add(ctx context.Context, o *Options, s *Schedule, b *harness.Books, logs string, err error) {
	if ctx.Err() != nil {
		return // it was cut short
	}
	r.Seeds++
	r.Faults += len(s.Script.Faults)
	for _, f := range s.Script.Faults {
		r.Kinds[f.Kind]++
	}
	if s.Overlapping() {
		r.Overlapping++
	}
	if s.processes() >= crowdLeast {
		r.Crowds++
	}
	if b != nil {
		r.Requests += b.Tries
		r.Late += b.Late
		r.Kept += b.Kept
		r.Pauses += b.Pauses
		r.LongestPause = max(r.LongestPause, b.LongestPause)
		r.SlowestDrain = max(r.SlowestDrain, b.SlowestDrain)
		for v, n := range b.Verdicts {
			r.Verdicts[harness.Verdict(v)] += n
		}
	}
	switch {
	case err != nil:
		r.Broken = append(r.Broken, fmt.Sprintf("seed %d: %v", s.Seed, err))
		fmt.Fprintf(o.Progress, "NOT PLAYED to its end: %v\n%slogs in %s\n", err, s, logs)
	case len(b.Breaches) > 0:
		r.Failed = append(r.Failed, Failure{Schedule: *s, Breaches: b.Breaches, Logs: logs})
		fmt.Fprintf(o.Progress, "FAILED %s", s)
		for _, x := range b.Breaches[:min(len(b.Breaches), 6)] {
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
func (o *Options) play(ctx context.Context, s *Schedule, plant string) (b *harness.Books, logs string, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.Length+seedSlack)
	defer cancel()
	if o.Logs != "" && plant == "" {
		logs = filepath.Join(o.Logs, fmt.Sprintf("seed-%d", s.Seed))
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return nil, "", err
		}
	}
	p := o.Process
	if plant != "" {
		p.Env = append(append([]string{}, p.Env...), faultgateway.EnvPlant+"="+plant)
	}
	b, err = harness.RunProcess(ctx, p, s.Script, logs)
	return b, logs, err
}

// fails answers whether a schedule is violated when it is played.
func (o *Options) fails(ctx context.Context, s *Schedule) bool {
	quiet := *o
	quiet.Logs = ""
	b, _, err := quiet.play(ctx, s, "")
	return err == nil && len(b.Breaches) > 0
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
				f.Smallest = &smallest
			} else {
				at++
			}
		}
		if f.Smallest != nil {
			fmt.Fprintf(o.Progress, "still fails with fewer troubles: %s", f.Smallest)
		}
	}
}

// plantAll plants each defect and plays seeds until it is found.
func (o *Options) plantAll(ctx context.Context, r *Result) {
	if o.Plants <= 0 {
		return
	}
	plants := o.Only
	if plants == nil {
		plants = faultgateway.Plants
	}
	found := make([]Found, len(plants))
	var players sync.WaitGroup
	slots := make(chan struct{}, o.Parallel)
	for i, plant := range plants {
		players.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			found[i] = o.find(ctx, plant)
		})
	}
	players.Wait()
	r.Planted = found
}

// find plays seeds with a defect until something is violated.
func (o *Options) find(ctx context.Context, plant string) Found {
	f := Found{Plant: plant}
	for f.Seeds < o.Plants && ctx.Err() == nil {
		s := Draw(o.First+uint64(f.Seeds), o.Processes, o.Length)
		f.Seeds++
		b, _, err := o.play(ctx, &s, plant)
		switch {
		case errors.Is(err, context.Canceled):
		case err != nil:
			f.By = err.Error()
		case len(b.Breaches) > 0:
			f.Found, f.By = true, b.Breaches[0]
			fmt.Fprintf(o.Progress, "planted %s: found in seed %d, the %d. played: %.160s\n", plant, s.Seed, f.Seeds, f.By)
			return f
		}
	}
	fmt.Fprintf(o.Progress, "planted %s: NOT found in %d seeds\n", plant, f.Seeds)
	return f
}

// Violations is how many there were in all.
func (r *Result) Violations() (n int) {
	for _, k := range r.Verdicts {
		n += k
	}
	return n
}

// PlantedFound is how many planted defects were found.
func (r *Result) PlantedFound() (n int) {
	for _, f := range r.Planted {
		if f.Found {
			n++
		}
	}
	return n
}

// Write prints the figures, a line `name: value` each.
func (r *Result) Write(w io.Writer) {
	for _, f := range r.Planted {
		fmt.Fprintf(w, "planted_%s_seeds: %d\n", f.Plant, f.Seeds)
	}
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(w, "fault_%s: %d\n", kind, r.Kinds[kind])
	}
	fmt.Fprintf(w, "seeds: %d\nseeds_failed: %d\nseeds_not_played: %d\nrequests: %d\nkept_results: %d\nfaults: %d\noverlapping: %d\nviolations: %d\n", r.Seeds, len(r.Failed),
		len(r.Broken), r.Requests, r.Kept, r.Faults, r.Overlapping, r.Violations())
	for _, v := range []harness.Verdict{harness.Lost, harness.Duplicated} {
		fmt.Fprintf(w, "%s: %d\n", v, r.Verdicts[v])
	}
	fmt.Fprintf(w, "late: %d\n", r.Late)
	for _, v := range []harness.Verdict{harness.SentAfterGone, harness.PastDeadline, harness.DrainBroken, harness.FailbackBroken, harness.WrongAnswer, harness.OrderBroken, harness.Misplaced, harness.RationBroken, harness.Guarded, harness.Crashed, harness.NotReady} {
		fmt.Fprintf(w, "%s: %d\n", v, r.Verdicts[v])
	}
	fmt.Fprintf(w, "crowds: %d\ndrain_slowest_ms: %d\n", r.Crowds, r.SlowestDrain.Milliseconds())
	fmt.Fprintf(w, "rig_pauses: %d\nrig_longest_pause_ms: %d\n", r.Pauses, r.LongestPause.Milliseconds())
	fmt.Fprintf(w, "planted: %d\nplanted_found: %d\n", len(r.Planted), r.PlantedFound())
}
