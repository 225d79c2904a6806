// Package harness owns multi-process test runs of whole fleets on one machine: real gateway processes in one or more
// zones, fake engines and name servers, clients, and fault-injecting proxies between all of them, with the faults of
// a script. It checks the rules by what clients and engines see and by what gateways log. It must never inspect a
// gateway in another way, be linked into one, or connect to another machine.
package harness

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foxlane/internal/directives/wal"
	"foxlane/internal/faultproxy"
	"foxlane/internal/standin"
)

const (
	serviceName           = "_data._tcp.farm.lan"  // the name that the name servers resolve
	maxLogBytes           = 16 << 20               // of each gateway's log that are kept
	publishDelay          = 150 * time.Millisecond // from the loss or return of a zone until the list shows it
	defaultOverloadFactor = 3
)

// fleet holds the gateways, engines and clients of one run of a script, and the proxies between them.
type fleet struct {
	Script
	recorder      *recorder
	classes       []requestClass
	clients       *clientPool
	gateways      []*gateway
	engines       []*engine
	dir           string // temporary folder, removed by close
	process       Process
	logFolder     string // where logs are kept; empty: they are not
	resultClients []*resultClient
	pauses        pauses
	startedAt     time.Time

	mu              sync.Mutex
	links           map[[2]string]*link // by the names of the sender and the receiver
	activeFaults    []*Fault
	listVersion     uint32          // version of the engine list, the same for all gateways
	publishedAt     []time.Time     // when each version of the engine list was published
	unlisted        map[int]bool    // indices of the engines in lost zones that the list has dropped
	drainedZones    map[string]bool // zones that the operator's file drains
	gossipOff       atomic.Bool
	abandonPermille atomic.Int64 // clients per thousand that abandon their request
	lastEngineID    int          // number of the last engine id given out
	directiveCount  int

	pendingDirectives sync.WaitGroup // goroutines that wait for a gateway's answer to a directive
}

// link is one direction of the traffic between two parties.
type link struct {
	*faultproxy.Link
	from, to party
}

// Run plays a script with gateways that run the given program, and returns the report. If an error occurs after the
// fleet has started, Run returns the report so far with it. Logs of the gateways are kept in logFolder, unless that
// is empty.
func Run(ctx context.Context, program string, script Script, logFolder string) (report *Report, err error) {
	return RunProcess(ctx, Process{Program: program}, script, logFolder)
}

// newFleet returns the fleet of a script, of which nothing runs yet.
func newFleet(p Process, script Script, logFolder string) *fleet {
	return &fleet{Script: script, classes: classesOf(&script), process: p, logFolder: logFolder, listVersion: 1,
		links: map[[2]string]*link{}, unlisted: map[int]bool{}, drainedZones: map[string]bool{}}
}

// RunProcess does the same as Run with gateways that run any process, such as a fault gateway.
func RunProcess(ctx context.Context, p Process, script Script, logFolder string) (report *Report, err error) {
	f := newFleet(p, script, logFolder)
	defer func() {
		if closeErr := f.close(); err == nil {
			err = closeErr
		}
	}()
	watching, stop := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() { f.pauses.watch(watching) })
	defer func() { stop(); watcher.Wait() }()
	if err := f.build(); err != nil {
		return nil, err
	}
	report, err = f.play(ctx)
	if report != nil {
		report.Pauses, report.LongestPause = f.pauses.summary()
	}
	return report, err
}

// overloadFactor returns the load limit of a cold engine, as a multiple of its current speed.
func (f *fleet) overloadFactor() float64 {
	if f.OverloadFactor > 0 {
		return f.OverloadFactor
	}
	return defaultOverloadFactor
}

// link returns the link from one party to another, and creates it at the first call.
func (f *fleet) link(from, to party) *faultproxy.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := [2]string{from.name, to.name}
	found := f.links[key]
	if found == nil {
		found = &link{faultproxy.NewLink(f.Seed + uint64(len(f.links))), from, to}
		f.links[key] = found
	}
	return found.Link
}

