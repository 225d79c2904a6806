package harness

import (
	"fmt"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// Report is what clients and engines observed during a run. The JSON keys are older than the field names, and are
// kept for programs that read the output.
type Report struct {
	Seconds            []Second
	Classes            []ClassReport
	Violations         []string                     `json:"Breaches"` // texts of the first maxViolations violations
	ColdOverloads      int                          `json:"Fallen"`   // overloads of cold engines
	Attempts           int                          // attempts that reached engines
	ClientAttempts     int                          `json:"Tries"` // requests that clients sent, including retries
	RSSMB              float64                      // mean over the gateways, before they stop
	PeakFraction       float64                      // highest resident peak of a process over its memory limit
	CPUSeconds         float64                      `json:"CPU"`     // CPU time of all gateways
	AcceptedDirectives []string                     `json:"Ordered"` // directives that a gateway confirmed as in effect
	FailedDirectives   int                          `json:"Unheld"`  // directives that a gateway did not confirm
	MaxReplicaEntries  int                          `json:"Copies"`  // most replicated entries that a gateway logged
	CrossZoneAttempts  int                          `json:"Cross"`   // attempts at engines outside their gateway's zone
	Links              map[string]faultproxy.Counts `json:"Ways"`    // by "from > to"
	ViolationCounts    [violationKindCount]int      `json:"Verdicts"`
	StoredResults      int                          `json:"Kept"` // results confirmed as stored and checked after a kill
	Pauses             int                          // of the harness process, which can't check what arrives meanwhile
	LongestPause       time.Duration
	LateResponses      int           `json:"Late"` // responses that arrived after their deadline but do not count as lost
	SlowestDrain       time.Duration // longest time from a gateway's notification of a drain to its last attempt there
	Events             []Event       // faults, and zone states and membership changes that gateways logged, by time

	zoneCount int
}

// Second holds the figures of one second of the run.
type Second struct {
	OfferedWeight   float64   `json:"Offered"` // priority weight of the requests first sent in this second
	ServedWeight    float64   `json:"Worth"`   // weight that those requests earned; a late response earns lateValue of it
	WorkByZone      []float64 `json:"To"`      // work that reached each zone's engines, in core seconds
	CrossZoneWork   []float64 `json:"Foreign"` // the part of WorkByZone that gateways of other zones sent
	Rejected        []int     `json:"Refused"` // first attempts that were rejected, by class
	RejectedRetries int       `json:"Again"`
	Failed          int
	NoGateway       int `json:"Turned"` // attempts that could not connect to a gateway
}

// ClassReport holds the outcomes of the requests of one class.
type ClassReport struct {
	Name     string
	Requests int `json:"Asked"`
	InTime   int
	Late     int
	Rejected int `json:"Refused"`
	Failed   int
	Attempts int `json:"Ran"` // attempts that reached engines
}

// Event is a fault, an outcome of a directive, or a state change that a gateway logged. At is the time since the
// start of the run.
type Event struct {
	At     time.Duration
	Source string `json:"Who"` // the name of a gateway, or "fault"
	Text   string
	Zone   string
}

// ServedShare returns the fraction of the offered weight that was served in the seconds from (inclusive) to
// (exclusive); 1 if none was offered.
func (r *Report) ServedShare(from, to int) float64 {
	offered, served := 0.0, 0.0
	for i := from; i < min(to, len(r.Seconds)); i++ {
		offered += r.Seconds[i].OfferedWeight
		served += r.Seconds[i].ServedWeight
	}
	if offered <= 0 {
		return 1
	}
	return served / offered
}

// WorkByZone returns each zone's fraction of the work that reached engines in the seconds from (inclusive) to
// (exclusive).
func (r *Report) WorkByZone(from, to int) []float64 {
	shares, sum := make([]float64, r.zoneCount), 0.0
	for i := from; i < min(to, len(r.Seconds)); i++ {
		for z, w := range r.Seconds[i].WorkByZone {
			shares[z] += w
			sum += w
		}
	}
	for z := range shares {
		shares[z] /= max(sum, 1e-9)
	}
	return shares
}

// Amplification returns the number of attempts that reached engines per client request.
func (r *Report) Amplification() float64 {
	requests := 0
	for _, c := range r.Classes {
		requests += c.Requests
	}
	return float64(r.Attempts) / float64(max(1, requests))
}

// GatewaysEntered returns how many gateways logged that the zone entered the state.
func (r *Report) GatewaysEntered(zone, state string) int {
	seen := map[string]bool{}
	for _, e := range r.Events {
		if e.Zone == zone && strings.HasSuffix(e.Text, "> "+state) {
			seen[e.Source] = true
		}
	}
	return len(seen)
}

// String returns the whole report as text.
func (r *Report) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "served share %.3f; %d client attempts, %d attempts at engines, %d across zones; %d overloads of cold engines\n", r.ServedShare(0, len(r.Seconds)), r.ClientAttempts,
		r.Attempts, r.CrossZoneAttempts, r.ColdOverloads)
	for _, c := range r.Classes {
		fmt.Fprintf(&s, "%-8s %5d requests %5d in time %4d late %4d rejected %3d failed, %d attempts at engines\n", c.Name, c.Requests, c.InTime, c.Late, c.Rejected, c.Failed, c.Attempts)
	}
	for i, sec := range r.Seconds {
		fmt.Fprintf(&s, "%3d s  %.2f  work by zone", i, r.ServedShare(i, i+1))
		for _, w := range sec.WorkByZone {
			fmt.Fprintf(&s, " %5.2f", w)
		}
		fmt.Fprintf(&s, "  rejected %v retries rejected %d failed %d no gateway %d\n", sec.Rejected, sec.RejectedRetries, sec.Failed, sec.NoGateway)
	}
	for _, e := range r.Events {
		fmt.Fprintf(&s, "%6.2f %s %s %s\n", e.At.Seconds(), e.Source, e.Zone, e.Text)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(&s, "BREACH", violation)
	}
	return s.String()
}

