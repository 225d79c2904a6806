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

// clientAttempt is one attempt at a client's request, sent to one gateway.
type clientAttempt struct {
	id             string
	request        *request
	gateway        *gateway // nil: the request is a rogue client's or unknown
	work           time.Duration
	gatewayZone    string
	engineRequests int // how many times engines received it without rejecting it
	sentAt         time.Time
	deadline       time.Time
	abandonedAt    time.Time // when its client disconnected or killed the query; zero: neither
	firstEngineAt  time.Time // when an engine first received it
	incarnation    int64     // of its gateway when it was sent
	runEnd         time.Time // when its latest run at an engine ends, unless it ends early
	answeredAt     time.Time // when its client got the final response; zero: not yet
}

// maxViolations is how many violation texts a report keeps. The counts include all violations.
const maxViolations = 20

// recorder fills the report of a run with what clients and engines see, and keeps the attempts that the checks need.
type recorder struct {
	Report // guarded by mu until the run has ended

	fleet *fleet
	start time.Time

	mu              sync.Mutex
	attempts        map[string]*clientAttempt // by request id
	lastAttemptID   uint64
	orderedAttempts map[orderKey][]*clientAttempt // attempts of ordered classes that reached engines
	overlaps        []overlap                     // attempts that reached an engine while another with their key ran
	retries         map[*gateway][]countedAttempt // attempts at engines beyond the first for a request
	sends           map[*gateway][]countedAttempt // attempts that clients sent
	rogueQueries    map[string]rogueQuery         // rogue clients' queries that have reached no engine yet, by request id
}

// rogueQuery is a valid query of a rogue client, which does not wait for the answer.
type rogueQuery struct {
	gateway *gateway
	sent    countedAttempt
}

func newRecorder(f *fleet) *recorder {
	r := &recorder{Report: Report{Links: map[string]faultproxy.Counts{}, zoneCount: len(f.Zones)}, fleet: f, start: time.Now(),
		attempts: map[string]*clientAttempt{}, orderedAttempts: map[orderKey][]*clientAttempt{}, retries: map[*gateway][]countedAttempt{}, sends: map[*gateway][]countedAttempt{},
		rogueQueries: map[string]rogueQuery{}}
	for _, c := range f.classes {
		r.Classes = append(r.Classes, ClassReport{Name: c.name})
	}
	return r
}

// secondOf returns the report's entry for the second of the run that contains t. The caller holds r.mu.
func (r *recorder) secondOf(t time.Time) *Second {
	i := max(0, int(t.Sub(r.start)/time.Second))
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{WorkByZone: make([]float64, len(r.fleet.Zones)), CrossZoneWork: make([]float64, len(r.fleet.Zones)),
			Rejected: make([]int, len(r.fleet.classes))})
	}
	return &r.Seconds[i]
}

// updateSecond applies a change to the report's entry for the current second.
func (r *recorder) updateSecond(change func(*Second)) {
	r.mu.Lock()
	change(r.secondOf(time.Now()))
	r.mu.Unlock()
}

// recordRequest records a client's request before its first attempt.
func (r *recorder) recordRequest(req *request) {
	r.mu.Lock()
	r.secondOf(req.at).OfferedWeight += r.fleet.classes[req.class].weight
	r.Classes[req.class].Requests++
	r.mu.Unlock()
}

// startAttempt records an attempt that a client is about to send, and returns its id.
func (r *recorder) startAttempt(req *request, g *gateway, left time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAttemptID++
	r.ClientAttempts++
	id := fmt.Sprintf("%08x%08x", uint32(r.fleet.Seed*2654435761), r.lastAttemptID)
	now := time.Now()
	r.sends[g] = append(r.sends[g], countedAttempt{now, g.incarnation.Load()})
	r.attempts[id] = &clientAttempt{id: id, request: req, gateway: g, work: req.work, gatewayZone: g.zone, sentAt: now, deadline: now.Add(left), incarnation: g.incarnation.Load()}
	return id
}

// startRogueQuery records a query that a rogue client is about to send.
func (r *recorder) startRogueQuery(id string, g *gateway) {
	r.mu.Lock()
	r.rogueQueries[id] = rogueQuery{g, countedAttempt{time.Now(), g.incarnation.Load()}}
	r.mu.Unlock()
}

// countRogueQuery counts a rogue client's query that reached an engine as one that its gateway accepted, since each
// accepted query adds to the retry budget. Whether the gateway has read a query that reached no engine is unknown to
// the harness. The caller holds r.mu.
func (r *recorder) countRogueQuery(id string) {
	if query, ok := r.rogueQueries[id]; ok {
		r.sends[query.gateway] = append(r.sends[query.gateway], query.sent)
		delete(r.rogueQueries, id)
	}
}

// recordLate counts a response that arrived after its deadline.
func (r *recorder) recordLate() {
	r.mu.Lock()
	r.LateResponses++
	r.mu.Unlock()
}

// recordResponse marks an attempt as finished for its client, with or without a final response.
func (r *recorder) recordResponse(id string) {
	r.mu.Lock()
	r.attempts[id].answeredAt = time.Now()
	r.mu.Unlock()
}

