package replica

import (
	"errors"
	"fmt"

	"foxlane/rules"
)

// Settings bound a store.
type Settings struct {
	Name            string                // of this gateway
	Zone            string                // of this gateway: a peer of the same zone is asked first for a snapshot
	Incarnation     uint64                // of this process: a later one has a larger number
	MaxAge          [KindCount]rules.Time // after which a copy is dropped
	MinChange       [KindCount]float32    // relative change below which an entry is not sent again before Refresh
	Refresh         rules.Time            // after which an entry is sent again though nothing has changed
	Budget          int                   // bytes sent per second
	GossipInterval  rules.Time            // between two rounds of gossip
	DigestInterval  rules.Time            // between two digests
	Fanout          int                   // peers that a round reaches
	MaxEntries      int                   // held of one origin
	MaxOrigins      int                   // held in all
	MaxMessageBytes int
	Seed            uint64
}

// Defaults are for gateways of one fleet on a local network.
func Defaults() Settings {
	s := Settings{Refresh: 5 * rules.Second, Budget: 20_000, GossipInterval: 200 * rules.Millisecond, DigestInterval: rules.Second, Fanout: 3,
		MaxEntries: 256, MaxOrigins: 512, MaxMessageBytes: 1200}
	for k := range s.MaxAge {
		s.MaxAge[k], s.MinChange[k] = 15*rules.Second, 0.2
	}
	s.MaxAge[SlowStartSpend], s.MaxAge[EngineLoad] = 4*rules.Second, 10*rules.Second
	s.MaxAge[ClassEstimate] = 10 * 60 * rules.Second
	s.MaxAge[PromisedRetryAfter] = 60 * rules.Second
	return s
}

// Validate returns an error that names the first setting that can't be used.
func (s Settings) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxName || len(s.Zone) > maxName:
		return fmt.Errorf("replica: name %q must have 1 to %d bytes, zone %q at most that", s.Name, maxName, s.Zone)
	case s.Budget < 1000 || s.GossipInterval <= 0 || s.DigestInterval < s.GossipInterval || s.Refresh <= 0:
		return errors.New("replica: budget must be at least 1000 bytes a second, tick over 0, digest at least a tick, refresh over 0")
	case s.Fanout < 1 || s.MaxEntries < 1 || s.MaxOrigins < 1 || s.MaxMessageBytes < 256 || s.MaxMessageBytes > maxMessage:
		return fmt.Errorf("replica: fanout, entries and origins must be at least 1, a message within 256 and %d bytes", maxMessage)
	}
	return nil
}

// longestMaxAge returns the largest of the kinds' bounds.
func (s Settings) longestMaxAge() (longest rules.Time) {
	for _, age := range s.MaxAge {
		longest = max(longest, age)
	}
	return longest
}
