package soak

import (
	"context"
	"errors"
	"sync"

	"foxlane/internal/faultgateway"
)

// detectDefects looks for each planted defect, some at once.
func (o *Options) detectDefects(ctx context.Context, r *Result) {
	if o.DefectSeeds <= 0 {
		return
	}
	defects := o.Defects
	if defects == nil {
		defects = faultgateway.Defects
	}
	detections := make([]Detection, len(defects))
	var players sync.WaitGroup
	slots := make(chan struct{}, o.Parallel)
	for i, defect := range defects {
		players.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			detections[i] = o.detect(ctx, defect)
		})
	}
	players.Wait()
	r.Detections = detections
}

// detect plays seeds with a defect until there is a violation.
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
			o.printf("planted %s: found in seed %d, the %d. played: %.160s\n", defect, s.Seed, detection.SeedsPlayed, detection.Evidence)
			return detection
		}
	}
	o.printf("planted %s: NOT found in %d seeds\n", defect, detection.SeedsPlayed)
	return detection
}
