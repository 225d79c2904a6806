package guard

import (
	"slices"
	"testing"

	"foxlane/rules"
)

const now = 1000 * rules.Second

// good is a send that breaks nothing.
func good() Send {
	return Send{Now: now, Deadline: now + rules.Second, Due: now + rules.Second, Told: now - 10*rules.Second, ColdSent: 1, ColdBudget: 2,
		Class: &rules.Class{}, Duties: &rules.Constraints{DrainGrace: rules.Second}, Limits: &rules.Limits{MaxAttempts: 3}}
}

// Each invariant is found by itself, and nothing where nothing is broken.
func TestEachInvariant(t *testing.T) {
	ran := Past{At: now - rules.Second, Sent: true, Ended: true}
	never := Past{At: now - rules.Second, Sent: true, Ended: true, NeverRan: true}
	for name, c := range map[string]struct {
		change func(*Send)
		want   []Invariant
	}{
		"good":                  {func(*Send) {}, nil},
		"client gone":           {func(s *Send) { s.Answered = true }, []Invariant{SendAfterEnd}},
		"behind the deadline":   {func(s *Send) { s.Due, s.Deadline = now-Slack, now-Slack }, []Invariant{SendAfterDeadline}},
		"deadline too long":     {func(s *Send) { s.Deadline = s.Due + DeadlineSlack + 1 }, []Invariant{SendAfterDeadline}},
		"drained":               {func(s *Send) { s.State = rules.EngineDraining }, []Invariant{SendToDrained}},
		"drained just now":      {func(s *Send) { s.State, s.Told = rules.EngineDraining, now-rules.Second }, nil},
		"gone":                  {func(s *Send) { s.State = rules.EngineGone }, []Invariant{SendToDrained}},
		"zone":                  {func(s *Send) { s.Class.AllowedZones = []int{1} }, []Invariant{SendMisplaced}},
		"kind":                  {func(s *Send) { s.Class.AllowedKinds = []int{} }, []Invariant{SendMisplaced}},
		"cold":                  {func(s *Send) { s.ColdSent = 2.1 }, []Invariant{SendOverBudget}},
		"warm":                  {func(s *Send) { s.ColdSent, s.ColdBudget = 9, 0 }, nil},
		"safe again":            {func(s *Send) { s.Past = []Past{ran} }, nil},
		"unsafe again":          {func(s *Send) { s.Past, s.Class.Idempotency = []Past{ran}, rules.NotIdempotent }, []Invariant{RepeatUnsafe}},
		"unsafe that never ran": {func(s *Send) { s.Past, s.Class.Idempotency = []Past{never}, rules.NotIdempotent }, nil},
		"unsafe never written":  {func(s *Send) { s.Past, s.Class.Idempotency = []Past{{At: now}}, rules.NotIdempotent }, nil},
		"in flight":             {func(s *Send) { s.Past = []Past{{At: now, Sent: true}} }, []Invariant{SendParallel}},
		"in flight, allowed":    {func(s *Send) { s.Past, s.Limits.HedgedRequests = []Past{{At: now, Sent: true}}, true }, nil},
		"too many":              {func(s *Send) { s.Past = []Past{ran, ran, ran} }, []Invariant{RepeatOverLimit}},
		"keyed behind its window": {func(s *Send) {
			s.Past, s.Class.Idempotency = []Past{ran}, rules.IdempotentWithKey
			s.Class.DedupWindow = rules.Second / 2
		},
			[]Invariant{RepeatOutside}},
		"keyed in its window": {func(s *Send) {
			s.Past, s.Class.Idempotency = []Past{ran}, rules.IdempotentWithKey
			s.Class.DedupWindow = 2 * rules.Second
		}, nil},
		"keyed in another zone": {func(s *Send) {
			s.Past, s.Class.Idempotency, s.Class.DedupScope, s.Zone = []Past{ran}, rules.IdempotentWithKey, rules.DedupZone, 1
			s.Class.DedupWindow = 2 * rules.Second
		}, []Invariant{RepeatOutside}},
		"keyed in another cell": {func(s *Send) {
			s.Past, s.Class.Idempotency, s.Class.DedupScope, s.Cell = []Past{ran}, rules.IdempotentWithKey, rules.DedupCell, 1
			s.Class.DedupWindow = 2 * rules.Second
		}, []Invariant{RepeatOutside}},
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
		"good":          {Answer{Now: now, Due: now, Class: unsafe, Past: []Past{ran}}, nil},
		"twice":         {Answer{Now: now, Due: now, Class: unsafe, Answered: true}, []Invariant{AnswerTwice}},
		"late":          {Answer{Now: now, Due: now - lateSlack - 1, Class: unsafe}, []Invariant{AnswerLate}},
		"may have run":  {Answer{Now: now, Due: now, Class: unsafe, Refusal: true, Past: []Past{never, ran}}, []Invariant{RefusedMayHaveRun}},
		"never ran":     {Answer{Now: now, Due: now, Class: unsafe, Refusal: true, Past: []Past{never}}, nil},
		"safe and ran":  {Answer{Now: now, Due: now, Class: &rules.Class{}, Refusal: true, Past: []Past{ran}}, nil},
		"keyed and ran": {Answer{Now: now, Due: now, Class: &rules.Class{Idempotency: rules.IdempotentWithKey, DedupScope: rules.DedupZone}, Refusal: true, Past: []Past{ran}}, []Invariant{RefusedMayHaveRun}},
	} {
		if f := c.answer.Check(); !slices.Equal(f.All(), c.want) {
			t.Errorf("answer %s: got %v, want %v", name, f.All(), c.want)
		}
	}
}

func TestCounts(t *testing.T) {
	var b Broken
	if !b.Note(CloseUnanswered) || b.Note(CloseUnanswered) || !b.Note(StartTwice) || b.Sum() != 3 {
		t.Errorf("got %v", b)
	}
	for i := range Count {
		if Invariant(i).String() == "" {
			t.Errorf("invariant %d has no name", i)
		}
	}
}
