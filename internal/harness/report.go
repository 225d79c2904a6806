package harness

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxlane/internal/faultproxy"
	"foxlane/internal/standin"
)

// Report are what clients and engines saw of a run.
type Report struct {
	Seconds            []Second
	Classes            []ClassReport
	Violations         []string                     `json:"Breaches"` // of rules, as seen from outside
	ColdOverloads      int                          `json:"Fallen"`   // times that a cold engine was sent more than it bears
	Attempts           int                          // that reached engines
	ClientAttempts     int                          `json:"Tries"` // of clients, at gateways
	RSSMB              float64                      // of the gateways, the mean, before they end
	CPUSeconds         float64                      `json:"CPU"`     // seconds of all gateways
	AcceptedDirectives []string                     `json:"Ordered"` // directives that a gateway said to hold
	FailedDirectives   int                          `json:"Unheld"`  // orders that got another answer
	MaxReplicaEntries  int                          `json:"Copies"`  // most entries that a gateway held of all, by its log
	CrossZoneAttempts  int                          `json:"Cross"`   // attempts that reached another zone than their gateway's
	Links              map[string]faultproxy.Counts `json:"Ways"`
	ViolationCounts    [violationKindCount]int      `json:"Verdicts"`
	StoredResults      int                          `json:"Kept"` // results that gateways said to keep, and that were read again
	Pauses             int                          // of the rig itself, which can't judge what came meanwhile
	LongestPause       time.Duration
	LateResponses      int           `json:"Late"` // answers behind their time that were not lost
	SlowestDrain       time.Duration // longest time from when a gateway was told of a drain to a request of it there
	Events             []Event       // faults, and states of zones as gateways logged them, in order

	fleet         *fleet
	start         time.Time
	mu            sync.Mutex
	attempts      map[string]*clientAttempt
	lastID        uint64
	maxViolations int // breaches kept

	orderedAttempts map[orderKey][]*clientAttempt // tries of ordered classes that came to engines
	overlaps        []overlap                     // of them, such that came while another one with their key ran
	retries         map[*gateway][]retry          // further attempts, by gateway
	sends           map[*gateway][]clientSend     // tries, by gateway
}

// Second is one of a run, by when clients first asked.
type Second struct {
	OfferedWeight   float64   `json:"Offered"`
	ServedWeight    float64   `json:"Worth"`   // worth; Worth is what was served in time, and what late answers still earn
	WorkByZone      []float64 `json:"To"`      // work that reached each zone's engines, in seconds of a core
	CrossZoneWork   []float64 `json:"Foreign"` // of it, from gateways of other zones
	Rejected        []int     `json:"Refused"` // first tries, by class
	RejectedRetries int       `json:"Again"`   // refused tries that were not the first
	Failed          int
	NoGateway       int `json:"Turned"` // tries that found no gateway
}

// ClassReport are those of one class.
type ClassReport struct {
	Name     string
	Requests int `json:"Asked"`
	InTime   int
	Late     int
	Rejected int `json:"Refused"`
	Failed   int
	Attempts int `json:"Ran"`
}

// Event is something that happened, so long after the start.
type Event struct {
	At     time.Duration
	Source string `json:"Who"` // a gateway, or "fault"
	Text   string
	Zone   string
}

// clientAttempt is one request at one gateway.
type clientAttempt struct {
	id             string
	request        *request
	gateway        *gateway // nil: nobody sent it
	work           time.Duration
	gatewayZone    string // of its gateway
	engineRequests int    // times that an engine took it
	sentAt         time.Time
	deadline       time.Time
	abandonedAt    time.Time // when its client left, or killed it; zero: it has not
	firstEngineAt  time.Time // when an engine first took it
	incarnation    int64     // of its gateway
	runEnd         time.Time // when its latest run ends, if nothing ends it earlier
	answeredAt     time.Time // when its client had the final answer; zero: not yet
}

