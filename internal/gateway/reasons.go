package gateway

import "foxlane/rules"

// This file defines the reasons of connection closes and request ends, and the outcomes of requests. Their names
// appear in the log and are explained in docs/oncall.md.

// CloseReason is the reason of a connection's end.
type CloseReason int

// The close reasons of client connections, followed by those of engine connections.
const (
	CloseQuit              CloseReason = iota // the client sent COM_QUIT
	CloseByPeer                               // the client closed the connection, or it broke
	CloseKilled                               // the session was killed by KILL
	CloseQueryKilled                          // the session cannot continue after KILL QUERY
	CloseIdle                                 // idle for longer than ClientIdleTimeout
	CloseIdleQuota                            // too many idle sessions
	CloseNoCommand                            // no command was received in time
	CloseEvicted                              // evicted to make room for a new connection
	CloseTooManyClients                       // the connection limit was reached on accept
	CloseAdmission                            // evicted by admission control
	CloseProtocolError                        // the client violated the protocol
	CloseUnread                               // its results were not read while memory was short
	CloseShutdown                             // the gateway shuts down
	CloseEngineIdle                           // idle for almost as long as engines keep connections open
	CloseEngineRetired                        // its engine's process was replaced or removed, or was silent on it
	CloseEngineMalformed                      // an answer was malformed or incomplete
	CloseEngineUnread                         // the draining or removed engine left writes unread
	CloseEngineLost                           // the engine closed the connection, or it broke
	CloseEngineUnreachable                    // the dial failed
	CloseLocalExhaustion                      // the dial failed because a local resource was exhausted
	closeReasonCount                          // number of reasons
)

var closeReasonNames = [...]string{
	CloseQuit:              "quit",
	CloseByPeer:            "peer_closed",
	CloseKilled:            "killed",
	CloseQueryKilled:       "query_killed",
	CloseIdle:              "idle",
	CloseIdleQuota:         "idle_quota",
	CloseNoCommand:         "no_command",
	CloseEvicted:           "evicted",
	CloseTooManyClients:    "too_many_clients",
	CloseAdmission:         "admission",
	CloseProtocolError:     "protocol_error",
	CloseUnread:            "unread",
	CloseShutdown:          "shutdown",
	CloseEngineIdle:        "engine_idle",
	CloseEngineRetired:     "engine_retired",
	CloseEngineMalformed:   "engine_malformed",
	CloseEngineUnread:      "engine_unread",
	CloseEngineLost:        "engine_lost",
	CloseEngineUnreachable: "engine_unreachable",
	CloseLocalExhaustion:   "engine_local_exhaustion",
}

// String returns the name of the reason as logged.
func (r CloseReason) String() string { return closeReasonNames[r] }

// allowsUnanswered reports whether a connection may be closed for this reason while its request is unanswered,
// because its client requested that, violated the protocol or disconnected.
func (r CloseReason) allowsUnanswered() bool {
	return r == CloseQuit || r == CloseByPeer || r == CloseKilled || r == CloseQueryKilled || r == CloseProtocolError
}

// EndReason is the reason of a request's outcome.
type EndReason int

// The end reasons of requests. moduleReasons maps those of the decision module from rules.FailureReason.
const (
	EndServed              EndReason = iota
	EndClientLeft                    // the client disconnected, or the query was killed
	EndTooManyInFlight               // the limit of requests or bytes in flight was reached
	EndMemory                        // shed because the resident memory is near its limit
	EndDirective                     // an operator directive rejects the class
	EndZonePlan                      // shed by the zone controller
	EndAdmission                     // rejected by admission control
	EndNoResultCapacity              // no capacity to store the result
	EndResultLost                    // the result could not be stored
	EndOverCapacity                  // from the module: its queue is full, and this request would be served last
	EndDeadlineUnreachable           // from the module: the request cannot finish by its deadline
	EndLate                          // from the module: the request would be late, when its answer has no value
	EndAttemptsExhausted             // from the module: no further attempt is allowed
	EndAttemptOverdue                // from the module: the attempt is overdue, and no other is allowed
)

var endReasonNames = [...]string{
	EndServed:              "served",
	EndClientLeft:          "client_left",
	EndTooManyInFlight:     "too_many_in_flight",
	EndMemory:              "memory",
	EndDirective:           "directive",
	EndZonePlan:            "zone_plan",
	EndAdmission:           "admission",
	EndNoResultCapacity:    "no_result_capacity",
	EndResultLost:          "result_lost",
	EndOverCapacity:        "over_capacity",
	EndDeadlineUnreachable: "deadline_unreachable",
	EndLate:                "late",
	EndAttemptsExhausted:   "attempts_exhausted",
	EndAttemptOverdue:      "attempt_overdue",
}

// String returns the name of the reason as logged.
func (r EndReason) String() string { return endReasonNames[r] }

// moduleReasons maps the module's failure reasons to end reasons.
var moduleReasons = map[rules.FailureReason]EndReason{rules.ReasonQueueFull: EndOverCapacity, rules.ReasonDeadline: EndDeadlineUnreachable,
	rules.ReasonTooLate: EndLate, rules.ReasonAttemptsExhausted: EndAttemptsExhausted, rules.ReasonOverdue: EndAttemptOverdue}

// requestOutcome is the way in which a request ends.
type requestOutcome int

const (
	outcomeServed requestOutcome = iota
	outcomeRejected
	outcomeFailed
	outcomeAbandoned // ended without an answer
)

var outcomeNames = [...]string{outcomeServed: "served", outcomeRejected: "rejected", outcomeFailed: "failed", outcomeAbandoned: "abandoned"}

// String returns the name of the outcome as logged.
func (o requestOutcome) String() string { return outcomeNames[o] }

// statusNames are the attempt statuses as logged.
var statusNames = map[rules.Status]string{rules.StatusOK: "ok", rules.StatusError: "error", rules.StatusRejected: "rejected",
	rules.StatusTimeout: "timeout", rules.StatusConnectFailed: "connect_failed", rules.StatusReset: "reset",
	rules.StatusCancelled: "cancelled", rules.StatusNotExecuted: "never_executed"}
