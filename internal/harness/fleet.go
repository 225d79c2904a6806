// Package rig owns fleets of several processes on this machine: real gateways in two or more sites, stand-ins for their
// engines and name services, clients, and relays between all of them, with faults from one script. It keeps books of
// what clients and engines saw, and judges the rules by these alone. It must never look into a gateway, be part of
// one, or reach any address but this machine's.
package harness

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
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
	serviceName  = "_data._tcp.farm.lan"
	startTimeout = 10 * time.Second
	stopTimeout  = 8 * time.Second
	memoryMB     = 64
	maxSockets   = 512
	maxLogBytes  = 16 << 20 // bytes kept of a gateway's log
	publishDelay = 150 * time.Millisecond
)

// fleet is one fleet.
type fleet struct {
	Script
	recorder      *Report
	classes       []requestClass
	clients       *clientPool
	gateways      []*gateway
	engines       []*engine
	dir           string
	process       Process
	logFolder     string
	resultClients []*resultClient
	pauses        pauses
	startedAt     time.Time

	mu              sync.Mutex
	links           map[[2]string]*link
	activeFaults    []*Fault     // that are on
	listVersion     uint32       // of the list, as the rig counts
	publishedAt     []time.Time  // when each version came before the gateways
	unlisted        map[int]bool // engines that the list does not name
	drainedZones    map[string]bool
	gossipOff       atomic.Bool  // talk is switched off
	abandonPermille atomic.Int64 // thousandths of all clients that leave early
	lastID          int          // engine ids given
	directiveCount  int          // given

	pendingDirectives sync.WaitGroup // that orders wait for
}

type link struct {
	*faultproxy.Link
	from, to party
}

// gateway is a process, over all of its lives.
type gateway struct {
	party
	fleet         *fleet
	index         int
	zoneIndex     int
	startMu       sync.Mutex // one start at a time
	nameServer    *standin.NameServer
	dnsProxy      *faultproxy.UDP
	clientProxy   *faultproxy.TCP
	listenAddr    string
	gossipAddr    netip.AddrPort          // where other gateways find it
	controlAddr   netip.AddrPort          // and operators' commands
	peerProxies   []*faultproxy.TCPAndUDP // to each other gateway, by its index
	incarnation   atomic.Int64
	frozen        atomic.Bool
	resumedAt     atomic.Int64 // when it last went on after a stop; Unix nanoseconds, as those that follow
	resetAt       atomic.Int64 // when its clients' connections were last reset
	killedAt      atomic.Int64 // when it was last killed outright
	endedAt       atomic.Int64 // when a process of it last ended
	strainedUntil atomic.Int64 // until when it may lack descriptors or calls that work

	mu      sync.Mutex
	current *process  // nil: it is ended, or being ended
	latest  *process  // the one that was started last
	termAt  time.Time // when it was last asked to end
	log     cappedLog

	list endpointList // what the name service tells it
}

// cappedLog keeps the beginning of a log.
type cappedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *cappedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len()+len(p) <= maxLogBytes {
		l.buf.Write(p)
	}
	return len(p), nil
}

func (l *cappedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Run plays a script with a gateway's program and returns the books. Logs of the gateways are kept in a folder, if one is
// named.
func Run(ctx context.Context, program string, s Script, logs string) (report *Report, err error) {
	return RunProcess(ctx, Process{Program: program}, s, logs)
}

// RunProcess plays a script with gateways that run a process.
func RunProcess(ctx context.Context, p Process, s Script, logs string) (report *Report, err error) {
	f := &fleet{Script: s, classes: classesOf(&s), process: p, logFolder: logs, links: map[[2]string]*link{}, unlisted: map[int]bool{}, drainedZones: map[string]bool{}, listVersion: 1}
	defer func() {
		if end := f.close(); err == nil {
			err = end
		}
	}()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go f.pauses.watch(watching)
	if err := f.build(); err != nil {
		return nil, err
	}
	report, err = f.play(ctx)
	if report != nil {
		report.Pauses, report.LongestPause = f.pauses.summary()
	}
	return report, err
}

// overloadFactor is how many times its speed a cold engine bears.
func (f *fleet) overloadFactor() float64 {
	if f.OverloadFactor > 0 {
		return f.OverloadFactor
	}
	return 3
}

// link is the one from one party to another.
func (f *fleet) link(from, to party) *faultproxy.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := [2]string{from.name, to.name}
	w := f.links[key]
	if w == nil {
		w = &link{faultproxy.NewLink(f.Seed + uint64(len(f.links))), from, to}
		f.links[key] = w
	}
	return w.Link
}