func newReport(f *fleet) *Report {
	report := &Report{fleet: f, start: time.Now(), attempts: map[string]*clientAttempt{}, maxViolations: 20, orderedAttempts: map[orderKey][]*clientAttempt{},
		retries: map[*gateway][]retry{}, sends: map[*gateway][]clientSend{}, Links: map[string]faultproxy.Counts{}}
	for _, c := range f.classes {
		report.Classes = append(report.Classes, ClassReport{Name: c.name})
	}
	return report
}

// secondOf is the second of a time. The books are locked.
func (r *Report) secondOf(t time.Time) *Second {
	i := max(0, int(t.Sub(r.start)/time.Second))
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{WorkByZone: make([]float64, len(r.fleet.Zones)), CrossZoneWork: make([]float64, len(r.fleet.Zones)),
			Rejected: make([]int, len(r.fleet.classes))})
	}
	return &r.Seconds[i]
}

func (r *Report) updateSecond(do func(*Second)) {
	r.mu.Lock()
	do(r.secondOf(time.Now()))
	r.mu.Unlock()
}

func (r *Report) recordRequest(req *request) {
	r.mu.Lock()
	r.secondOf(req.at).OfferedWeight += r.fleet.classes[req.class].weight
	r.Classes[req.class].Requests++
	r.mu.Unlock()
}

// startAttempt gives a try its id.
func (r *Report) startAttempt(req *request, g *gateway, left time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	r.ClientAttempts++
	id := fmt.Sprintf("%08x%08x", uint32(r.fleet.Seed*2654435761), r.lastID)
	now := time.Now()
	r.sends[g] = append(r.sends[g], clientSend{now, g.incarnation.Load()})
	r.attempts[id] = &clientAttempt{id: id, request: req, gateway: g, work: req.work, gatewayZone: g.zone, sentAt: now, deadline: now.Add(left), incarnation: g.incarnation.Load()}
	return id
}

// recordLate notes an answer behind its time.
func (r *Report) recordLate() {
	r.mu.Lock()
	r.LateResponses++
	r.mu.Unlock()
}

// recordResponse notes that a client had its final answer, or an end without one.
func (r *Report) recordResponse(id string) {
	r.mu.Lock()
	r.attempts[id].answeredAt = time.Now()
	r.mu.Unlock()
}

// recordAbandoned notes that a client has left its try, or killed it.
func (r *Report) recordAbandoned(id string) {
	r.mu.Lock()
	r.attempts[id].abandonedAt = time.Now()
	r.mu.Unlock()
}

// recordEngineRequest notes that an engine got a query, and returns what it is. One of an unsafe class must come once only.
func (r *Report) recordEngineRequest(ask standin.Request, e *engine, now time.Time) *clientAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := ask.ID
	attempt := r.attempts[id]
	if attempt == nil {
		if !strings.HasPrefix(id, "ff") { // of a rogue client
			r.addViolationLocked(WrongResponse, "an engine was asked for %q, which no client has sent", id)
		}
		return &clientAttempt{work: time.Millisecond}
	}
	ttl, _ := strconv.Atoi(ask.Fields["ttl"])
	r.checkEngineRequest(attempt, e, now, time.Duration(ttl)*time.Millisecond)
	r.Attempts++
	r.Classes[attempt.request.class].Attempts++
	second := r.secondOf(time.Now())
	for i, z := range r.fleet.Zones {
		if z.Name == e.zone {
			if second.WorkByZone[i] += attempt.work.Seconds(); z.Name != attempt.gatewayZone {
				second.CrossZoneWork[i] += attempt.work.Seconds()
				r.CrossZoneAttempts++
			}
		}
	}
	class := &r.fleet.classes[attempt.request.class]
	if attempt.engineRequests++; attempt.engineRequests == 1 {
		attempt.firstEngineAt = now
	}
	r.checkClassRules(attempt, e, now)
	outside := class.idempotencyWindow > 0 && now.Sub(attempt.firstEngineAt) > class.idempotencyWindow+socketSlack+harnessSlack+r.fleet.slowest(attempt.gateway.party, e.party)
	if attempt.engineRequests > 1 && (class.nonIdempotent || outside) {
		r.addViolationLocked(DuplicateExecution, "%s of class %s came to an engine %d times, %v apart", id, class.name, attempt.engineRequests, now.Sub(attempt.firstEngineAt).Round(time.Millisecond))
	}
	return attempt
}

