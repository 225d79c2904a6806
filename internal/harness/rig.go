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
	listName   = "_data._tcp.farm.lan"
	startWait  = 10 * time.Second
	endWait    = 8 * time.Second
	memoryMB   = 64
	sockets    = 512
	logMost    = 16 << 20 // bytes kept of a gateway's log
	newsWithin = 150 * time.Millisecond
)

// Rig is one fleet.
type Rig struct {
	Script
	books    *Books
	classes  []class
	front    *front
	gateways []*gateway
	engines  []*engine
	dir      string
	process  Process
	logs     string
	keepers  []*keeper
	pauses   pauses
	start    time.Time

	mu      sync.Mutex
	ways    map[[2]string]*way
	faults  []*Fault     // that are on
	version uint32       // of the list, as the rig counts
	changed []time.Time  // when each version came before the gateways
	gone    map[int]bool // engines that the list does not name
	drains  map[string]bool
	hushed  atomic.Bool  // talk is switched off
	leaving atomic.Int64 // thousandths of all clients that leave early
	next    int          // engine ids given
	orders  int          // given

	answers sync.WaitGroup // that orders wait for
}

type way struct {
	*faultproxy.Way
	from, to party
}

// gateway is a process, over all of its lives.
type gateway struct {
	party
	rig    *Rig
	index  int
	zoneAt int
	begins sync.Mutex // one start at a time
	names  *standin.Names
	asks   *faultproxy.UDP
	front  *faultproxy.TCP
	listen string
	talk   netip.AddrPort     // where other gateways find it
	askAt  netip.AddrPort     // and operators' commands
	peers  []*faultproxy.Pair // to each other gateway, by its index
	life   atomic.Int64
	frozen atomic.Bool
	thawed atomic.Int64 // when it last went on after a stop; Unix nanoseconds, as those that follow
	resets atomic.Int64 // when its clients' connections were last reset
	killed atomic.Int64 // when it was last killed outright
	ended  atomic.Int64 // when a process of it last ended
	strain atomic.Int64 // until when it may lack descriptors or calls that work

	mu     sync.Mutex
	run    *running  // nil: it is ended, or being ended
	latest *running  // the one that was started last
	termAt time.Time // when it was last asked to end
	log    cappedLog

	lists lists // what the name service tells it
}

// cappedLog keeps the beginning of a log.
type cappedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *cappedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len()+len(p) <= logMost {
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
func Run(ctx context.Context, program string, s Script, logs string) (b *Books, err error) {
	return RunProcess(ctx, Process{Program: program}, s, logs)
}

// RunProcess plays a script with gateways that run a process.
func RunProcess(ctx context.Context, p Process, s Script, logs string) (b *Books, err error) {
	r := &Rig{Script: s, classes: classesOf(&s), process: p, logs: logs, ways: map[[2]string]*way{}, gone: map[int]bool{}, drains: map[string]bool{}, version: 1}
	defer func() {
		if end := r.close(); err == nil {
			err = end
		}
	}()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go r.pauses.watch(watching)
	if err := r.build(); err != nil {
		return nil, err
	}
	b, err = r.play(ctx)
	if b != nil {
		b.Pauses, b.LongestPause = r.pauses.worst()
	}
	return b, err
}

// overload is how many times its speed a cold engine bears.
func (r *Rig) overload() float64 {
	if r.Overload > 0 {
		return r.Overload
	}
	return 3
}

// way is the one from one party to another.
func (r *Rig) way(from, to party) *faultproxy.Way {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]string{from.name, to.name}
	w := r.ways[key]
	if w == nil {
		w = &way{faultproxy.NewWay(r.Seed + uint64(len(r.ways))), from, to}
		r.ways[key] = w
	}
	return w.Way
}

