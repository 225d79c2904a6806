package soak

import (
	"context"
	"errors"
	"sync"

	"foxlane/internal/faultgateway"
)

// detectDefects searches for each planted defect, with o.Parallel searches at once, and sets r.Detections.
func (o *Options) detectDefects(ctx context.Context, r *Result) {
	if o.MaxSeedsPerDefect <= 0 {
		return
	}
	defects := o.Defects
	if defects == nil {
		defects = faultgateway.Defects
	}
	detections := make([]Detection, len(defects))
	var workers sync.WaitGroup
	slots := make(chan struct{}, o.Parallel)
	for i, defect := range defects {
		workers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			detections[i] = o.detectDefect(ctx, defect)
		})
	}
	workers.Wait()
	r.Detections = detections
}

// detectDefect runs seeds against a gateway with a planted defect until one reports a violation, at most
// o.MaxSeedsPerDefect.
func (o *Options) detectDefect(ctx context.Context, defect string) Detection {
	detection := Detection{Defect: defect}
	for detection.SeedsRun < o.MaxSeedsPerDefect && ctx.Err() == nil {
		schedule := o.newSchedule(o.FirstSeed + uint64(detection.SeedsRun))
		detection.SeedsRun++
		report, _, err := o.runSchedule(ctx, &schedule, defect)
		switch {
		case errors.Is(err, context.Canceled):
		case err != nil:
			detection.Evidence = err.Error()
		case len(report.Violations) > 0:
			detection.Detected, detection.Evidence = true, report.Violations[0]
			o.printf("planted %s: found with seed %d, seeds run: %d: %.160s\n", defect, schedule.Seed, detection.SeedsRun, detection.Evidence)
			return detection
		}
	}
	o.printf("planted %s: NOT found, seeds run: %d\n", defect, detection.SeedsRun)
	return detection
}
