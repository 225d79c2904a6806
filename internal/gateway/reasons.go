package gateway

import "foxlane/rules"

// This file names why connections are closed, why requests are rejected or fail, and how they end. Operators find each of these words
// in the log; docs/oncall.md explains them.

// CloseReason is why a connection ends.
type CloseReason int

// Reasons why clients' connections end, then those of connections to engines.
const (
	CloseQuit              CloseReason = iota // the client sent COM_QUIT
	CloseByPeer                               // the client closed it, or it broke
	CloseKilled                               // KILL of the session
	CloseQueryKilled                          // the session can't go on after KILL QUERY
	CloseIdle                                 // idle for longer than clients keep connections
	CloseIdleQuota                            // too many sessions are idle
	CloseNoCommand                            // no first command came in time
	CloseEvicted                              // closed to make room for a new connection
	CloseTooManyClients                       // it came when the limit of connections was reached
	CloseAdmission                            // admission control evicted it
	CloseProtocolError                        // the client broke the protocol
	CloseShutdown                             // the process ends
	CloseEngineIdle                           // idle for almost as long as engines keep connections
	CloseEngineRetired                        // its engine is another process now, has gone, or was silent on it
	CloseEngineMalformed                      // an answer on it could not be read
	CloseEngineUnread                         // its engine drains or has gone, and had not read what was written
	CloseEngineLost                           // the engine closed it, or it broke
	CloseEngineUnreachable                    // the dial failed
	CloseLocalExhaustion                      // the dial failed because a resource of this machine was exhausted
	closeReasons
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
	CloseShutdown:          "shutdown",
	CloseEngineIdle:        "engine_idle",
	CloseEngineRetired:     "engine_retired",
	CloseEngineMalformed:   "engine_malformed",
	CloseEngineUnread:      "engine_unread",
	CloseEngineLost:        "engine_lost",
	CloseEngineUnreachable: "engine_unreachable",
	CloseLocalExhaustion:   "engine_local_exhaustion",
}

// String is the reason as the log has it.
func (r CloseReason) String() string { return closeReasonNames[r] }

// allowsUnanswered reports whether a connection may end for this reason while its request has no answer: its client wanted that, broke
// the protocol or has gone.
func (r CloseReason) allowsUnanswered() bool {
	return r == CloseQuit || r == CloseByPeer || r == CloseKilled || r == CloseQueryKilled || r == CloseProtocolError
}

// EndReason is why a request has the answer that it has.
type EndReason int

// Reasons of rejections and failures. Those of the decision module come from rules.FinishReason.
const (
	EndServed              EndReason = iota
	EndClientLeft                    // it closed its connection or killed its query
	EndTooManyInFlight               // the limits of requests or bytes in flight are reached
	EndDirective                     // an operators' directive rejects the class
	EndZonePlan                      // the plan for the loss of a zone sheds it
	EndAdmission                     // admission control
	EndNoResultCapacity              // no capacity to store its result
	EndResultLost                    // its result could not be stored
	EndOverCapacity                  // the module: its queue is full, and this request would be served last
	EndDeadlineUnreachable           // the module: it can't finish by its deadline
	EndLate                          // the module: it would be late, and is worth nothing then
	EndAttemptsExhausted             // the module: no further attempt is allowed
	EndAttemptOverdue                // the module: its attempt is overdue, and no other is allowed
)

var endReasonNames = [...]string{
	EndServed:              "served",
	EndClientLeft:          "client_left",
	EndTooManyInFlight:     "too_many_in_flight",
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

// String is the reason as the log has it.
func (r EndReason) String() string { return endReasonNames[r] }

var moduleReasons = map[rules.FailureReason]EndReason{rules.ReasonQueueFull: EndOverCapacity, rules.ReasonDeadline: EndDeadlineUnreachable,
	rules.ReasonTooLate: EndLate, rules.ReasonAttemptsExhausted: EndAttemptsExhausted, rules.ReasonOverdue: EndAttemptOverdue}

// outcome is how a request ends.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
	outcomeAbandoned // no answer is due
)

var outcomeNames = [...]string{outcomeServed: "served", outcomeRejected: "rejected", outcomeFailed: "failed", outcomeAbandoned: "abandoned"}

func (o outcome) String() string { return outcomeNames[o] }

var statusNames = map[rules.Status]string{rules.StatusOK: "ok", rules.StatusError: "error", rules.StatusRejected: "rejected",
	rules.StatusTimeout: "timeout", rules.StatusConnectFailed: "connect_failed", rules.StatusReset: "reset",
	rules.StatusCancelled: "cancelled", rules.StatusSuperseded: "never_executed"}
