package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"foxlane/internal/standin"
)

// run is one run of a case: its record, its temporary folder and the stand-ins that it has started.
type run struct {
	trouble bool // whether the disruption takes place
	began   time.Time
	folder  string

	mu     sync.Mutex
	record *os.File

	names    *standin.NameServer
	engines  []*standin.Engine
	gateways []*gateway
}

func newRun(recordPath string, trouble bool) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, began: time.Now(), folder: folder, record: record}
	r.note("trouble: %v", trouble)
	go r.watch()
	return r, nil
}

// maxRunTime bounds a run.
const maxRunTime = 110 * time.Second

// watch ends a run that takes too long, or that is told to end, with all processes that it has started.
func (r *run) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case received := <-signals:
		r.note("not run: ended by %v", received)
	case <-time.After(maxRunTime):
		r.note("not run: took longer than %v", maxRunTime)
	}
	for _, g := range r.allGateways() {
		g.signal(syscall.SIGKILL)
	}
	_ = os.RemoveAll(r.folder)
	os.Exit(exitNotRun)
}

// addGateway adds a gateway to those that the run ends.
func (r *run) addGateway(g *gateway) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateways = append(r.gateways, g)
}

// allGateways returns the gateways that the run has.
func (r *run) allGateways() []*gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.gateways)
}

// note writes a line to the record and to standard output.
func (r *run) note(format string, args ...any) { fmt.Print(r.trace(format, args...)) }

// trace writes a line with the time since the start of the run to the record only, and returns it.
func (r *run) trace(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.record.WriteString(line) // a record that can't be written is missed by its reader
	return line
}

// traceEngines writes what the engines have run to the record.
func (r *run) traceEngines() {
	for i, engine := range r.engines {
		for _, request := range engine.Requests() {
			r.trace("engine %d ran %s: %s", i+1, request.ID, request.Statement)
		}
	}
}

// close ends everything that the run has started.
func (r *run) close() {
	for _, g := range r.allGateways() {
		g.kill()
	}
	for _, e := range r.engines {
		e.Close()
	}
	if r.names != nil {
		r.names.Close()
	}
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// listName is the name of the endpoint list at the name service.
const listName = "_data._tcp.farm.lan"

// startEngines starts engines that answer every request as handler says, and a name service that lists them.
func (r *run) startEngines(count int, handler func(standin.Request) standin.Reply) error {
	names, err := standin.NewNameServer("127.0.0.1:0", listName)
	if err != nil {
		return err
	}
	r.names = names
	for range count {
		engine, err := standin.NewEngine("127.0.0.1:0", handler)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, engine)
	}
	names.SetHosts(1, r.hosts())
	return nil
}

// hosts returns the endpoint list.
func (r *run) hosts() (hosts []standin.Host) {
	for i, engine := range r.engines {
		hosts = append(hosts, standin.Host{ID: fmt.Sprintf("s-%08d", i+1), Zone: "hall-a", Addr: netip.MustParseAddrPort(engine.Addr()), Weight: 4, Kind: "std-16"})
	}
	return hosts
}

// path returns the path of a file in the run's temporary folder.
func (r *run) path(name string) string { return filepath.Join(r.folder, name) }

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := listener.Addr().String()
	return addr, listener.Close()
}