func (f *fleet) build() (err error) {
	if f.dir, err = os.MkdirTemp("", "foxrig"); err != nil {
		return err
	}
	names, clients := party{"names", "", "names"}, party{"clients", "", "clients"}
	for zi, z := range f.Zones {
		for i := range z.Engines {
			f.engines = append(f.engines, &engine{party: party{fmt.Sprintf("%s/e%d", z.Name, i), z.Name, "engines"}, fleet: f, index: len(f.engines), id: f.newEngineID()})
		}
		for i := range z.Gateways {
			f.gateways = append(f.gateways, &gateway{party: party{fmt.Sprintf("%s/g%d", z.Name, i), z.Name, "gateways"}, fleet: f, index: len(f.gateways), zoneIndex: zi})
		}
	}
	f.recorder = newReport(f)
	f.clients = newClientPool(len(f.gateways))
	for _, e := range f.engines {
		if err := e.start(false); err != nil {
			return err
		}
		for _, g := range f.gateways {
			t, err := faultproxy.NewTCP("127.0.0.1:0", e.addr(), f.link(g.party, e.party), f.link(e.party, g.party))
			if err != nil {
				return err
			}
			e.proxies = append(e.proxies, t)
		}
	}
	for _, g := range f.gateways {
		if g.nameServer, err = standin.NewNameServer("127.0.0.1:0", serviceName); err != nil {
			return err
		}
		if g.dnsProxy, err = faultproxy.NewUDP("127.0.0.1:0", g.nameServer.Addr(), f.link(g.party, names), f.link(names, g.party)); err != nil {
			return err
		}
		g.nameServer.OnSent(g.recordListSent)
		g.nameServer.OnReply(g.alterReply)
		if g.listenAddr, err = unusedAddr(g.index); err != nil {
			return err
		}
		if g.clientProxy, err = faultproxy.NewTCP("127.0.0.1:0", g.listenAddr, f.link(clients, g.party), f.link(g.party, clients)); err != nil {
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

// buildGossip puts a relay between each two gateways, in each direction.
func (f *fleet) buildGossip() error {
	for _, g := range f.gateways {
		for _, at := range []*netip.AddrPort{&g.gossipAddr, &g.controlAddr} {
			addr, err := unusedAddr(g.index)
			if err != nil {
				return err
			}
			*at = netip.MustParseAddrPort(addr)
		}
	}
	for _, g := range f.gateways {
		for _, o := range f.gateways {
			if o == g {
				g.peerProxies = append(g.peerProxies, nil)
				continue
			}
			p, err := faultproxy.NewTCPAndUDP(g.gossipAddr.Addr().String(), o.gossipAddr.String(), f.link(g.party, o.party), f.link(o.party, g.party))
			if err != nil {
				return err
			}
			g.peerProxies = append(g.peerProxies, p)
		}
	}
	return nil
}

// membersBlock is the block by which a gateway finds the others.
func (g *gateway) membersBlock() string {
	if !g.fleet.Gossip || g.fleet.gossipOff.Load() {
		return ""
	}
	text := fmt.Sprintf("members {\n  bind = %q\n  control = %q\n  fast = true\n  seeds = [", g.gossipAddr, g.controlAddr)
	for _, o := range g.fleet.gateways {
		if o != g {
			text += fmt.Sprintf("%q, ", o.gossipAddr)
		}
	}
	text += "]\n"
	for i, p := range g.peerProxies {
		if p != nil {
			text += fmt.Sprintf("  via %q {\n    at = %q\n  }\n", g.fleet.gateways[i].gossipAddr, p.Addr())
		}
	}
	text += "}\n"
	if n := g.fleet.Voters; n > 0 {
		text += "directives {\n  voters = ["
		for i := range n {
			text += fmt.Sprintf("\"n%d\", ", i)
		}
		text += fmt.Sprintf("]\n  folder = %q\n  tick = \"50ms\"\n}\n", g.path("votes"))
	}
	return text
}

func (f *fleet) newEngineID() string {
	f.lastID++
	return fmt.Sprintf("s-%08x", f.lastID)
}

var addressesGiven atomic.Uint32 // of this process

// Ports of gateways lie below those that the system gives out by itself: one that is free now could else be a relay's or a
// connection's when its gateway starts.
const (
	firstPort = 20_000
	portCount = 10_000
)

// unusedAddr is an address of this machine that nobody listens on, and nobody else is given: each process has a part of the loopback
// range to itself, and each call another port.
func unusedAddr(i int) (string, error) {
	pid, n := uint32(os.Getpid()), addressesGiven.Add(1)
	for try := range uint32(portCount) {
		at := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8%128, pid%256, i+1, firstPort+(n+try)%portCount)
		ln, err := net.Listen("tcp", at)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		ln.Close()
		return at, nil
	}
	return "", errNoPort
}

var errNoPort = errors.New("rig: no port is free")

// ---- gateways

type object = map[string]any

func (g *gateway) config() object {
	f := g.fleet
	var servers []object
	serial, hosts := g.knownList()
	for _, h := range hosts {
		state := "active"
		if h.Draining {
			state = "leaving"
		}
		servers = append(servers, object{"id": h.ID, "addr": h.Addr.String(), "zone": h.Zone, "kind": h.Kind, "state": state, "weight": 4,
			"started_ms": h.Started})
	}
	var list []object
	var threads []int
	var loads []bool
	for _, c := range f.classes {
		effect := "pure"
		if c.nonIdempotent {
			effect = "side_effect"
		}
		if c.idempotencyWindow > 0 {
			effect = "token"
		}
		entry := object{"dedupWindow": c.idempotencyWindow.Microseconds(), "name": c.name, "aim": c.latencyObjective.Microseconds(), "aimStretch": objectiveStretch, "giveUp": c.timeout.Microseconds(),
			"effect": effect, "group": "all", "lateValue": 0.2, "worth": c.weight, "serialByKey": c.ordered}
		if c.firstZoneOnly {
			entry["staysIn"] = []int{0}
		}
		list = append(list, entry)
		threads, loads = append(threads, 1), append(loads, false)
	}
	var zones []string
	for _, z := range f.Zones {
		zones = append(zones, z.Name)
	}
	return object{
		"name": fmt.Sprint("n", g.index), "listen": g.listenAddr, "seed": fmt.Sprintf("%016x", f.Seed*1000+uint64(g.index)*10+uint64(g.incarnation.Load())),
		"dns":    g.dnsProxy.Addr().String(),
		"limits": object{"cores": 1, "memory_mb": memoryMB, "sockets": maxSockets},
		"known":  object{"seq": serial, "results": []object{{"seq": serial, "fleet": object{"version": 1, "full": true, "servers": servers}}}},
		"settings": object{
			"classes": list, "clients": object{"marksRetry": true}, "fees": object{"crossZone": 0.05},
			"extra": object{"classThreads": threads, "isLoad": loads, "cpuOfKind": []int{f.Cores}, "ramOfKindMb": []int{65536}, "tellsCost": true},
			"limits": object{"cancel": true, "connIdle": 15_000_000, "connectTimeout": 250_000, "maxAttempts": 3, "maxOpen": 20000,
				"multiplex": 32, "retryAfter": true, "maxRetryAfter": 2_000_000, "probes": true},
			"machineTypes": []string{"std"}, "membershipMode": "push", "me": g.index, "siblings": len(f.gateways), "tick": 1000, "zone": g.zoneIndex,
			"zones": zones,
			"rules": f.ruleSettings(),
		},
	}
}

// ruleSettings are the figures of the rules.
func (f *fleet) ruleSettings() object {
	out := object{"answerSlack": 5000, "stopSendingWithin": 1_000_000, "overloadFactor": f.overloadFactor(), "cold": f.Cold.Microseconds(),
		"coldFrom": f.ColdFrom, "tipAfter": overloadWindow.Microseconds(), "keyRest": keyQuarantine.Microseconds()}
	if f.RetryBudget > 0 {
		out["freeResends"], out["extraPerRequest"], out["lookBack"] = freeRetries, f.RetryBudget, retryWindow.Microseconds()
	}
	return out
}

func (g *gateway) path(name string) string {
	return filepath.Join(g.fleet.dir, fmt.Sprintf("g%d-%s", g.index, name))
}

// writeFiles puts the gateway's files where it reads them.
func (g *gateway) writeFiles() error {
	raw, err := json.Marshal(g.config())
	if err != nil {
		return err
	}
	if err := replaceFile(g.path("config.json"), raw); err != nil {
		return err
	}
	return replaceFile(g.path("site.hcl"), []byte(strings.ReplaceAll(g.fleet.operatorFile(), "{folder}", g.path("results"))+"\n"+g.membersBlock()))
}

// replaceFile puts a file in the place of whatever is there.
func replaceFile(path string, data []byte) error {
	if err := os.WriteFile(path+".next", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// operatorFile is the operator's file as it is now.
func (f *fleet) operatorFile() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := f.OperatorFile
	if len(f.drainedZones) == 0 {
		return text
	}
	zones := ""
	for _, z := range f.Zones {
		if f.drainedZones[z.Name] {
			zones += fmt.Sprintf("  zone %q {\n    drain = true\n  }\n", z.Name)
		}
	}
	return string(bytes.Replace([]byte(text), []byte("sites {\n"), []byte("sites {\n"+zones), 1))
}

// disturbed answers whether clients can't count on an answer in time: it is frozen, or cut off from them.
func (g *gateway) disturbed() bool {
	if g.frozen.Load() {
		return true
	}
	clients := party{"clients", "", "clients"}
	for _, link := range []*faultproxy.Link{g.fleet.link(clients, g.party), g.fleet.link(g.party, clients)} {
		if c := link.Conditions(); c.Cut || c.Delay > 0 || c.Loss > 0 {
			return true
		}
	}
	return false
}

// ---- a run

func (f *fleet) play(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Length)
	defer cancel()
	f.abandonPermille.Store(int64(f.AbandonShare * 1000))
	f.startedAt = time.Now()
	f.recorder.start = f.startedAt
	var clients, faults sync.WaitGroup
	errs := make(chan error, 4*len(f.Faults)+1)
	for i := range f.Faults {
		fault := &f.Faults[i]
		faults.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(fault.At):
				if err := f.inject(ctx, fault); err != nil {
					errs <- err
				}
			}
		})
	}
	if strings.Contains(f.OperatorFile, "{folder}") {
		f.storeResults(ctx, &clients)
	}
	whole, total := 0.0, 0.0
	for _, z := range f.Zones {
		whole += float64(z.Engines * f.Cores)
		total += z.clientWeight()
	}
	var asking sync.WaitGroup
	for i, z := range f.Zones {
		if rate := f.Load * whole / f.meanWork() * float64(time.Second) * z.clientWeight() / total; rate > 0 {
			asking.Go(func() { f.generateLoad(ctx, i, rate, &clients) })
		}
	}
	asking.Wait()
	clients.Wait()
	faults.Wait()
	select {
	case err := <-errs:
		return f.recorder, err
	default:
	}
	if err := f.verifyStoredResults(); err != nil {
		return f.recorder, err
	}
	f.finish()
	return f.recorder, nil
}

