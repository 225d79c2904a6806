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

// pool runs the simulations of a measurement, as many at once as there are cores.
type pool struct {
	ctx      context.Context
	progress io.Writer
	slots    chan struct{}
	running  sync.WaitGroup
}

func newPool(ctx context.Context, progress io.Writer) *pool {
	return &pool{ctx: ctx, progress: progress, slots: make(chan struct{}, runtime.GOMAXPROCS(0))}
}

// run runs a simulation, or nothing once the context has ended. It may write only what nobody reads before wait returns.
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

// wait waits for all simulations, and returns the context's error.
func (p *pool) wait() error {
	p.running.Wait()
	progressf(p.progress, "\n")
	return p.ctx.Err()
}

// progressf reports progress. That it can't be written doesn't fail a measurement.
func progressf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// column is one value of each run.
func column[T any](runs []T, of func(T) float64) []float64 {
	out := make([]float64, len(runs))
	for i, run := range runs {
		out[i] = of(run)
	}
	return out
}

// median is the middle of some values, or the mean of the two in the middle; NaN if there are none.
func median(of []float64) float64 {
	if len(of) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(of))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

// sum adds up some counts.
func sum(of []int) (total int) {
	for _, n := range of {
		total += n
	}
	return total
}
