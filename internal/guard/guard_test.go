package guard

import (
	"slices"
	"testing"

	"foxlane/rules"
)

const now = 1000 * rules.Second

// good is a send that breaks nothing.
func good() Send {
	return Send{Now: now, Deadline: now + rules.Second, ClientDeadline: now + rules.Second, NotifiedAt: now - 10*rules.Second, SlowStartSent: 1, SlowStartBudget: 2,
		Class: &rules.Class{}, Duties: &rules.Constraints{DrainGrace: rules.Second}, Limits: &rules.Limits{MaxAttempts: 3}}
}

// Each invariant is found by itself, and nothing where nothing is broken.
func TestEachInvariant(t *testing.T) {
	ran := PriorAttempt{At: now - rules.Second, Sent: true, Ended: true}
	never := PriorAttempt{At: now - rules.Second, Sent: true, Ended: true, NeverRan: true}
	for name, c := range map[string]struct {
		change func(*Send)
		want   []Invariant
	}{
		"good":                  {func(*Send) {}, nil},
		"client gone":           {func(s *Send) { s.Answered = true }, []Invariant{SendAfterEnd}},
		"behind the deadline":   {func(s *Send) { s.ClientDeadline, s.Deadline = now-Slack, now-Slack }, []Invariant{SendAfterDeadline}},
		"deadline too long":     {func(s *Send) { s.Deadline = s.ClientDeadline + DeadlineSlack + 1 }, []Invariant{SendAfterDeadline}},
		"drained":               {func(s *Send) { s.State = rules.EngineDraining }, []Invariant{SendToDraining}},
		"drained just now":      {func(s *Send) { s.State, s.NotifiedAt = rules.EngineDraining, now-rules.Second }, nil},
		"gone":                  {func(s *Send) { s.State = rules.EngineGone }, []Invariant{SendToDraining}},
		"zone":                  {func(s *Send) { s.Class.AllowedZones = []int{1} }, []Invariant{SendMisplaced}},
		"kind":                  {func(s *Send) { s.Class.AllowedKinds = []int{} }, []Invariant{SendMisplaced}},
		"cold":                  {func(s *Send) { s.SlowStartSent = 2.1 }, []Invariant{SendOverBudget}},
		"warm":                  {func(s *Send) { s.SlowStartSent, s.SlowStartBudget = 9, 0 }, nil},
		"safe again":            {func(s *Send) { s.PriorAttempts = []PriorAttempt{ran} }, nil},
		"unsafe again":          {func(s *Send) { s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{ran}, rules.NotIdempotent }, []Invariant{RetryUnsafe}},
		"unsafe that never ran": {func(s *Send) { s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{never}, rules.NotIdempotent }, nil},
		"unsafe never written":  {func(s *Send) { s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{{At: now}}, rules.NotIdempotent }, nil},
		"in flight":             {func(s *Send) { s.PriorAttempts = []PriorAttempt{{At: now, Sent: true}} }, []Invariant{SendParallel}},
		"in flight, allowed":    {func(s *Send) { s.PriorAttempts, s.Limits.HedgedRequests = []PriorAttempt{{At: now, Sent: true}}, true }, nil},
		"too many":              {func(s *Send) { s.PriorAttempts = []PriorAttempt{ran, ran, ran} }, []Invariant{RetryOverLimit}},
		"keyed behind its window": {func(s *Send) {
			s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{ran}, rules.IdempotentWithKey
			s.Class.DedupWindow = rules.Second / 2
		},
			[]Invariant{RetryOutsideWindow}},
		"keyed in its window": {func(s *Send) {
			s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{ran}, rules.IdempotentWithKey
			s.Class.DedupWindow = 2 * rules.Second
		}, nil},
		"keyed in another zone": {func(s *Send) {
			s.PriorAttempts, s.Class.Idempotency, s.Class.DedupScope, s.Zone = []PriorAttempt{ran}, rules.IdempotentWithKey, rules.DedupZone, 1
			s.Class.DedupWindow = 2 * rules.Second
		}, []Invariant{RetryOutsideWindow}},
		"keyed in another cell": {func(s *Send) {
			s.PriorAttempts, s.Class.Idempotency, s.Class.DedupScope, s.Cell = []PriorAttempt{ran}, rules.IdempotentWithKey, rules.DedupCell, 1
			s.Class.DedupWindow = 2 * rules.Second
		}, []Invariant{RetryOutsideWindow}},
	} {
		s := good()
		c.change(&s)
		if f := s.Check(); !slices.Equal(f.All(), c.want) {
			t.Errorf("%s: got %v, want %v", name, f.All(), c.want)
		}
	}
	unsafe := &rules.Class{Idempotency: rules.NotIdempotent}
	for name, c := range map[string]struct {
		answer Answer
		want   []Invariant
	}{
		"good":          {Answer{Now: now, ClientDeadline: now, Class: unsafe, PriorAttempts: []PriorAttempt{ran}}, nil},
		"twice":         {Answer{Now: now, ClientDeadline: now, Class: unsafe, Answered: true}, []Invariant{AnswerTwice}},
		"late":          {Answer{Now: now, ClientDeadline: now - lateAnswerSlack - 1, Class: unsafe}, []Invariant{AnswerLate}},
		"may have run":  {Answer{Now: now, ClientDeadline: now, Class: unsafe, Rejection: true, PriorAttempts: []PriorAttempt{never, ran}}, []Invariant{RejectedMayHaveRun}},
		"never ran":     {Answer{Now: now, ClientDeadline: now, Class: unsafe, Rejection: true, PriorAttempts: []PriorAttempt{never}}, nil},
		"safe and ran":  {Answer{Now: now, ClientDeadline: now, Class: &rules.Class{}, Rejection: true, PriorAttempts: []PriorAttempt{ran}}, nil},
		"keyed and ran": {Answer{Now: now, ClientDeadline: now, Class: &rules.Class{Idempotency: rules.IdempotentWithKey, DedupScope: rules.DedupZone}, Rejection: true, PriorAttempts: []PriorAttempt{ran}}, []Invariant{RejectedMayHaveRun}},
	} {
		if f := c.answer.Check(); !slices.Equal(f.All(), c.want) {
			t.Errorf("answer %s: got %v, want %v", name, f.All(), c.want)
		}
	}
}

func TestCounts(t *testing.T) {
	var b Violations
	if !b.Record(CloseUnanswered) || b.Record(CloseUnanswered) || !b.Record(StartTwice) || b.Sum() != 3 {
		t.Errorf("got %v", b)
	}
	for i := range Count {
		if Invariant(i).String() == "" {
			t.Errorf("invariant %d has no name", i)
		}
	}
}
