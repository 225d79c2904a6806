package gateway

// Keys of log attributes that are used by more than one line. docs/oncall.md explains the lines, and the test
// harness parses them.
const (
	keyAttempt     = "attempt" // index within the request, from 0
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
	keyInForce     = "in_force" // number of directives in force
	keyIndex       = "index"    // index of the last applied directive
	keyInvariant   = "invariant"
	keyMember      = "member"
	keyMembers     = "members"
	keyReason      = "reason"
	keyRejected    = "rejected"
	keyRemaining   = "remaining_ms" // time left until the deadline
	keyRequest     = "request"
	keyRequests    = "requests"
	keyAttempts    = "attempts"
	keySerial      = "serial" // serial of the endpoint list
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
