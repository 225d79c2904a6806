package harness

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"foxlane/internal/mysql"
	"foxlane/internal/standin"
)

// This file plays seeded shutdowns of a gateway's process with clients that read stored results in many ways.

var (
	firstReaderSeed = flag.Uint64("seed", 0, "first seed of TestReadersAtShutdown")
	readerSeeds     = flag.Uint64("seeds", 12, "number of seeds of TestReadersAtShutdown")
)

const (
	parallelReaderScenes = 3
	readLimit            = 40 * time.Second // how long a client reads at the most
	storeLimit           = 9 * time.Second  // the timeout of queries
	gatewayReadRate      = 4 << 20          // bytes a second that a gateway delivers to one client, at the least
	readMargin           = 900 * time.Millisecond
	readsBegin           = 500 * time.Millisecond // before SIGTERM
	readsEnd             = 700 * time.Millisecond // after SIGTERM
)

// readPlan is how a client reads a stored result.
type readPlan struct {
	rows      int
	resume    string        // the handle by which it reads; empty: it sends a query of its own
	startAt   time.Duration // from SIGTERM on
	over      time.Duration // the time over which it spreads its rows; 0: it reads at full speed
	pauseAt   int           // rows after which it stops
	pause     time.Duration // how long it stops
	untilExit bool          // it stops until the process has exited
}

// mustBeWhole reports whether the client reads fast enough to have its last row before the answers are due.
func (p *readPlan) mustBeWhole(answersDue time.Duration) bool {
	atGatewaySpeed := time.Duration(p.rows*standin.TableRowBytes) * time.Second / gatewayReadRate
	ends := p.startAt + max(p.over, atGatewaySpeed) + p.pause + readMargin
	return !p.untilExit && ends <= answersDue
}

// readerScene is one shutdown. Its fields follow from the seed.
type readerScene struct {
	t         *testing.T
	rng       *rand.Rand
	memoryMB  int
	folder    bool
	giveUp    time.Duration // the longest deadline of its classes
	freeze    time.Duration // how long the process stands still during the shutdown
	twice     bool          // SIGTERM comes twice
	listen    string
	dir       string
	log       bytes.Buffer
	engines   []*standin.Engine
	names     *standin.NameServer
	cmd       *exec.Cmd
	termAt    time.Time
	exited    chan struct{}
	requestID int
}

// sceneRead is a client of a scene.
type sceneRead struct {
	standin.StoredRead
	plan readPlan
}

// Guards against answers that a shutdown cuts off. In each scene a gateway's process gets SIGTERM while clients read stored
// results, from the disk or from memory, evenly, slowly, with pauses, by handle or not, from before SIGTERM or later. An answer
// is whole, ends with error 1053 at a row's end, or was rejected; it is whole if its client reads fast enough. The process exits with
// 0 before the earliest SIGKILL, and what was not read is there after the restart.
func TestReadersAtShutdown(t *testing.T) {
	slots := make(chan struct{}, parallelReaderScenes)
	var scenes sync.WaitGroup
	for i := range *readerSeeds {
		seed := *firstReaderSeed + i
		slots <- struct{}{}
		scenes.Go(func() {
			defer func() { <-slots }()
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newReaderScene(t, seed).run() })
		})
	}
	scenes.Wait()
}

func newReaderScene(t *testing.T, seed uint64) *readerScene {
	rng := rand.New(rand.NewPCG(seed, 80))
	s := &readerScene{t: t, rng: rng, memoryMB: pick(rng, 32, 64, 192), folder: rng.IntN(4) != 0, dir: t.TempDir(),
		giveUp: pick(rng, time.Second, 3*time.Second, 20*time.Second), twice: rng.IntN(4) == 0}
	if rng.IntN(4) == 0 {
		s.freeze = time.Duration(100+rng.IntN(400)) * time.Millisecond
	}
	listen, err := unusedAddr(int(seed % 200))
	if err != nil {
		t.Fatal(err)
	}
	s.listen = listen
	return s
}

func pick[T any](rng *rand.Rand, choices ...T) T { return choices[rng.IntN(len(choices))] }

// answersDue returns the time from SIGTERM until all answers are due, and exitBy the earliest SIGKILL.
func (s *readerScene) answersDue() time.Duration {
	return min(s.giveUp, maxCountedDeadline) + 300*time.Millisecond
}

func (s *readerScene) exitBy() time.Duration {
	return min(s.giveUp, maxCountedDeadline) + killAfterDeadline
}

func (s *readerScene) run() {
	s.startServers()
	defer s.closeServers()
	s.start()
	stored := s.storeResults()
	s.t.Logf("%d MB, folder %v, deadlines of %v, stands still for %v, %d results", s.memoryMB, s.folder, s.giveUp, s.freeze, len(stored))
	reads, reading := s.startReads(stored)
	s.terminate()
	reading.Wait()
	for _, read := range reads {
		s.check(read)
	}
	if s.folder {
		s.checkKeptResults(reads)
	}
	if s.t.Failed() {
		s.t.Logf("the gateway's log: %s", s.log.String())
	}
}

