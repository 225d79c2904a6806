package replica

import (
	"errors"
	"fmt"

	"foxlane/rules"
)

// Settings configure a Store.
type Settings struct {
	Name                string                // name of this gateway
	Zone                string                // zone of this gateway, in which peers are preferred for snapshots
	Incarnation         uint64                // of this process; each restart needs a larger one
	MaxAge              [KindCount]rules.Time // age at which a copy expires
	MinChange           [KindCount]float32    // relative change up to which an entry is not sent again before RefreshInterval
	RefreshInterval     rules.Time            // interval at which an unchanged entry is sent again
	BytesPerSecond      int                   // bytes sent per second at most
	GossipInterval      rules.Time            // time between rounds of gossip
	DigestInterval      rules.Time            // time between digests
	Fanout              int                   // peers to which a round sends rumors
	MaxEntriesPerOrigin int                   // entries held per origin at most
	MaxOrigins          int                   // origins held at most
	MaxMessageBytes     int
	Seed                uint64
}

// Defaults returns settings for the gateways of one fleet on a local network. Name and Incarnation are not set.
func Defaults() Settings {
	s := Settings{RefreshInterval: 5 * rules.Second, BytesPerSecond: 20_000, GossipInterval: 200 * rules.Millisecond, DigestInterval: rules.Second, Fanout: 3,
		MaxEntriesPerOrigin: 256, MaxOrigins: 512, MaxMessageBytes: 1200}
	for k := range s.MaxAge {
		s.MaxAge[k], s.MinChange[k] = 15*rules.Second, 0.2
	}
	s.MaxAge[SlowStartSpend], s.MaxAge[EngineLoad] = 4*rules.Second, 10*rules.Second
	s.MaxAge[ClassEstimate] = 10 * 60 * rules.Second
	s.MaxAge[PromisedRetryAfter] = 60 * rules.Second
	return s
}

// Validate returns an error for the first invalid setting, or nil.
func (s Settings) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameBytes || len(s.Zone) > maxNameBytes:
		return fmt.Errorf("replica: name %q must have 1 to %d bytes, zone %q must not be longer", s.Name, maxNameBytes, s.Zone)
	case s.BytesPerSecond < 1000 || s.GossipInterval <= 0 || s.DigestInterval < s.GossipInterval || s.RefreshInterval <= 0:
		return errors.New("replica: budget must be at least 1000 bytes per second, tick over 0, digest at least tick, refresh over 0")
	case s.Fanout < 1 || s.MaxEntriesPerOrigin < 1 || s.MaxOrigins < 1 || s.MaxMessageBytes < 256 || s.MaxMessageBytes > maxMessageBytes:
		return fmt.Errorf("replica: fanout, entries and origins must be at least 1, a message between 256 and %d bytes", maxMessageBytes)
	}
	return nil
}

// longestMaxAge returns the largest MaxAge of all kinds.
func (s Settings) longestMaxAge() (longest rules.Time) {
	for _, age := range s.MaxAge {
		longest = max(longest, age)
	}
	return longest
}