func (r *Rig) build() (err error) {
	if r.dir, err = os.MkdirTemp("", "foxrig"); err != nil {
		return err
	}
	names, clients := party{"names", "", "names"}, party{"clients", "", "clients"}
	for zi, z := range r.Zones {
		for i := range z.Engines {
			r.engines = append(r.engines, &engine{party: party{fmt.Sprintf("%s/e%d", z.Name, i), z.Name, "engines"}, rig: r, index: len(r.engines), id: r.newID()})
		}
		for i := range z.Gateways {
			r.gateways = append(r.gateways, &gateway{party: party{fmt.Sprintf("%s/g%d", z.Name, i), z.Name, "gateways"}, rig: r, index: len(r.gateways), zoneAt: zi})
		}
	}
	r.books = newBooks(r)
	r.front = newFront(len(r.gateways))
	for _, e := range r.engines {
		if err := e.begin(false); err != nil {
			return err
		}
		for _, g := range r.gateways {
			t, err := faultproxy.NewTCP("127.0.0.1:0", e.addr(), r.way(g.party, e.party), r.way(e.party, g.party))
			if err != nil {
				return err
			}
			e.ways = append(e.ways, t)
		}
	}
	for _, g := range r.gateways {
		if g.names, err = standin.NewNames("127.0.0.1:0", listName); err != nil {
			return err
		}
		if g.asks, err = faultproxy.NewUDP("127.0.0.1:0", g.names.Addr(), r.way(g.party, names), r.way(names, g.party)); err != nil {
			return err
		}
		g.names.Told(g.heard)
		g.names.Alter(g.alter)
		if g.listen, err = unused(g.index); err != nil {
			return err
		}
		if g.front, err = faultproxy.NewTCP("127.0.0.1:0", g.listen, r.way(clients, g.party), r.way(g.party, clients)); err != nil {
			return err
		}
	}
	if r.Talk {
		if err := r.buildTalk(); err != nil {
			return err
		}
	}
	for _, g := range r.gateways[:r.Voters] {
		if err := wal.Init(g.path("votes")); err != nil {
			return err
		}
	}
	r.news(0)
	for _, g := range r.gateways {
		if err := g.begin(); err != nil {
			return err
		}
	}
	return nil
}

// buildTalk puts a relay between each two gateways, in each direction.
func (r *Rig) buildTalk() error {
	for _, g := range r.gateways {
		for _, at := range []*netip.AddrPort{&g.talk, &g.askAt} {
			addr, err := unused(g.index)
			if err != nil {
				return err
			}
			*at = netip.MustParseAddrPort(addr)
		}
	}
	for _, g := range r.gateways {
		for _, o := range r.gateways {
			if o == g {
				g.peers = append(g.peers, nil)
				continue
			}
			p, err := faultproxy.NewPair(g.talk.Addr().String(), o.talk.String(), r.way(g.party, o.party), r.way(o.party, g.party))
			if err != nil {
				return err
			}
			g.peers = append(g.peers, p)
		}
	}
	return nil
}

// members is the block by which a gateway finds the others.
func (g *gateway) members() string {
	if !g.rig.Talk || g.rig.hushed.Load() {
		return ""
	}
	text := fmt.Sprintf("members {\n  bind = %q\n  control = %q\n  fast = true\n  seeds = [", g.talk, g.askAt)
	for _, o := range g.rig.gateways {
		if o != g {
			text += fmt.Sprintf("%q, ", o.talk)
		}
	}
	text += "]\n"
	for i, p := range g.peers {
		if p != nil {
			text += fmt.Sprintf("  via %q {\n    at = %q\n  }\n", g.rig.gateways[i].talk, p.Addr())
		}
	}
	text += "}\n"
	if n := g.rig.Voters; n > 0 {
		text += "directives {\n  voters = ["
		for i := range n {
			text += fmt.Sprintf("\"n%d\", ", i)
		}
		text += fmt.Sprintf("]\n  folder = %q\n  tick = \"50ms\"\n}\n", g.path("votes"))
	}
	return text
}

func (r *Rig) newID() string {
	r.next++
	return fmt.Sprintf("s-%08x", r.next)
}

var rigs atomic.Uint32 // of this process

// Ports of gateways lie below those that the system gives out by itself: one that is free now could else be a relay's or a
// connection's when its gateway starts.
const (
	portsFrom = 20_000
	portCount = 10_000
)

