package members

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// rejoin tries to join seeds that are not members until Close. Attempts are frequent while there is no other member,
// and rare otherwise, to find seeds that a partition has cut off.
func (m *Membership) rejoin() {
	delay := minRejoinDelay
	for {
		if seeds := m.missingSeeds(); len(seeds) > 0 {
			if n, _ := m.list.Join(seeds[:1]); n > 0 {
				delay = minRejoinDelay
			}
		}
		if delay = min(2*delay, maxRejoinDelay); m.list.NumMembers() == 1 {
			delay = min(delay, 4*minRejoinDelay)
		}
		select {
		case <-m.done:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(delay))):
		}
	}
}

// missingSeeds returns the seeds that are not members, in random order.
func (m *Membership) missingSeeds() (seeds []string) {
	present := map[string]bool{m.settings.Bind.String(): true}
	for _, n := range m.list.Members() {
		present[netip.AddrPortFrom(toAddr(n.Addr), n.Port).String()] = true
	}
	for _, i := range rand.Perm(len(m.settings.Seeds)) {
		if s := m.settings.Seeds[i].String(); !present[s] {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

func toAddr(ip net.IP) netip.Addr {
	a, _ := netip.AddrFromSlice(ip)
	return a.Unmap()
}
