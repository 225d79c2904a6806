package gateway

// Keys of log attributes that more than one line uses. docs/oncall.md explains the lines; what reads them is the test harness.
const (
	keyAttempt     = "attempt" // its number within the request, from 0
	keyClass       = "class"
	keyClasses     = "classes"
	keyClients     = "clients"
	keyConnection  = "connection"
	keyConnections = "connections"
	keyEngine      = "engine"
	keyEngines     = "engines"
	keyError       = "error"
	keyFailed      = "failed"
	keyInFlight    = "in_flight"
	keyInForce     = "in_force" // directives
	keyIndex       = "index"    // of the last directive that was applied
	keyInvariant   = "invariant"
	keyMember      = "member"
	keyMembers     = "members"
	keyReason      = "reason"
	keyRejected    = "rejected"
	keyRemaining   = "remaining_ms" // until a deadline
	keyRequest     = "request"
	keyRequests    = "requests"
	keyAttempts    = "attempts"
	keySerial      = "serial" // of a list of engines
	keyServed      = "served"
	keySession     = "session"
	keySilent      = "silent_ms"
	keyState       = "state"
	keyStatus      = "status"
	keyTook        = "took_us"
	keyWaited      = "waited_ms"
	keyWaiting     = "waiting"
	keyZone        = "zone"
)
