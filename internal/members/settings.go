package members

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
	"go4.org/netipx"
)

// Settings configure a member.
type Settings struct {
	Name          string
	Zone          string
	Bind          netip.AddrPort                    // UDP and TCP address at which other members reach this one
	Seeds         []netip.AddrPort                  // members to join
	Allowed       *netipx.IPSet                     // addresses from which traffic is accepted; nil: any
	DialAddrs     map[netip.AddrPort]netip.AddrPort // address to dial by announced address, for members behind NAT
	QueueSize     int                               // in events; 0: defaultQueueSize
	FastDetection bool                              // detect failures sooner, for links with latencies of a millisecond
}

const (
	defaultQueueSize   = 1024
	maxNameBytes       = 64
	maxDatagram        = 1400 // bytes sent as one packet
	maxReliableMessage = 64 << 10
	minRejoinDelay     = 500 * time.Millisecond
	maxRejoinDelay     = 15 * time.Second
	leaveTimeout       = 300 * time.Millisecond
)

// Validate returns an error for the first invalid setting, or nil.
func (s Settings) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameBytes || len(s.Zone) > maxNameBytes:
		return fmt.Errorf("members: name %q must have 1 to %d bytes, zone %q must not be longer", s.Name, maxNameBytes, s.Zone)
	case !s.Bind.IsValid() || s.Bind.Port() == 0:
		return errors.New("members: bind must be an address with a port")
	case s.Bind.Addr().IsUnspecified():
		return errors.New("members: bind must be an address that other gateways could reach, since it is announced to them")
	case s.Allowed != nil && !s.Allowed.Contains(s.Bind.Addr()):
		return fmt.Errorf("members: the allowed addresses do not include the gateway's own address %s", s.Bind.Addr())
	}
	return nil
}

// config returns the configuration of memberlist, based on its defaults for a local network.
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
	c.Delegate, c.Events, c.Conflict = delegate{m}, eventDelegate{m}, conflictDelegate{m}
	c.EnableCompression, c.UDPBufferSize = false, maxDatagram+128
	c.DeadNodeReclaimTime = time.Second // a restarted process may use its name at another address
	return c
}
