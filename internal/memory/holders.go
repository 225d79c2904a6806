package memory

// Holder is a kind of state beside the account: its size follows from numbers that other limits bound, and is estimated
// rather than charged.
type Holder int

// The holders.
const (
	Clients        Holder = iota // client connections
	Requests                     // open requests and their attempts
	EngineConns                  // connections and dials to engines
	Timers                       // pending timers
	Effects                      // effects of the latest batch, without the bytes that they write
	BatchOutput                  // bytes written by the latest batch
	FreeBuffers                  // empty output buffers kept for reuse
	ModuleState                  // state of the decision module
	AdmissionState               // state of admission control
	HeldPages                    // first pages of results that wait for memory
	holderCount
)

var holderNames = [...]string{
	Clients: "clients", Requests: "requests", EngineConns: "engine_connections", Timers: "timers", Effects: "effects",
	BatchOutput: "batch_output", FreeBuffers: "free_buffers", ModuleState: "module", HeldPages: "held_pages",
	AdmissionState: "admission",
}

// String returns the name of the holder as logged.
func (h Holder) String() string { return holderNames[h] }

// Holding is the size of a holder.
type Holding struct {
	Holder
	Bytes, Peak int64 // now, and the highest since ResetPeaks
}

// Holders are the estimated sizes of all holders. The zero value has none.
type Holders struct{ used, peak [holderCount]int64 }

// Set sets the size of a holder.
func (h *Holders) Set(holder Holder, bytes int64) {
	h.used[holder] = bytes
	h.peak[holder] = max(h.peak[holder], bytes)
}

// TotalPeak returns the sum of the highest sizes of all holders since ResetPeaks.
func (h *Holders) TotalPeak() (sum int64) {
	for _, bytes := range h.peak {
		sum += bytes
	}
	return sum
}

// All returns all holders.
func (h *Holders) All() []Holding {
	all := make([]Holding, holderCount)
	for holder := range holderCount {
		all[holder] = Holding{holder, h.used[holder], h.peak[holder]}
	}
	return all
}

// ResetPeaks makes the present sizes the peaks.
func (h *Holders) ResetPeaks() { h.peak = h.used }