func (s *readerScene) startServers() {
	names, err := standin.NewNameServer("127.0.0.1:0", "_data._tcp.farm.lan")
	if err != nil {
		s.t.Fatal(err)
	}
	s.names = names
	var hosts []standin.Host
	for i := range 2 {
		engine, err := standin.NewEngine("127.0.0.1:0", standin.ServeTable)
		if err != nil {
			s.t.Fatal(err)
		}
		s.engines = append(s.engines, engine)
		hosts = append(hosts, standin.Host{ID: fmt.Sprintf("s-%08d", i+1), Zone: "a", Kind: "std", Weight: 4, Addr: netip.MustParseAddrPort(engine.Addr())})
	}
	names.SetHosts(1, hosts)
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"01","limits":{"cores":1,"memory_mb":%d,"sockets":1024},"dns":%q,
"known":{"seq":1,"results":[{"seq":1,"fleet":{"version":1,"full":true,"servers":[
 {"id":"s-00000001","addr":%q,"zone":"a","kind":"std","state":"active","weight":4},{"id":"s-00000002","addr":%q,"zone":"a","kind":"std","state":"active","weight":4}]}}]},
"settings":{"classes":[{"name":"report","aim":1500000,"giveUp":%d,"effect":"pure","group":"all","worth":1}],
 "limits":{"cancel":true,"connectTimeout":250000,"maxAttempts":3,"multiplex":32},"machineTypes":["std"],
 "membershipMode":"push","siblings":1,"tick":1000,"zones":["a"]}}`, s.listen, s.memoryMB, names.Addr(), hosts[0].Addr, hosts[1].Addr, s.giveUp.Microseconds())
	site := "spool {\n  memory = \"4MB\"\n}\n"
	if s.folder {
		site = fmt.Sprintf("spool {\n  folder = %q\n  disk = \"512MB\"\n  memory = \"4MB\"\n  result = \"64MB\"\n}\n", filepath.Join(s.dir, "results"))
	}
	for name, text := range map[string]string{"config.json": config, "site.hcl": site} {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *readerScene) closeServers() {
	for _, engine := range s.engines {
		engine.Close()
	}
	s.names.Close()
}

// start starts the process and waits until it accepts a login.
func (s *readerScene) start() {
	s.cmd = exec.Command(gatewayProgram, "serve", "--site", filepath.Join(s.dir, "site.hcl"))
	s.cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(s.dir, "config.json"), "LB_NAME=", "LB_LISTEN=")
	s.cmd.Stderr = &s.log
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // terminate judges its ProcessState
		close(exited)
	}(s.cmd, s.exited)
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(readyPollInterval) {
		if client, err := standin.Connect(s.listen, netip.Addr{}, time.Second); err == nil {
			client.Close()
			return
		}
	}
	_ = s.cmd.Process.Kill()
	s.t.Fatalf("the gateway is not ready: %s", s.log.String())
}

// query returns a query for a result of the given number of rows. With store its client asks for a handle.
func (s *readerScene) query(rows int, store bool) string {
	s.requestID++
	fields := ""
	if store {
		fields = ",spool=1"
	}
	timeout := min(storeLimit, 9*s.giveUp)
	return fmt.Sprintf("/* kind=report,req=%016x,timeout=%d%s */ SELECT a, b, c FROM sales_1.t_%d", s.requestID, timeout.Milliseconds(), fields, rows)
}

// storeResults has results stored, and returns reads of them by their handles.
func (s *readerScene) storeResults() (stored []readPlan) {
	for range 3 {
		rows := 2_000 + s.rng.IntN(60_000)
		if !s.folder {
			rows = 2_000 + s.rng.IntN(8_000)
		}
		read := standin.StoredRead{Count: rows}
		s.read(&read, s.query(rows, true), func(int) {})
		if read.Whole() {
			stored = append(stored, readPlan{rows: rows, resume: read.Handle})
		} else {
			s.t.Logf("not stored: %v", &read)
		}
	}
	return stored
}

// read connects a client, which sends a statement and reads its answer.
func (s *readerScene) read(read *standin.StoredRead, statement string, afterRow func(rows int)) {
	client, err := standin.Connect(s.listen, netip.Addr{}, time.Second)
	if err != nil {
		read.Err = err
		return
	}
	defer client.Close()
	read.Read(client, statement, readLimit, afterRow)
}

// planRead draws how a client reads.
func (s *readerScene) planRead(stored []readPlan) (plan readPlan) {
	if len(stored) > 0 && s.rng.IntN(4) != 0 {
		plan = pick(s.rng, stored...)
	} else {
		plan.rows = 1_000 + s.rng.IntN(4_000)
	}
	plan.startAt = time.Duration(s.rng.Int64N(int64(readsBegin+readsEnd))) - readsBegin
	switch s.rng.IntN(4) {
	case 0:
		plan.over = time.Duration(500+s.rng.IntN(2_500)) * time.Millisecond
	case 1:
		plan.over = time.Duration(2+s.rng.IntN(10)) * time.Second
	case 2:
		plan.pauseAt, plan.pause = 1+s.rng.IntN(plan.rows), time.Duration(200+s.rng.IntN(4_000))*time.Millisecond
	case 3:
		plan.pauseAt, plan.untilExit = 1+s.rng.IntN(plan.rows), s.rng.IntN(2) == 0
	}
	return plan
}

// startReads starts the clients, each at its time. The wait group is that of the clients that read.
func (s *readerScene) startReads(stored []readPlan) (reads []*sceneRead, reading *sync.WaitGroup) {
	reading = &sync.WaitGroup{}
	s.termAt = time.Now().Add(readsBegin)
	for range 1 + s.rng.IntN(40) {
		read := &sceneRead{plan: s.planRead(stored)}
		read.Count = read.plan.rows
		reads = append(reads, read)
		statement := fmt.Sprintf("/* resume=%s */ FETCH", read.plan.resume)
		if read.plan.resume == "" {
			statement = s.query(read.plan.rows, s.rng.IntN(2) == 0)
		}
		exited, startAt := s.exited, s.termAt.Add(read.plan.startAt)
		reading.Go(func() {
			time.Sleep(time.Until(startAt))
			s.read(&read.StoredRead, statement, read.plan.follow(exited))
		})
	}
	return reads, reading
}

// follow returns a function to call after each row, which delays the client as planned.
func (p *readPlan) follow(exited <-chan struct{}) func(rows int) {
	var began time.Time
	return func(rows int) {
		if rows == 1 {
			began = time.Now()
		}
		if p.over > 0 && rows%64 == 0 {
			time.Sleep(time.Until(began.Add(p.over * time.Duration(rows) / time.Duration(p.rows))))
		}
		if rows != p.pauseAt {
			return
		}
		time.Sleep(p.pause)
		if p.untilExit {
			<-exited
		}
	}
}

// terminate sends SIGTERM at its time and checks the exit.
func (s *readerScene) terminate() {
	time.Sleep(time.Until(s.termAt))
	s.termAt = time.Now()
	s.signal(syscall.SIGTERM)
	if s.twice {
		s.signal(syscall.SIGTERM)
	}
	if s.freeze > 0 {
		time.Sleep(time.Duration(s.rng.Int64N(int64(s.answersDue()))))
		s.signal(syscall.SIGSTOP)
		time.Sleep(s.freeze)
		s.signal(syscall.SIGCONT)
	}
	select {
	case <-s.exited:
	case <-time.After(time.Until(s.termAt.Add(s.exitBy() + s.freeze))): // it can't exit while it stands still
		s.t.Errorf("not exited %v after SIGTERM, %v of which it stood still", s.exitBy()+s.freeze, s.freeze)
		s.signal(syscall.SIGKILL)
		<-s.exited
	}
	if code := s.cmd.ProcessState.ExitCode(); code != 0 {
		s.t.Errorf("exit code %d", code)
	}
}

// signal sends a signal to the process. It may have exited.
func (s *readerScene) signal(signal syscall.Signal) { _ = s.cmd.Process.Signal(signal) }

// check checks what a client has read.
func (s *readerScene) check(read *sceneRead) {
	var serverErr *standin.ServerError
	rejected := errors.As(read.Err, &serverErr) && serverErr.Retryable() && read.Rows == 0
	switch {
	case read.Whole() || rejected:
	case !read.EndedBy(mysql.CodeServerShutdown):
		s.t.Errorf("%+v: %v", read.plan, &read.StoredRead)
	case read.plan.mustBeWhole(s.answersDue()) && s.freeze == 0:
		s.t.Errorf("ended, though it reads fast enough: %+v: %v", read.plan, &read.StoredRead)
	}
}

// checkKeptResults starts the process again and reads the rest of the results whose reads were ended.
func (s *readerScene) checkKeptResults(reads []*sceneRead) {
	s.start()
	for _, read := range reads {
		if !read.EndedBy(mysql.CodeServerShutdown) || read.Handle == "" {
			continue
		}
		rest := standin.StoredRead{Count: read.Count, Rows: read.ChunkRows}
		s.read(&rest, fmt.Sprintf("/* resume=%s,page=%d */ FETCH", read.Handle, read.Chunks), func(int) {})
		if !rest.Whole() {
			s.t.Errorf("after the restart: %+v: %v", read.plan, &rest)
		}
	}
	s.signal(syscall.SIGTERM)
	<-s.exited
}