// unused is an address of this machine that nobody listens on, and nobody else is given: each process has a part of the loopback
// range to itself, and each call another port.
func unused(i int) (string, error) {
	pid, n := uint32(os.Getpid()), rigs.Add(1)
	for try := range uint32(portCount) {
		at := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8%128, pid%256, i+1, portsFrom+(n+try)%portCount)
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
	r := g.rig
	var servers []object
	serial, hosts := g.known()
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
	for _, c := range r.classes {
		effect := "pure"
		if c.unsafe {
			effect = "side_effect"
		}
		if c.window > 0 {
			effect = "token"
		}
		entry := object{"dedupWindow": c.window.Microseconds(), "name": c.name, "aim": c.aim.Microseconds(), "aimStretch": aimStretch, "giveUp": c.giveUp.Microseconds(),
			"effect": effect, "group": "all", "lateValue": 0.2, "worth": c.worth, "serialByKey": c.inTurn}
		if c.placed {
			entry["staysIn"] = []int{0}
		}
		list = append(list, entry)
		threads, loads = append(threads, 1), append(loads, false)
	}
	var zones []string
	for _, z := range r.Zones {
		zones = append(zones, z.Name)
	}
	return object{
		"name": fmt.Sprint("n", g.index), "listen": g.listen, "seed": fmt.Sprintf("%016x", r.Seed*1000+uint64(g.index)*10+uint64(g.life.Load())),
		"dns":    g.asks.Addr().String(),
		"limits": object{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"known":  object{"seq": serial, "results": []object{{"seq": serial, "fleet": object{"version": 1, "full": true, "servers": servers}}}},
		"settings": object{
			"classes": list, "clients": object{"marksRetry": true}, "fees": object{"crossZone": 0.05},
			"extra": object{"classThreads": threads, "isLoad": loads, "cpuOfKind": []int{r.Cores}, "ramOfKindMb": []int{65536}, "tellsCost": true},
			"limits": object{"cancel": true, "connIdle": 15_000_000, "connectTimeout": 250_000, "maxAttempts": 3, "maxOpen": 20000,
				"multiplex": 32, "retryAfter": true, "maxRetryAfter": 2_000_000, "probes": true},
			"machineTypes": []string{"std"}, "membershipMode": "push", "me": g.index, "siblings": len(r.gateways), "tick": 1000, "zone": g.zoneAt,
			"zones": zones,
			"rules": r.duties(),
		},
	}
}

// duties are the figures of the rules.
func (r *Rig) duties() object {
	out := object{"answerSlack": 5000, "stopSendingWithin": 1_000_000, "overloadFactor": r.overload(), "cold": r.Cold.Microseconds(),
		"coldFrom": r.ColdFrom, "tipAfter": tipAfter.Microseconds(), "keyRest": keyRest.Microseconds()}
	if r.Ration > 0 {
		out["freeResends"], out["extraPerRequest"], out["lookBack"] = freeResends, r.Ration, lookBack.Microseconds()
	}
	return out
}

func (g *gateway) path(name string) string {
	return filepath.Join(g.rig.dir, fmt.Sprintf("g%d-%s", g.index, name))
}

// write puts the gateway's files where it reads them.
func (g *gateway) write() error {
	raw, err := json.Marshal(g.config())
	if err != nil {
		return err
	}
	if err := replace(g.path("config.json"), raw); err != nil {
		return err
	}
	return replace(g.path("site.hcl"), []byte(strings.ReplaceAll(g.rig.operator(), "{folder}", g.path("results"))+"\n"+g.members()))
}

// replace puts a file in the place of whatever is there.
func replace(path string, data []byte) error {
	if err := os.WriteFile(path+".next", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// operator is the operator's file as it is now.
func (r *Rig) operator() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := r.Operator
	if len(r.drains) == 0 {
		return text
	}
	zones := ""
	for _, z := range r.Zones {
		if r.drains[z.Name] {
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
	for _, w := range []*faultproxy.Way{g.rig.way(clients, g.party), g.rig.way(g.party, clients)} {
		if c := w.Conditions(); c.Cut || c.Delay > 0 || c.Loss > 0 {
			return true
		}
	}
	return false
}

// ---- a run

func (r *Rig) play(ctx context.Context) (*Books, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Length)
	defer cancel()
	r.leaving.Store(int64(r.Leave * 1000))
	r.start = time.Now()
	r.books.start = r.start
	var clients, faults sync.WaitGroup
	errs := make(chan error, 4*len(r.Faults)+1)
	for i := range r.Faults {
		f := &r.Faults[i]
		faults.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(f.At):
				if err := r.befall(ctx, f); err != nil {
					errs <- err
				}
			}
		})
	}
	if strings.Contains(r.Operator, "{folder}") {
		r.keep(ctx, &clients)
	}
	whole, total := 0.0, 0.0
	for _, z := range r.Zones {
		whole += float64(z.Engines * r.Cores)
		total += z.weight()
	}
	var asking sync.WaitGroup
	for i, z := range r.Zones {
		if rate := r.Load * whole / r.meanWork() * float64(time.Second) * z.weight() / total; rate > 0 {
			asking.Go(func() { r.ask(ctx, i, rate, &clients) })
		}
	}
	asking.Wait()
	clients.Wait()
	faults.Wait()
	select {
	case err := <-errs:
		return r.books, err
	default:
	}
	if err := r.comeAgain(); err != nil {
		return r.books, err
	}
	r.finish()
	return r.books, nil
}

