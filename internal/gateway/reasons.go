package gateway

import "foxlane/rules"

// This file names why connections are closed, why requests are refused or fail, and how they end. Operators find each of
// these words in the log; docs/oncall.md says what they mean.

// CloseReason is why a connection ends.
type CloseReason int

// Reasons to close a client's connection, then those of connections to engines.
const (
	CloseQuit              CloseReason = iota // the client asked for it
	CloseByPeer                               // the client closed it, or it broke
	CloseKilled                               // KILL of the session
	CloseQueryKilled                          // nothing more is of use on it behind KILL QUERY
	CloseIdle                                 // idle for longer than clients keep connections
	CloseIdleQuota                            // more are idle than clients may use
	CloseNoCommand                            // no first command in time
	CloseEvicted                              // gave way to a newcomer
	CloseTooManyClients                       // no room for it
	CloseAdmission                            // admission control evicted it
	CloseProtocolError                        // broke the protocol
	CloseShutdown                             // the process ends
	CloseEngineIdle                           // idle for almost as long as engines keep connections
	CloseEngineRetired                        // its engine is another process now, or has gone, or fell silent on it
	CloseEngineMalformed                      // an answer on it could not be read
	CloseEngineUnread                         // its engine drains and has not read what was written on it
	CloseEngineLost                           // the engine closed it, or it broke
	CloseEngineUnreachable                    // the dial failed
	CloseLocalExhaustion                      // the dial failed for want of something on this machine
	closeReasons
)

var closeReasonNames = [...]string{"quit", "peer_closed", "killed", "query_killed", "idle", "idle_share", "nothing_asked", "no_room",
	"too_many", "admission", "protocol", "stopping", "engine_idle", "engine_retired", "engine_malformed", "engine_unread", "engine_lost",
	"engine_not_reached", "engine_not_reached_from_here"}

func (r CloseReason) String() string { return closeReasonNames[r] }

// allowsUnanswered reports whether a connection may end so though its request has no answer: its client wanted it, broke the
// protocol or has gone.
func (r CloseReason) allowsUnanswered() bool {
	return r == CloseQuit || r == CloseByPeer || r == CloseKilled || r == CloseQueryKilled || r == CloseProtocolError
}

// EndReason is why a request has the answer that it has.
type EndReason int

// Reasons of refusals and failures. Those of the decision module come from rules.FinishReason.
const (
	EndServed              EndReason = iota
	EndClientLeft                    // it closed its connection, or killed its query
	EndTooManyInFlight               // as many requests or bytes are open as the limits allow
	EndDirective                     // an operators' directive refuses the class
	EndZonePlan                      // the plan for the loss of a zone sheds it
	EndAdmission                     // admission control
	EndNoResultCapacity              // no room to keep its result
	EndResultLost                    // its result could not be kept
	EndOverCapacity                  // the module: too much is held, and it would be drawn last
	EndDeadlineUnreachable           // the module: it can't be ready by its deadline
	EndLate                          // the module: it would be late, and earns nothing then
	EndAttemptsExhausted             // the module: no further attempt is allowed
	EndAttemptOverdue                // the module: its attempt is overdue, and no other may follow
)

var endReasonNames = [...]string{"served", "client_left", "too_much_open", "directive", "zone_plan", "admission", "no_result_room",
	"result_lost", "no_room", "deadline", "late", "tries_spent", "overdue"}

func (r EndReason) String() string { return endReasonNames[r] }

var moduleReasons = map[rules.FailureReason]EndReason{rules.ReasonQueueFull: EndOverCapacity, rules.ReasonDeadline: EndDeadlineUnreachable,
	rules.ReasonTooLate: EndLate, rules.ReasonAttemptsExhausted: EndAttemptsExhausted, rules.ReasonOverdue: EndAttemptOverdue}

// outcome is the answer that ends a request.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
	outcomeAbandoned // no answer is owed
)

var outcomeNames = [...]string{"served", "refused", "failed", "left"}

func (o outcome) String() string { return outcomeNames[o] }

var statusNames = map[rules.Status]string{rules.StatusOK: "ok", rules.StatusError: "error", rules.StatusRejected: "full",
	rules.StatusTimeout: "timeout", rules.StatusConnectFailed: "connect_failed", rules.StatusReset: "reset",
	rules.StatusCancelled: "cancelled", rules.StatusSuperseded: "never_executed"}
