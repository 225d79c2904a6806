package members

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
	"go4.org/netipx"
)

// Settings are how a member finds others.
type Settings struct {
	Name          string
	Zone          string
	Bind          netip.AddrPort                    // for UDP and TCP, as others reach it
	Seeds         []netip.AddrPort                  // members that are tried first
	Allowed       *netipx.IPSet                     // addresses that are accepted; nil: any
	DialAddrs     map[netip.AddrPort]netip.AddrPort // by the address that a member announces: where it is reached, as behind a NAT
	QueueSize     int                               // events; 0: defaultQueueSize
	FastDetection bool                              // for links of a millisecond: failures are detected sooner
}

const (
	defaultQueueSize   = 1024
	maxName            = 64
	maxDatagram        = 1400 // bytes that memberlist sends as one packet
	maxReliableMessage = 64 << 10
	minRejoinDelay     = 500 * time.Millisecond
	maxRejoinDelay     = 15 * time.Second
	leaveTimeout       = 300 * time.Millisecond
)

// Validate returns an error that names the first setting that can't be used.
func (s Settings) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxName || len(s.Zone) > maxName:
		return fmt.Errorf("members: name %q must have 1 to %d bytes, zone %q at most that", s.Name, maxName, s.Zone)
	case !s.Bind.IsValid() || s.Bind.Port() == 0:
		return errors.New("members: bind must be an address with a port")
	case s.Bind.Addr().IsUnspecified():
		return errors.New("members: bind must be one address, which others are told")
	case s.Allowed != nil && !s.Allowed.Contains(s.Bind.Addr()):
		return fmt.Errorf("members: %s itself is not among the addresses that may speak", s.Bind.Addr())
	}
	return nil
}

// config is memberlist's own defaults for a local network, but for what differs here.
func (m *Membership) config(t *transport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	if m.settings.FastDetection {
		c.ProbeInterval, c.ProbeTimeout = 300*time.Millisecond, 150*time.Millisecond
		c.SuspicionMult, c.GossipInterval, c.PushPullInterval = 3, 200*time.Millisecond, 5*time.Second
		c.TCPTimeout = time.Second
	}
	c.Name, c.Transport, c.Logger, c.LogOutput = m.settings.Name, t, discardLogger(), nil
	c.BindAddr, c.BindPort = m.settings.Bind.Addr().String(), int(m.settings.Bind.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.Delegate, c.Events, c.Conflict = delegate{m}, events{m}, conflicts{m}
	c.EnableCompression, c.UDPBufferSize = false, maxDatagram+128
	c.DeadNodeReclaimTime = time.Second // a process that returns at another address has its name again
	return c
}