func (z Zone) clientWeight() float64 {
	if z.ClientShare > 0 {
		return z.ClientShare
	}
	return float64(z.Engines)
}

// burstFactor is how many times as much clients of a zone ask for now.
func (f *fleet) burstFactor(zone int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := 1.0
	for _, fault := range f.activeFaults {
		if fault.Kind == "burst" && (party{zone: f.Zones[zone].Name}).matches(fault.Target) {
			times *= fault.Factor
		}
	}
	return times
}

// finish takes the last figures, and ends all gateways as operators do.
func (f *fleet) finish() {
	f.checkDirectives()
	f.recorder.checkOverlaps()
	for _, g := range f.gateways {
		if pid := g.pid(); pid != 0 {
			if u, err := UsageOf(pid); err == nil {
				f.recorder.RSSMB += u.RSSMB / float64(len(f.gateways))
				f.recorder.CPUSeconds += u.CPUSeconds
			}
		}
	}
	var ends sync.WaitGroup
	for _, g := range f.gateways {
		ends.Go(func() {
			if err := g.stop(syscall.SIGTERM); err != nil {
				f.recorder.addViolation(Crashed, "%s ended with %v: %s", g.name, err, tail(g.log.String()))
			}
		})
	}
	ends.Wait()
	for _, g := range f.gateways {
		f.recorder.recordLogEvents(g)
		f.recorder.checkInvariants(g, g.log.String())
		if f.logFolder != "" {
			name := filepath.Join(f.logFolder, strings.ReplaceAll(g.name, "/", "-")+".log")
			if err := os.WriteFile(name, []byte(g.log.String()), 0o600); err != nil {
				f.recorder.addUnclassified("the log of %s was not kept: %v", g.name, err)
			}
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
	for key, w := range f.links {
		f.recorder.Links[key[0]+" > "+key[1]] = w.Counts()
	}
}

func tail(text string) string { return text[max(0, len(text)-2000):] }

// close ends all that still runs.
func (f *fleet) close() error {
	if f.clients != nil {
		f.clients.close()
	}
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT)
		_ = g.stop(syscall.SIGKILL)
		if g.clientProxy != nil {
			g.clientProxy.Close()
		}
		for _, p := range g.peerProxies {
			if p != nil {
				p.Close()
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
		for _, t := range e.proxies {
			t.Close()
		}
		e.stop()
	}
	if f.dir == "" {
		return nil
	}
	return os.RemoveAll(f.dir)
}