// recordEngineRejection notes that an engine has not taken what it was asked for: it never ran.
func (r *Report) recordEngineRejection(attempt *clientAttempt) {
	r.mu.Lock()
	attempt.engineRequests--
	r.mu.Unlock()
}

func (r *Report) recordServed(req *request, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.served {
		return
	}
	req.served = true
	class := r.fleet.classes[req.class]
	if took <= class.latencyObjective+time.Duration(objectiveStretch*float64(req.work)) {
		r.secondOf(req.at).ServedWeight += class.weight
		r.Classes[req.class].InTime++
		return
	}
	r.secondOf(req.at).ServedWeight += 0.2 * class.weight
	r.Classes[req.class].Late++
}

func (r *Report) recordRejected(req *request, harmless, resent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := r.secondOf(time.Now())
	switch {
	case harmless && resent:
		second.RejectedRetries++
		return
	case harmless:
		second.Rejected[req.class]++
		r.Classes[req.class].Rejected++
		return
	}
	second.Failed++
	r.Classes[req.class].Failed++
}

func (r *Report) addUnclassified(format string, args ...any) {
	r.mu.Lock()
	r.appendViolationLocked(format, args...)
	r.mu.Unlock()
}

func (r *Report) appendViolationLocked(format string, args ...any) {
	if len(r.Violations) < r.maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf("at %.2f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (r *Report) recordFault(fault *Fault) {
	r.mu.Lock()
	r.Events = append(r.Events, Event{At: time.Since(r.start), Source: "fault", Text: strings.TrimSpace(fault.Kind + " " + fault.Target + fault.From + " " + fault.To), Zone: fault.Target})
	r.mu.Unlock()
}

// recordLogEvents takes the states of zones, and what became of its talk, from a gateway's log.
func (r *Report) recordLogEvents(g *gateway) {
	for _, line := range strings.Split(g.log.String(), "\n") {
		var l struct {
			Msg, Zone, From, To string
			TS                  string
			Member              string
			Entries             int
		}
		if json.Unmarshal([]byte(line), &l) != nil {
			continue
		}
		text := ""
		switch l.Msg {
		case "zone":
			text = l.From + " > " + l.To
		case "members: joined", "members: left", "members: leaving", "members: duplicate name":
			text = strings.TrimSpace(l.Msg + " " + l.Member)
		case "replica":
			r.MaxReplicaEntries = max(r.MaxReplicaEntries, l.Entries)
			continue
		default:
			continue
		}
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", l.TS)
		if err != nil {
			continue
		}
		r.Events = append(r.Events, Event{At: at.Sub(r.start), Source: g.name, Text: text, Zone: l.Zone})
	}
}

// ServedShare is the part of the worth offered from one second to another that was served.
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

// WorkByZone are how the work that reached engines from one second to another spread over the zones.
func (r *Report) WorkByZone(from, to int) []float64 {
	out, sum := make([]float64, len(r.fleet.Zones)), 0.0
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

// Amplification is attempts that reached engines over requests of clients.
func (r *Report) Amplification() float64 {
	asked := 0
	for _, c := range r.Classes {
		asked += c.Requests
	}
	return float64(r.Attempts) / float64(max(1, asked))
}

// GatewaysEntered counts the gateways at which a zone has entered a state.
func (r *Report) GatewaysEntered(zone, state string) int {
	seen := map[string]bool{}
	for _, e := range r.Events {
		if e.Zone == zone && strings.HasSuffix(e.Text, "> "+state) {
			seen[e.Source] = true
		}
	}
	return len(seen)
}

// String tells all on a page.
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
