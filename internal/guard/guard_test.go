package guard

import (
	"slices"
	"testing"

	"foxlane/rules"
)

const now = 1000 * rules.Second

// validSend returns a send that violates no invariant.
func validSend() Send {
	return Send{Now: now, Deadline: now + rules.Second, ClientDeadline: now + rules.Second, NotifiedAt: now - 10*rules.Second, SlowStartSent: 1, SlowStartBudget: 2,
		Class: &rules.Class{}, Constraints: &rules.Constraints{DrainGrace: rules.Second}, Limits: &rules.Limits{MaxAttempts: 3}}
}

// Each violation is reported under its own invariant, and a valid send or answer reports none.
func TestEachInvariant(t *testing.T) {
	ran := PriorAttempt{IssuedAt: now - rules.Second, Sent: true, Ended: true}
	neverRan := PriorAttempt{IssuedAt: now - rules.Second, Sent: true, Ended: true, NeverRan: true}
	for name, c := range map[string]struct {
		change func(*Send)
		want   []Invariant
	}{
		"good":                   {func(*Send) {}, nil},
		"client gone":            {func(s *Send) { s.Answered = true }, []Invariant{SendAfterEnd}},
		"after the deadline":     {func(s *Send) { s.ClientDeadline, s.Deadline = now-Slack, now-Slack }, []Invariant{SendAfterDeadline}},
		"deadline too long":      {func(s *Send) { s.Deadline = s.ClientDeadline + DeadlineSlack + 1 }, []Invariant{SendAfterDeadline}},
		"drained":                {func(s *Send) { s.State = rules.EngineDraining }, []Invariant{SendToDraining}},
		"drained recently":       {func(s *Send) { s.State, s.NotifiedAt = rules.EngineDraining, now-rules.Second }, nil},
		"gone":                   {func(s *Send) { s.State = rules.EngineGone }, []Invariant{SendToDraining}},
		"zone":                   {func(s *Send) { s.Class.AllowedZones = []int{1} }, []Invariant{SendMisplaced}},
		"kind":                   {func(s *Send) { s.Class.AllowedKinds = []int{} }, []Invariant{SendMisplaced}},
		"over slow-start budget": {func(s *Send) { s.SlowStartSent = 2.1 }, []Invariant{SendOverBudget}},
		"not in slow start":      {func(s *Send) { s.SlowStartSent, s.SlowStartBudget = 9, 0 }, nil},
		"idempotent retry":       {func(s *Send) { s.PriorAttempts = []PriorAttempt{ran} }, nil},
		"unsafe retry":           {func(s *Send) { s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{ran}, rules.NotIdempotent }, []Invariant{RetryUnsafe}},
		"unsafe that never ran":  {func(s *Send) { s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{neverRan}, rules.NotIdempotent }, nil},
		"unsafe never written": {func(s *Send) {
			s.PriorAttempts, s.Class.Idempotency = []PriorAttempt{{IssuedAt: now}}, rules.NotIdempotent
		}, nil},
		"in flight": {func(s *Send) { s.PriorAttempts = []PriorAttempt{{IssuedAt: now, Sent: true}} }, []Invariant{SendParallel}},
		"in flight, allowed": {func(s *Send) {
			s.PriorAttempts, s.Limits.HedgedRequests = []PriorAttempt{{IssuedAt: now, Sent: true}}, true
		}, nil},
		"too many": {func(s *Send) { s.PriorAttempts = []PriorAttempt{ran, ran, ran} }, []Invariant{RetryOverLimit}},
		"keyed after its window": {func(s *Send) {
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
		s := validSend()
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
		"may have run":  {Answer{Now: now, ClientDeadline: now, Class: unsafe, Rejection: true, PriorAttempts: []PriorAttempt{neverRan, ran}}, []Invariant{RejectedMayHaveRun}},
		"never ran":     {Answer{Now: now, ClientDeadline: now, Class: unsafe, Rejection: true, PriorAttempts: []PriorAttempt{neverRan}}, nil},
		"safe and ran":  {Answer{Now: now, ClientDeadline: now, Class: &rules.Class{}, Rejection: true, PriorAttempts: []PriorAttempt{ran}}, nil},
		"keyed and ran": {Answer{Now: now, ClientDeadline: now, Class: &rules.Class{Idempotency: rules.IdempotentWithKey, DedupScope: rules.DedupZone}, Rejection: true, PriorAttempts: []PriorAttempt{ran}}, []Invariant{RejectedMayHaveRun}},
	} {
		if f := c.answer.Check(); !slices.Equal(f.All(), c.want) {
			t.Errorf("answer %s: got %v, want %v", name, f.All(), c.want)
		}
	}
}

func TestCounts(t *testing.T) {
	var violations Violations
	if !violations.Record(CloseUnanswered) || violations.Record(CloseUnanswered) || !violations.Record(StartTwice) || violations.Sum() != 3 {
		t.Errorf("got %v", violations)
	}
	for i := range Count {
		if Invariant(i).String() == "" {
			t.Errorf("invariant %d has no name", i)
		}
	}
}