// build starts everything that the script names: engines, name servers and proxies, then the gateways.
func (f *fleet) build() (err error) {
	if f.dir, err = os.MkdirTemp("", "foxrig"); err != nil {
		return err
	}
	for zoneIndex, z := range f.Zones {
		for i := range z.Engines {
			f.engines = append(f.engines, &engine{party: party{fmt.Sprintf("%s/e%d", z.Name, i), z.Name, "engines"}, fleet: f, index: len(f.engines), id: f.newEngineID()})
		}
		for i := range z.Gateways {
			f.gateways = append(f.gateways, &gateway{party: party{fmt.Sprintf("%s/g%d", z.Name, i), z.Name, "gateways"}, fleet: f, index: len(f.gateways), zoneIndex: zoneIndex})
		}
	}
	f.recorder = newRecorder(f)
	f.clients = newClientPool(len(f.gateways))
	for _, e := range f.engines {
		if err := e.build(); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if err := g.build(); err != nil {
			return err
		}
	}
	if f.Gossip {
		if err := f.buildGossip(); err != nil {
			return err
		}
	}
	for _, g := range f.gateways[:f.Voters] {
		if err := wal.Init(g.path("votes")); err != nil {
			return err
		}
	}
	f.publishList(0)
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// build starts the engine and, for each gateway, a proxy to the engine.
func (e *engine) build() error {
	if err := e.start(false); err != nil {
		return err
	}
	for _, g := range e.fleet.gateways {
		proxy, err := faultproxy.NewTCP("127.0.0.1:0", e.addr(), e.fleet.link(g.party, e.party), e.fleet.link(e.party, g.party))
		if err != nil {
			return err
		}
		e.proxies = append(e.proxies, proxy)
	}
	return nil
}

// build starts the gateway's name server, the proxy to it, and the proxy from clients to the gateway.
func (g *gateway) build() (err error) {
	f := g.fleet
	if g.nameServer, err = standin.NewNameServer("127.0.0.1:0", serviceName); err != nil {
		return err
	}
	if g.dnsProxy, err = faultproxy.NewUDP("127.0.0.1:0", g.nameServer.Addr(), f.link(g.party, nameServersParty), f.link(nameServersParty, g.party)); err != nil {
		return err
	}
	g.nameServer.OnSent(g.recordListSent)
	g.nameServer.OnReply(g.alterReply)
	if g.listenAddr, err = unusedAddr(g.index); err != nil {
		return err
	}
	g.clientProxy, err = faultproxy.NewTCP("127.0.0.1:0", g.listenAddr, f.link(clientsParty, g.party), f.link(g.party, clientsParty))
	return err
}

// buildGossip chooses the gossip and control addresses of all gateways, and starts a gossip proxy from each gateway
// to each other one.
func (f *fleet) buildGossip() error {
	for _, g := range f.gateways {
		for _, target := range []*netip.AddrPort{&g.gossipAddr, &g.controlAddr} {
			addr, err := unusedAddr(g.index)
			if err != nil {
				return err
			}
			*target = netip.MustParseAddrPort(addr)
		}
	}
	for _, g := range f.gateways {
		for _, other := range f.gateways {
			if other == g {
				g.peerProxies = append(g.peerProxies, nil)
				continue
			}
			proxy, err := faultproxy.NewTCPAndUDP(g.gossipAddr.Addr().String(), other.gossipAddr.String(), f.link(g.party, other.party), f.link(other.party, g.party))
			if err != nil {
				return err
			}
			g.peerProxies = append(g.peerProxies, proxy)
		}
	}
	return nil
}

// newEngineID returns an id that no engine had before. The caller holds f.mu once the fleet runs.
func (f *fleet) newEngineID() string {
	f.lastEngineID++
	return fmt.Sprintf("s-%08x", f.lastEngineID)
}

// play runs the script's clients and faults for the script's length, then makes the final checks.
func (f *fleet) play(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Length)
	defer cancel()
	f.abandonPermille.Store(int64(f.AbandonShare * 1000))
	f.startedAt = time.Now()
	f.recorder.start = f.startedAt
	defer f.startWatch(context.WithoutCancel(ctx))()
	var clients, faults sync.WaitGroup
	errs := make(chan error, len(f.Faults))
	for i := range f.Faults {
		faults.Go(func() {
			if err := f.injectAt(ctx, &f.Faults[i]); err != nil {
				errs <- err
			}
		})
	}
	if strings.Contains(f.OperatorFile, "{folder}") {
		f.storeResults(ctx, &clients)
	}
	f.generateAllLoad(ctx, &clients)
	clients.Wait()
	faults.Wait()
	select {
	case err := <-errs:
		return &f.recorder.Report, err
	default:
	}
	if err := f.verifyStoredResults(); err != nil {
		return &f.recorder.Report, err
	}
	f.finish()
	return &f.recorder.Report, nil
}

