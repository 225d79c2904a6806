package memory

// Level is how close the resident memory of the process is to its limit.
type Level int

// The levels, by the fraction of the limit from which on they hold.
const (
	Normal   Level = iota
	Elevated       // 0.75: it is reported
	High           // 0.85: memory is collected and returned, and less input is taken
	Critical       // 0.9: requests are rejected
)

var levelNames = [...]string{"normal", "elevated", "high", "critical"}

// String returns the name of the level as logged.
func (l Level) String() string { return levelNames[l] }

// levelFrom are the fractions of the limit from which on the levels hold.
var levelFrom = [...]float64{Normal: 0, Elevated: 0.75, High: 0.85, Critical: 0.9}

// levelMargin is how far, as a fraction of the limit, the memory must fall below a level's beginning to end the level.
const levelMargin = 0.03

// Pressure derives the level from samples of the resident memory.
type Pressure struct {
	Limit int64 // bytes; 0: there is none, and the level stays normal
	level Level
}

// Level returns the level of the latest sample.
func (p *Pressure) Level() Level { return p.level }

// Observe takes a sample and returns the level before it.
func (p *Pressure) Observe(resident int64) (previous Level) {
	previous = p.level
	if p.Limit <= 0 {
		return previous
	}
	fraction := float64(resident) / float64(p.Limit)
	for p.level < Critical && fraction >= levelFrom[p.level+1] {
		p.level++
	}
	for p.level > Normal && fraction < levelFrom[p.level]-levelMargin {
		p.level--
	}
	return previous
}

// Excess returns by how many bytes a resident memory is above the beginning of the level High.
func (p *Pressure) Excess(resident int64) int64 {
	return max(0, resident-int64(levelFrom[High]*float64(p.Limit)))
}
