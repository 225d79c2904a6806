package measure

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
)

// pool runs the simulations of a measurement in parallel, one per core.
type pool struct {
	ctx      context.Context
	progress io.Writer
	slots    chan struct{}
	running  sync.WaitGroup
}

func newPool(ctx context.Context, progress io.Writer) *pool {
	return &pool{ctx: ctx, progress: progress, slots: make(chan struct{}, runtime.GOMAXPROCS(0))}
}

// run starts a simulation as soon as a core is free, unless the context has ended by then. Results that the
// simulation writes must not be read before wait returns.
func (p *pool) run(simulate func()) {
	p.running.Go(func() {
		p.slots <- struct{}{}
		defer func() { <-p.slots }()
		if p.ctx.Err() == nil {
			simulate()
			progressf(p.progress, ".")
		}
	})
}

// wait waits for all simulations and returns the context's error.
func (p *pool) wait() error {
	p.running.Wait()
	progressf(p.progress, "\n")
	return p.ctx.Err()
}

// progressf prints progress. A failed write does not fail the measurement.
func progressf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// column returns one value of each run.
func column[T any](runs []T, value func(T) float64) []float64 {
	out := make([]float64, len(runs))
	for i, run := range runs {
		out[i] = value(run)
	}
	return out
}

// median returns the middle value, or the mean of the two middle values; NaN if there are no values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

// sum returns the sum of the counts.
func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