// injectAt injects a fault at its time, unless the context ends earlier.
func (f *fleet) injectAt(ctx context.Context, fault *Fault) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(fault.At):
		return f.inject(ctx, fault)
	}
}

// generateAllLoad generates the requests of the clients of all zones until the context ends. They run in goroutines
// of wg.
func (f *fleet) generateAllLoad(ctx context.Context, wg *sync.WaitGroup) {
	totalCores, totalWeight := 0.0, 0.0
	for _, z := range f.Zones {
		totalCores += float64(z.Engines * f.Cores)
		totalWeight += z.clientWeight()
	}
	var zones sync.WaitGroup
	for i, z := range f.Zones {
		if rate := f.Load * totalCores / f.meanWork() * float64(time.Second) * z.clientWeight() / totalWeight; rate > 0 {
			zones.Go(func() { f.generateLoad(ctx, i, rate, wg) })
		}
	}
	zones.Wait()
}

// clientWeight returns the zone's share of all requests, relative to the other zones.
func (z Zone) clientWeight() float64 {
	if z.ClientShare > 0 {
		return z.ClientShare
	}
	return float64(z.Engines)
}

// burstFactor returns the current load of a zone's clients, as a multiple of their usual load.
func (f *fleet) burstFactor(zone int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	factor := 1.0
	for _, fault := range f.activeFaults {
		if fault.Kind == "burst" && (party{zone: f.Zones[zone].Name}).matches(fault.Target) {
			factor *= fault.Factor
		}
	}
	return factor
}

// finish makes the checks that need the whole run, stops all gateways with SIGTERM, and completes the report.
func (f *fleet) finish() {
	f.checkDirectives()
	f.recorder.checkOverlaps()
	f.recordUsage()
	var exits sync.WaitGroup
	for _, g := range f.gateways {
		exits.Go(g.stopGracefully)
	}
	exits.Wait()
	for _, g := range f.gateways {
		f.recorder.recordLogEvents(g)
		f.recorder.checkInvariants(g)
		if err := g.keepLog(); err != nil {
			f.recorder.addUnclassified("writing the log of %s failed: %v", g.name, err)
		}
	}
	slices.SortStableFunc(f.recorder.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range f.engines {
		e.mu.Lock()
		f.recorder.ColdOverloads += e.overloads
		e.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for ends, link := range f.links {
		f.recorder.Links[ends[0]+" > "+ends[1]] = link.Counts()
	}
}

// recordUsage adds the memory and CPU time of the running gateways to the report.
func (f *fleet) recordUsage() {
	for _, g := range f.gateways {
		if pid := g.pid(); pid != 0 {
			if u, err := UsageOf(pid); err == nil {
				f.recorder.RSSMB += u.RSSMB / float64(len(f.gateways))
				f.recorder.CPUSeconds += u.CPUSeconds
			}
		}
	}
}

// keepLog writes the gateway's log to the log folder, if there is one.
func (g *gateway) keepLog() error {
	if g.fleet.logFolder == "" {
		return nil
	}
	name := filepath.Join(g.fleet.logFolder, strings.ReplaceAll(g.name, "/", "-")+".log")
	return os.WriteFile(name, []byte(g.log.String()), 0o600)
}

// close stops everything that still runs, also in a fleet that was only partly built, and removes the temporary folder.
func (f *fleet) close() error {
	if f.clients != nil {
		f.clients.close()
	}
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT)
		_ = g.stop(syscall.SIGKILL) // a killed process is expected to exit with an error
		if g.clientProxy != nil {
			g.clientProxy.Close()
		}
		for _, proxy := range g.peerProxies {
			if proxy != nil {
				proxy.Close()
			}
		}
		if g.dnsProxy != nil {
			g.dnsProxy.Close()
		}
		if g.nameServer != nil {
			g.nameServer.Close()
		}
	}
	for _, e := range f.engines {
		for _, proxy := range e.proxies {
			proxy.Close()
		}
		e.stop()
	}
	f.pendingDirectives.Wait() // ends, since each request has a deadline
	if f.dir == "" {
		return nil
	}
	return os.RemoveAll(f.dir)
}
