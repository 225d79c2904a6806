package harness

import (
	"fmt"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// Report is what clients and engines saw of a run. Its JSON keys predate the names here and are kept for readers of the output.
type Report struct {
	Seconds            []Second
	Classes            []ClassReport
	Violations         []string                     `json:"Breaches"` // texts, the first maxViolations of the run
	ColdOverloads      int                          `json:"Fallen"`   // times a cold engine received more than it can bear
	Attempts           int                          // that reached engines
	ClientAttempts     int                          `json:"Tries"` // requests that clients sent to gateways, retries included
	RSSMB              float64                      // mean over the gateways, before they stop
	CPUSeconds         float64                      `json:"CPU"`     // processor time of all gateways
	AcceptedDirectives []string                     `json:"Ordered"` // directives a gateway answered as in effect
	FailedDirectives   int                          `json:"Unheld"`  // directives a gateway did not confirm
	MaxReplicaEntries  int                          `json:"Copies"`  // most replicated entries one gateway held, by its log
	CrossZoneAttempts  int                          `json:"Cross"`   // attempts that reached an engine outside their gateway's zone
	Links              map[string]faultproxy.Counts `json:"Ways"`    // by "from > to"
	ViolationCounts    [violationKindCount]int      `json:"Verdicts"`
	StoredResults      int                          `json:"Kept"` // results that gateways confirmed as stored and that were fetched after a kill
	Pauses             int                          // of the harness process itself, which can't judge what arrives meanwhile
	LongestPause       time.Duration
	LateResponses      int           `json:"Late"` // responses after their deadline that do not count as lost
	SlowestDrain       time.Duration // longest time from notifying a gateway of a drain to its last attempt at that engine
	Events             []Event       // faults and zone states as gateways logged them, by time

	zoneCount int
}

// Second is what happened in one second of the run.
type Second struct {
	OfferedWeight   float64   `json:"Offered"` // priority weight of requests, by when clients first sent them
	ServedWeight    float64   `json:"Worth"`   // weight of those served within the objective, and what late responses still earn
	WorkByZone      []float64 `json:"To"`      // work that reached each zone's engines, in core seconds
	CrossZoneWork   []float64 `json:"Foreign"` // the part of WorkByZone sent by gateways of other zones
	Rejected        []int     `json:"Refused"` // first attempts that were rejected, by class
	RejectedRetries int       `json:"Again"`
	Failed          int
	NoGateway       int `json:"Turned"` // attempts that could not connect to a gateway
}

// ClassReport is the outcome of one request class.
type ClassReport struct {
	Name     string
	Requests int `json:"Asked"`
	InTime   int
	Late     int
	Rejected int `json:"Refused"`
	Failed   int
	Attempts int `json:"Ran"` // that reached engines
}

// Event is a fault or a logged state change, with its time since the start of the run.
type Event struct {
	At     time.Duration
	Source string `json:"Who"` // a gateway, or "fault"
	Text   string
	Zone   string
}

// ServedShare is the served part of the weight offered in the seconds from (inclusive) to (exclusive); 1 if none was offered.
func (r *Report) ServedShare(from, to int) float64 {
	offered, worth := 0.0, 0.0
	for i := from; i < min(to, len(r.Seconds)); i++ {
		offered += r.Seconds[i].OfferedWeight
		worth += r.Seconds[i].ServedWeight
	}
	if offered <= 0 {
		return 1
	}
	return worth / offered
}

// WorkByZone is each zone's part of the work that reached engines in the seconds from (inclusive) to (exclusive).
func (r *Report) WorkByZone(from, to int) []float64 {
	out, sum := make([]float64, r.zoneCount), 0.0
	for i := from; i < min(to, len(r.Seconds)); i++ {
		for z, w := range r.Seconds[i].WorkByZone {
			out[z] += w
			sum += w
		}
	}
	for z := range out {
		out[z] /= max(sum, 1e-9)
	}
	return out
}

// Amplification is the number of attempts that reached engines per client request.
func (r *Report) Amplification() float64 {
	asked := 0
	for _, c := range r.Classes {
		asked += c.Requests
	}
	return float64(r.Attempts) / float64(max(1, asked))
}

// GatewaysEntered counts the gateways that logged the zone as entering the state.
func (r *Report) GatewaysEntered(zone, state string) int {
	seen := map[string]bool{}
	for _, e := range r.Events {
		if e.Zone == zone && strings.HasSuffix(e.Text, "> "+state) {
			seen[e.Source] = true
		}
	}
	return len(seen)
}

// String prints the whole report as text.
func (r *Report) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "share %.3f; %d tries, %d attempts at engines, %d across zones; cold engines fell %d times\n", r.ServedShare(0, len(r.Seconds)), r.ClientAttempts,
		r.Attempts, r.CrossZoneAttempts, r.ColdOverloads)
	for _, c := range r.Classes {
		fmt.Fprintf(&s, "%-8s %5d asked %5d in time %4d late %4d refused %3d failed, ran %d\n", c.Name, c.Requests, c.InTime, c.Late, c.Rejected, c.Failed, c.Attempts)
	}
	for i, sec := range r.Seconds {
		fmt.Fprintf(&s, "%3d s  %.2f  to zones", i, r.ServedShare(i, i+1))
		for _, w := range sec.WorkByZone {
			fmt.Fprintf(&s, " %5.2f", w)
		}
		fmt.Fprintf(&s, "  refused %v again %d failed %d turned %d\n", sec.Rejected, sec.RejectedRetries, sec.Failed, sec.NoGateway)
	}
	for _, e := range r.Events {
		fmt.Fprintf(&s, "%6.2f %s %s %s\n", e.At.Seconds(), e.Source, e.Zone, e.Text)
	}
	for _, x := range r.Violations {
		fmt.Fprintln(&s, "BREACH", x)
	}
	return s.String()
}

// ViolationKind is a rule that clients and engines can see broken.
type ViolationKind int

// Kinds of violations.
const (
	LostRequest         ViolationKind = iota // a request that was read has no final response, or a stored result is gone
	DuplicateExecution                       // an engine received again what may have run and must not run twice
	SentAfterDisconnect                      // an engine received a request whose client had disconnected
	PastDeadline                             // the deadline passed to an engine is later than its client's
	SentWhileDraining                        // an engine received a request from a gateway that knew it as draining or removed
	SlowStartExceeded                        // a cold engine received more than it can bear from gateways that knew of its start
	WrongResponse                            // rows that no engine produced for the request
	Crashed                                  // a process exited by itself, with an error, or not within its time after SIGTERM
	NotReady                                 // a process was not ready within 10 s
	OrderViolated                            // two requests of an ordered class with the same key ran at once
	WrongZone                                // a request ran in a zone its class must not use
	RetryBudgetExceeded                      // a gateway retried more than its settings allow
	InvariantBroken                          // a gateway logged an invariant as broken
	violationKindCount
)

var violationNames = [...]string{"lost", "duplicated", "sent_after_gone", "past_deadline", "drain_broken", "failback_broken", "wrong_answer",
	"crashed", "not_ready_10s", "order_broken", "misplaced", "ration_broken", "guarded"}

// String is the name of the figure that counts the kind.
func (v ViolationKind) String() string { return violationNames[v] }

// TotalViolations is the number of violations of all kinds.
func (r *Report) TotalViolations() (n int) {
	for _, k := range r.ViolationCounts {
		n += k
	}
	return n
}