func (z Zone) weight() float64 {
	if z.Clients > 0 {
		return z.Clients
	}
	return float64(z.Engines)
}

// burst is how many times as much clients of a zone ask for now.
func (r *Rig) burst(zone int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := 1.0
	for _, f := range r.faults {
		if f.Kind == "burst" && (party{zone: r.Zones[zone].Name}).is(f.Of) {
			times *= f.Factor
		}
	}
	return times
}

// finish takes the last figures, and ends all gateways as operators do.
func (r *Rig) finish() {
	r.judgeOrders()
	r.books.judgePairs()
	for _, g := range r.gateways {
		if pid := g.pid(); pid != 0 {
			if u, err := UsageOf(pid); err == nil {
				r.books.RSSMB += u.RSSMB / float64(len(r.gateways))
				r.books.CPU += u.CPU
			}
		}
	}
	var ends sync.WaitGroup
	for _, g := range r.gateways {
		ends.Go(func() {
			if err := g.end(syscall.SIGTERM); err != nil {
				r.books.judge(Crashed, "%s ended with %v: %s", g.name, err, tail(g.log.String()))
			}
		})
	}
	ends.Wait()
	for _, g := range r.gateways {
		r.books.log(g)
		r.books.judgeGuards(g, g.log.String())
		if r.logs != "" {
			name := filepath.Join(r.logs, strings.ReplaceAll(g.name, "/", "-")+".log")
			if err := os.WriteFile(name, []byte(g.log.String()), 0o600); err != nil {
				r.books.breach("the log of %s was not kept: %v", g.name, err)
			}
		}
	}
	slices.SortStableFunc(r.books.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range r.engines {
		e.mu.Lock()
		r.books.Fallen += e.fell
		e.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, w := range r.ways {
		r.books.Ways[key[0]+" > "+key[1]] = w.Counts()
	}
}

func tail(text string) string { return text[max(0, len(text)-2000):] }

// close ends all that still runs.
func (r *Rig) close() error {
	if r.front != nil {
		r.front.close()
	}
	for _, g := range r.gateways {
		g.signal(syscall.SIGCONT)
		_ = g.end(syscall.SIGKILL)
		if g.front != nil {
			g.front.Close()
		}
		for _, p := range g.peers {
			if p != nil {
				p.Close()
			}
		}
		if g.asks != nil {
			g.asks.Close()
		}
		if g.names != nil {
			g.names.Close()
		}
	}
	for _, e := range r.engines {
		for _, t := range e.ways {
			t.Close()
		}
		e.end()
	}
	if r.dir == "" {
		return nil
	}
	return os.RemoveAll(r.dir)
}
