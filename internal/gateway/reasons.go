package gateway

import "foxlane/rules"

// This file names why connections are closed, why requests are refused or fail, and how they end. Operators find each of
// these words in the log; docs/oncall.md says what they mean.

// CloseReason is why a connection ends.
type CloseReason int

// Reasons to close a client's connection, then those of connections to engines.
const (
	CloseQuit         CloseReason = iota // the client asked for it
	ClosePeer                            // the client closed it, or it broke
	CloseKilled                          // KILL of the session
	CloseKilledQuery                     // nothing more is of use on it behind KILL QUERY
	CloseIdle                            // idle for longer than clients keep connections
	CloseIdleShare                       // more are idle than clients may use
	CloseNothingAsked                    // no first command in time
	CloseNoRoom                          // gave way to a newcomer
	CloseTooMany                         // no room for it
	CloseAdmission                       // admission control evicted it
	CloseProtocol                        // broke the protocol
	CloseStopping                        // the process ends
	LinkIdle                             // idle for almost as long as engines keep connections
	LinkRetired                          // its engine is another process now, or has gone, or fell silent on it
	LinkMalformed                        // an answer on it could not be read
	LinkUnread                           // its engine drains and has not read what was written on it
	LinkLost                             // the engine closed it, or it broke
	LinkNotMade                          // the dial failed
	LinkNotMadeHere                      // the dial failed for want of something on this machine
	closeReasons
)

var closeReasonNames = [...]string{"quit", "peer_closed", "killed", "query_killed", "idle", "idle_share", "nothing_asked", "no_room",
	"too_many", "admission", "protocol", "stopping", "engine_idle", "engine_retired", "engine_malformed", "engine_unread", "engine_lost",
	"engine_not_reached", "engine_not_reached_from_here"}

func (r CloseReason) String() string { return closeReasonNames[r] }

// unanswered reports whether a connection may end so though its request has no answer: its client wanted it, broke the
// protocol or has gone.
func (r CloseReason) unanswered() bool {
	return r == CloseQuit || r == ClosePeer || r == CloseKilled || r == CloseKilledQuery || r == CloseProtocol
}

// EndReason is why a request has the answer that it has.
type EndReason int

// Reasons of refusals and failures. Those of the decision module come from rules.FinishReason.
const (
	EndServed       EndReason = iota
	EndClientLeft             // it closed its connection, or killed its query
	EndTooMuchOpen            // as many requests or bytes are open as the limits allow
	EndDirective              // an operators' directive refuses the class
	EndZonePlan               // the plan for the loss of a zone sheds it
	EndAdmission              // admission control
	EndNoResultRoom           // no room to keep its result
	EndResultLost             // its result could not be kept
	EndNoRoom                 // the module: too much is held, and it would be drawn last
	EndDeadline               // the module: it can't be ready by its deadline
	EndLate                   // the module: it would be late, and earns nothing then
	EndTriesSpent             // the module: no further attempt is allowed
	EndOverdue                // the module: its attempt is overdue, and no other may follow
)

var endReasonNames = [...]string{"served", "client_left", "too_much_open", "directive", "zone_plan", "admission", "no_result_room",
	"result_lost", "no_room", "deadline", "late", "tries_spent", "overdue"}

func (r EndReason) String() string { return endReasonNames[r] }

var moduleReasons = map[rules.FailureReason]EndReason{rules.ReasonQueueFull: EndNoRoom, rules.ReasonDeadline: EndDeadline,
	rules.ReasonTooLate: EndLate, rules.ReasonAttemptsExhausted: EndTriesSpent, rules.ReasonOverdue: EndOverdue}

// ending is the answer that ends a request.
type ending int

const (
	endedServed ending = iota
	endedRefused
	endedFailed
	endedLeft // no answer is owed
)

var endingNames = [...]string{"served", "refused", "failed", "left"}

func (e ending) String() string { return endingNames[e] }

var verdictNames = map[rules.Status]string{rules.StatusOK: "ok", rules.StatusError: "error", rules.StatusRejected: "full",
	rules.StatusTimeout: "timeout", rules.StatusConnectFailed: "connect_failed", rules.StatusReset: "reset",
	rules.StatusCancelled: "cancelled", rules.StatusSuperseded: "never_executed"}
