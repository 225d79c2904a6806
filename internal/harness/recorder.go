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

// clientAttempt is one attempt of a client's request, at one gateway.
type clientAttempt struct {
	id             string
	request        *request
	gateway        *gateway // nil: no client sent it
	work           time.Duration
	gatewayZone    string
	engineRequests int // times an engine accepted it
	sentAt         time.Time
	deadline       time.Time
	abandonedAt    time.Time // when its client disconnected or killed it; zero: it has not
	firstEngineAt  time.Time // when an engine first received it
	incarnation    int64     // of its gateway, when it was sent
	runEnd         time.Time // when its latest run ends, if nothing ends it earlier
	answeredAt     time.Time // when its client had the final response; zero: not yet
}

// maxViolations is how many violation texts a report keeps; the counts go on.
const maxViolations = 20

// recorder fills the report of a run from what clients and engines see, and keeps the attempts that its checks need.
type recorder struct {
	Report // guarded by mu until the run has ended

	fleet *fleet
	start time.Time

	mu              sync.Mutex
	attempts        map[string]*clientAttempt // by request id
	lastID          uint64
	orderedAttempts map[orderKey][]*clientAttempt // of ordered classes, that reached engines
	overlaps        []overlap                     // attempts that reached an engine while another with their key ran
	retries         map[*gateway][]gatewayEvent   // attempts at engines beyond the first
	sends           map[*gateway][]gatewayEvent   // attempts of clients
	rogueQueries    map[string]rogueQuery         // that rogue clients have sent and no engine has got yet, by request id
}

// rogueQuery is a query of a rogue client: a good one, whose client does not wait for its answer.
type rogueQuery struct {
	gateway *gateway
	sent    gatewayEvent
}

func newRecorder(f *fleet) *recorder {
	r := &recorder{Report: Report{Links: map[string]faultproxy.Counts{}, zoneCount: len(f.Zones)}, fleet: f, start: time.Now(),
		attempts: map[string]*clientAttempt{}, orderedAttempts: map[orderKey][]*clientAttempt{}, retries: map[*gateway][]gatewayEvent{}, sends: map[*gateway][]gatewayEvent{},
		rogueQueries: map[string]rogueQuery{}}
	for _, c := range f.classes {
		r.Classes = append(r.Classes, ClassReport{Name: c.name})
	}
	return r
}

// secondOf is the entry of the second that a time lies in. r.mu is held.
func (r *recorder) secondOf(t time.Time) *Second {
	i := max(0, int(t.Sub(r.start)/time.Second))
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{WorkByZone: make([]float64, len(r.fleet.Zones)), CrossZoneWork: make([]float64, len(r.fleet.Zones)),
			Rejected: make([]int, len(r.fleet.classes))})
	}
	return &r.Seconds[i]
}

// updateSecond changes the entry of the current second.
func (r *recorder) updateSecond(do func(*Second)) {
	r.mu.Lock()
	do(r.secondOf(time.Now()))
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
	r.lastID++
	r.ClientAttempts++
	id := fmt.Sprintf("%08x%08x", uint32(r.fleet.Seed*2654435761), r.lastID)
	now := time.Now()
	r.sends[g] = append(r.sends[g], gatewayEvent{now, g.incarnation.Load()})
	r.attempts[id] = &clientAttempt{id: id, request: req, gateway: g, work: req.work, gatewayZone: g.zone, sentAt: now, deadline: now.Add(left), incarnation: g.incarnation.Load()}
	return id
}

// startRogueQuery records a query that a rogue client is about to send.
func (r *recorder) startRogueQuery(id string, g *gateway) {
	r.mu.Lock()
	r.rogueQueries[id] = rogueQuery{g, gatewayEvent{time.Now(), g.incarnation.Load()}}
	r.mu.Unlock()
}

// countRogueQuery counts a rogue client's query that reached an engine among those that its gateway has taken: each that is taken adds to
// the retry budget, and of others that a rogue client sent nobody but the gateway knows whether it has read them. r.mu is held.
func (r *recorder) countRogueQuery(id string) {
	if query, ok := r.rogueQueries[id]; ok {
		r.sends[query.gateway] = append(r.sends[query.gateway], query.sent)
		delete(r.rogueQueries, id)
	}
}

// recordLate counts a response after its deadline.
func (r *recorder) recordLate() {
	r.mu.Lock()
	r.LateResponses++
	r.mu.Unlock()
}

// recordResponse marks an attempt as over for its client, with a final response or without one.
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

// recordEngineRequest records and checks a request that reached an engine, and returns the client attempt it belongs to.
func (r *recorder) recordEngineRequest(query standin.Request, e *engine, now time.Time) *clientAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := query.ID
	attempt := r.attempts[id]
	if attempt == nil {
		if !strings.HasPrefix(id, rogueIDPrefix) {
			r.addViolationLocked(WrongResponse, "an engine was asked for %q, which no client has sent", id)
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

// recordEngineRejection takes back an engine request that the engine rejected without running it.
func (r *recorder) recordEngineRejection(attempt *clientAttempt) {
	r.mu.Lock()
	attempt.engineRequests--
	r.mu.Unlock()
}

// recordServed records a request's result. Only the first one counts: a retry may be answered after the first attempt was.
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

// recordRejected records a rejection. One that says that nothing ran (harmless) counts as rejected, any other as failed.
func (r *recorder) recordRejected(req *request, harmless, resent bool) {
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

// addUnclassified adds a violation that no kind counts.
func (r *recorder) addUnclassified(format string, args ...any) {
	r.mu.Lock()
	r.appendViolationLocked(format, args...)
	r.mu.Unlock()
}

func (r *recorder) appendViolationLocked(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf("at %.2f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// recordFault adds a fault that is about to begin to the events.
func (r *recorder) recordFault(fault *Fault) {
	r.mu.Lock()
	r.Events = append(r.Events, Event{At: time.Since(r.start), Source: "fault", Text: strings.TrimSpace(fault.Kind + " " + fault.Target + fault.From + " " + fault.To), Zone: fault.Target})
	r.mu.Unlock()
}

// recordLogEvents adds zone states and membership changes from a gateway's log to the events. The run has ended.
func (r *recorder) recordLogEvents(g *gateway) {
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

// addViolation counts a violation of a kind and keeps its text.
func (r *recorder) addViolation(v ViolationKind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(v, format, args...)
}

func (r *recorder) addViolationLocked(v ViolationKind, format string, args ...any) {
	r.ViolationCounts[v]++
	r.appendViolationLocked(v.String()+": "+format, args...)
}

// recordRun sets when an attempt's run at an engine will end.
func (r *recorder) recordRun(attempt *clientAttempt, until time.Time) {
	r.mu.Lock()
	attempt.runEnd = until
	r.mu.Unlock()
}