// recordAbandoned marks an attempt whose client has disconnected or sent KILL QUERY.
func (r *recorder) recordAbandoned(id string) {
	r.mu.Lock()
	r.attempts[id].abandonedAt = time.Now()
	r.mu.Unlock()
}

// recordEngineRequest records and checks a request that reached an engine, and returns the client attempt it belongs
// to.
func (r *recorder) recordEngineRequest(query standin.Request, e *engine, now time.Time) *clientAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := query.ID
	attempt := r.attempts[id]
	if attempt == nil {
		if !strings.HasPrefix(id, rogueIDPrefix) {
			r.addViolationLocked(WrongResponse, "an engine received request %q, which no client sent", id)
		}
		r.countRogueQuery(id)
		return &clientAttempt{work: time.Millisecond}
	}
	ttl, _ := strconv.Atoi(query.Fields["ttl"])
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
	if attempt.engineRequests++; attempt.engineRequests == 1 {
		attempt.firstEngineAt = now
	}
	r.checkClassRules(attempt, e, now)
	r.checkDuplicate(attempt, e, now)
	return attempt
}

// recordEngineRejection subtracts a request that an engine rejected without running it from the attempt's count.
func (r *recorder) recordEngineRejection(attempt *clientAttempt) {
	r.mu.Lock()
	attempt.engineRequests--
	r.mu.Unlock()
}

// recordServed records that a request was served after the given time. Only the first call for a request counts, as
// more than one of its attempts may be answered.
func (r *recorder) recordServed(req *request, took time.Duration) {
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
	r.secondOf(req.at).ServedWeight += lateValue * class.weight
	r.Classes[req.class].Late++
}

// recordRejected records an error response. A retryable one, which promises that nothing ran, counts as a rejection,
// any other one as a failure.
func (r *recorder) recordRejected(req *request, retryable, resent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := r.secondOf(time.Now())
	switch {
	case retryable && resent:
		second.RejectedRetries++
		return
	case retryable:
		second.Rejected[req.class]++
		r.Classes[req.class].Rejected++
		return
	}
	second.Failed++
	r.Classes[req.class].Failed++
}

// addUnclassified adds the text of a violation that is of no kind and therefore not in the counts.
func (r *recorder) addUnclassified(format string, args ...any) {
	r.mu.Lock()
	r.appendViolationLocked(false, format, args...)
	r.mu.Unlock()
}

// appendViolationLocked keeps the text of a violation, if there is room or it is the first of its kind.
func (r *recorder) appendViolationLocked(first bool, format string, args ...any) {
	if len(r.Violations) < maxViolations || first {
		r.Violations = append(r.Violations, fmt.Sprintf("at %.2f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// recordFault adds a fault that is about to be injected to the events.
func (r *recorder) recordFault(fault *Fault) {
	r.mu.Lock()
	r.Events = append(r.Events, Event{At: time.Since(r.start), Source: "fault", Text: strings.TrimSpace(fault.Kind + " " + fault.Target + fault.From + " " + fault.To), Zone: fault.Target})
	r.mu.Unlock()
}

// maxUnexplainedKB is how much of its heap a gateway need not explain in its log: 3 MB since its estimates are that exact,
// and 2 MB that the two buffers of a fault gateway's log have.
const maxUnexplainedKB = 5 << 10

// recordLogEvents adds zone states and membership changes from a gateway's log to the events. It runs after the
// gateways have stopped.
func (r *recorder) recordLogEvents(g *gateway) {
	for _, line := range strings.Split(g.log.String(), "\n") {
		var entry struct {
			Msg, Zone, From, To string
			TS                  string
			Member              string
			Entries             int
			UnexplainedKB       int `json:"unexplained_kb"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil {
			continue
		}
		text := ""
		switch entry.Msg {
		case "zone":
			text = entry.From + " > " + entry.To
		case "members: joined", "members: left", "members: leaving", "members: duplicate name":
			text = strings.TrimSpace(entry.Msg + " " + entry.Member)
		case "memory":
			if entry.UnexplainedKB > maxUnexplainedKB && !g.fleet.process.Instrumented {
				r.addViolation(MemoryExceeded, "%s does not know what %d KB of its heap are: %.400s", g.name, entry.UnexplainedKB, line)
			}
			continue
		case "replica":
			r.MaxReplicaEntries = max(r.MaxReplicaEntries, entry.Entries)
			continue
		default:
			continue
		}
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", entry.TS)
		if err != nil {
			continue
		}
		r.Events = append(r.Events, Event{At: at.Sub(r.start), Source: g.name, Text: text, Zone: entry.Zone})
	}
}

// addViolation counts a violation of a kind and keeps its text, up to maxViolations texts.
func (r *recorder) addViolation(kind ViolationKind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(kind, format, args...)
}

func (r *recorder) addViolationLocked(kind ViolationKind, format string, args ...any) {
	r.ViolationCounts[kind]++
	r.appendViolationLocked(r.ViolationCounts[kind] == 1, kind.String()+": "+format, args...)
}

// recordRunEnd records when an attempt's run at an engine will end.
func (r *recorder) recordRunEnd(attempt *clientAttempt, until time.Time) {
	r.mu.Lock()
	attempt.runEnd = until
	r.mu.Unlock()
}