// ViolationKind is a rule whose violation clients, engines or the harness can observe.
type ViolationKind int

// Kinds of violations.
const (
	LostRequest         ViolationKind = iota // a request that was read got no response, or a stored result is missing
	DuplicateExecution                       // an engine received a request again that may have run and must not run twice
	SentAfterDisconnect                      // an engine received a request whose client had disconnected
	PastDeadline                             // the deadline passed to an engine is later than its client's
	SentWhileDraining                        // a gateway sent a request to an engine after it was notified of its drain
	SlowStartExceeded                        // gateways that were notified of an engine's start overloaded it while cold
	WrongResponse                            // a client got rows of another request, or an engine an unknown request
	Crashed                                  // a process exited by itself or with an error, or not in time after SIGTERM
	NotReady                                 // a process was not ready within 10 s of its start
	OrderViolated                            // requests with one order key overlapped, or one began in a quarantine
	WrongZone                                // a request ran in a zone its class must not use
	RetryBudgetExceeded                      // a gateway retried more than its settings allow
	InvariantBroken                          // a gateway logged a broken invariant
	MemoryExceeded                           // the resident peak of a process passed its memory limit
	violationKindCount
)

var violationNames = [...]string{"lost", "duplicated", "sent_after_gone", "past_deadline", "drain_broken", "failback_broken", "wrong_answer",
	"crashed", "not_ready_10s", "order_broken", "misplaced", "ration_broken", "guarded", "memory_limit"}

// String returns the name of the figure that counts the violations of the kind.
func (v ViolationKind) String() string { return violationNames[v] }

// TotalViolations returns the number of violations of all kinds.
func (r *Report) TotalViolations() (n int) {
	for _, k := range r.ViolationCounts {
		n += k
	}
	return n
}
