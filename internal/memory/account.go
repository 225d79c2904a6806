// Package memory keeps the account of the memory that input can make a gateway use: who owns how many bytes, and how many
// each may own. It allocates nothing itself and decides nothing: callers ask Fits before they take memory, Add what they
// take and give back, and choose what is rejected or closed if it does not fit. Pure: it reads no clock and does no I/O.
package memory

// Owner is a purpose for which input takes memory.
type Owner int

// The owners.
const (
	ClientInput  Owner = iota // incomplete packets of clients, and commands that wait until the client reads
	Statements                // statements of open requests
	Results                   // results being received, and room reserved for them
	ClientOutput              // written to clients and not yet accepted by the operating system
	EngineInput               // incomplete answers of engines
	EngineOutput              // written to engines and not yet accepted by the operating system
	OwnerCount                // number of owners
)

var ownerNames = [...]string{
	ClientInput:  "client_input",
	Statements:   "statements",
	Results:      "results",
	ClientOutput: "client_output",
	EngineInput:  "engine_input",
	EngineOutput: "engine_output",
}

// String returns the name of the owner as logged.
func (o Owner) String() string { return ownerNames[o] }

// Limits are the bytes that each owner may have. ClientOutput has none of its own: a result that its client does not read
// stays where it was reserved, so both share the limit of Results. EngineInput has none either: the number of
// connections and the size of an answer bound it.
type Limits [OwnerCount]int64

// Account holds the bytes of each owner. It is not safe for concurrent use.
type Account struct {
	Limits Limits

	used, peak [OwnerCount]int64
	total      int64
	totalPeak  int64
	pressed    [OwnerCount]bool
}

// Fits reports whether an owner may take n more bytes.
func (a *Account) Fits(owner Owner, n int64) bool {
	limit := a.limit(owner)
	return limit <= 0 || a.usedOfLimit(owner)+n <= limit
}

// Exceeded reports whether an owner has more than it may have.
func (a *Account) Exceeded(owner Owner) bool { return !a.Fits(owner, 0) }

// Add charges n bytes to an owner, or credits them if n is negative.
func (a *Account) Add(owner Owner, n int64) {
	a.used[owner] += n
	a.total += n
	a.peak[owner] = max(a.peak[owner], a.used[owner])
	a.totalPeak = max(a.totalPeak, a.total)
}

// Used returns the bytes of an owner.
func (a *Account) Used(owner Owner) int64 { return a.used[owner] }

// Peak returns the highest number of bytes that an owner has had.
func (a *Account) Peak(owner Owner) int64 { return a.peak[owner] }

// Total returns the bytes of all owners.
func (a *Account) Total() int64 { return a.total }

// TotalPeak returns the highest number of bytes that all owners have had together.
func (a *Account) TotalPeak() int64 { return a.totalPeak }

// An owner is under pressure from three quarters of its limit on, until it has less than half of it.
const (
	pressureFrom = 0.75
	pressureTo   = 0.5
)

// Change is an owner's change to or from pressure.
type Change struct {
	Owner   Owner
	Pressed bool
}

// Changes returns the owners whose pressure has changed since the last call.
func (a *Account) Changes() (changes []Change) {
	for owner := range OwnerCount {
		limit := float64(a.limit(owner))
		used := float64(a.usedOfLimit(owner))
		pressed := limit > 0 && (used >= pressureFrom*limit || a.pressed[owner] && used >= pressureTo*limit)
		if pressed != a.pressed[owner] {
			a.pressed[owner] = pressed
			changes = append(changes, Change{owner, pressed})
		}
	}
	return changes
}

// limit returns the limit that holds for an owner; 0: none.
func (a *Account) limit(owner Owner) int64 {
	if owner == ClientOutput {
		owner = Results
	}
	return a.Limits[owner]
}

// usedOfLimit returns the bytes that count against the limit of an owner.
func (a *Account) usedOfLimit(owner Owner) int64 {
	if owner == Results || owner == ClientOutput {
		return a.used[Results] + a.used[ClientOutput]
	}
	return a.used[owner]
}
