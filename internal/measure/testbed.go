// Package measure owns the measurements of foxlab. They run real gateway processes on loopback, between fake engines,
// a fake name server and clients that are bounded in time and number, or models in virtual time. The gateway must not
// import this package, and measurements must use no address other than this machine's.
package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"foxlane/internal/harness"
	"foxlane/internal/standin"
)

// listName is the name under which the name server publishes the endpoint list.
const listName = "_data._tcp.farm.lan"

const (
	startTimeout      = 5 * time.Second
	startPollInterval = 10 * time.Millisecond
	stopTimeout       = 8 * time.Second // after this the gateway is killed
)

// Setup describes a Testbed.
type Setup struct {
	Gateway     string // path of the program; empty: built from this module
	Engines     int
	Slots       int           // requests that an engine runs at once
	ServiceTime time.Duration // of a request
	MemoryMB    int           // memory limit of the gateway
	Sockets     int           // socket limit of the gateway
	SiteConfig  string        // content of the operator's file; empty: no file
	RetryAfter  bool          // rejections may contain a Retry-After
	Timeout     time.Duration // client timeout of all classes
	Pages       []string      // of every result; nil: one row
	Verbose     bool          // the gateway logs at debug level
	LogUnread   bool          // nobody reads the gateway's log
}

// Testbed is a gateway process with the fake engines and the fake name server that it uses.
type Testbed struct {
	Setup
	Addr string // where the gateway listens

	engines    []*standin.Engine
	hosts      []standin.Host
	nameServer *standin.NameServer
	gateway    *exec.Cmd
	log        gatewayLog
	unreadLogs []*os.File // read ends of the logs that nobody reads
	dir        string
}

// gatewayLog holds the gateway's log output. It is safe for concurrent use.
type gatewayLog struct {
	text []byte
	mu   sync.Mutex // guards text
}

// Write appends to the log.
func (l *gatewayLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	return len(p), nil
}

// String returns the log so far.
func (l *gatewayLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}

// BuildGateway builds the gateway's program into dir and returns its path.
func BuildGateway(ctx context.Context, dir string) (string, error) {
	out := filepath.Join(dir, "foxlane")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", out, "foxlane/cmd/foxlane")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the gateway (run this inside its repository, or name a program): %w\n%s", err, text)
	}
	return out, nil
}

// GatewayProgram returns the path of the gateway's program: the given one or, if that is empty, one built from this
// module, which remove deletes.
func GatewayProgram(ctx context.Context, program string) (path string, remove func(), err error) {
	if program != "" {
		return program, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "foxlab")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) } // a leftover temporary folder does no harm
	if path, err = BuildGateway(ctx, dir); err != nil {
		remove()
	}
	return path, remove, err
}

// StartTestbed starts a testbed and waits until its gateway serves. The caller has to call Close.
func StartTestbed(s Setup) (t *Testbed, err error) {
	t = &Testbed{Setup: s}
	defer func() {
		if err != nil {
			t.discard()
		}
	}()
	if t.dir, err = os.MkdirTemp("", "foxlab"); err != nil {
		return t, err
	}
	if t.nameServer, err = standin.NewNameServer("127.0.0.1:0", listName); err != nil {
		return t, err
	}
	for i := range s.Engines {
		e, err := t.startEngine("127.0.0.1:0")
		if err != nil {
			return t, err
		}
		t.engines = append(t.engines, e)
		t.hosts = append(t.hosts, standin.Host{ID: fmt.Sprintf("s-%08x", i+1), Zone: "hall-a", Addr: netip.MustParseAddrPort(e.Addr()),
			Weight: 4, Kind: "std"})
	}
	t.nameServer.SetHosts(2, t.hosts)
	return t, t.startGateway()
}

// startEngine starts an engine that listens on addr.
func (t *Testbed) startEngine(addr string) (*standin.Engine, error) {
	slots := standin.NewSlots(t.Slots)
	return standin.NewEngine(addr, func(standin.Request) standin.Reply {
		pages := t.Pages
		if pages == nil {
			pages = []string{"a\tb\tc\n"}
		}
		return standin.Reply{Delay: slots.Reserve(t.ServiceTime), ReportedWork: t.ServiceTime, Status: "served", Pages: pages}
	})
}

// Requests returns the number of requests that the engines have received.
func (t *Testbed) Requests() (n int) {
	for _, e := range t.engines {
		n += len(e.Requests())
	}
	return n
}

// KillAndRestart kills the gateway and starts it again with the same files.
func (t *Testbed) KillAndRestart() error {
	_ = t.gateway.Process.Kill() // fails only if the process has already ended
	_ = t.gateway.Wait()         // the error only reports the kill
	return t.startGateway()
}

type jsonObject = map[string]any

// config returns the gateway's configuration.
func (t *Testbed) config() jsonObject {
	var servers []jsonObject
	for _, h := range t.hosts {
		servers = append(servers, jsonObject{"id": h.ID, "addr": h.Addr.String(), "zone": h.Zone, "kind": h.Kind, "state": "active", "weight": 4})
	}
	giveUp := t.Timeout.Microseconds()
	class := func(name string, aim int64) jsonObject {
		return jsonObject{"name": name, "aim": aim, "aimStretch": 1.5, "giveUp": giveUp, "effect": "pure", "group": "all", "lateValue": 0.1, "worth": 1}
	}
	return jsonObject{
		"name": "lab", "listen": t.Addr, "seed": "8c1f30d27a5be964", "dns": t.nameServer.Addr(),
		"limits": jsonObject{"cores": 1, "memory_mb": t.MemoryMB, "sockets": t.Sockets},
		"known":  jsonObject{"seq": 1, "results": []jsonObject{{"seq": 1, "fleet": jsonObject{"version": 1, "full": true, "servers": servers}}}},
		"settings": jsonObject{
			"classes": []jsonObject{class("point", 500_000), class("report", 1_500_000)},
			"extra":   jsonObject{"classThreads": []int{1, 1}, "cpuOfKind": []int{t.Slots}, "ramOfKindMb": []int{65536}, "tellsCost": true},
			"limits": jsonObject{"cancel": true, "connIdle": 15_000_000, "connectTimeout": 250_000, "maxAttempts": 3, "maxOpen": 20000,
				"multiplex": 32, "retryAfter": t.RetryAfter, "maxRetryAfter": 10_000_000},
			"machineTypes": []string{"std"}, "membershipMode": "push", "siblings": 1, "tick": 1000, "zones": []string{"hall-a"},
			"rules": jsonObject{"answerSlack": 5000, "stopSendingWithin": 1_000_000, "overloadFactor": 2},
		},
	}
}

// startGateway starts the gateway process and waits until a client can log in.
func (t *Testbed) startGateway() error {
	if t.Gateway == "" {
		program, err := BuildGateway(context.Background(), t.dir)
		if err != nil {
			return err
		}
		t.Gateway = program
	}
	if t.Addr == "" { // a restarted gateway keeps its address
		if err := t.reserveAddr(); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(t.config())
	if err != nil {
		return err
	}
	path := filepath.Join(t.dir, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if t.Verbose {
		args = append(args, "--verbose")
	}
	if t.SiteConfig != "" {
		site := filepath.Join(t.dir, "foxlane.hcl")
		if err := os.WriteFile(site, []byte(t.SiteConfig), 0o600); err != nil {
			return err
		}
		args = append(args, "--site", site)
	}
	t.gateway = exec.Command(t.Gateway, args...)
	t.gateway.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME=", "LB_LISTEN=")
	if t.LogUnread {
		unread, log, err := os.Pipe()
		if err != nil {
			return err
		}
		defer func() { _ = log.Close() }() // the gateway has its own copy
		t.unreadLogs = append(t.unreadLogs, unread)
		t.gateway.Stderr = log
	} else {
		t.gateway.Stderr = &t.log
	}
	if err := t.gateway.Start(); err != nil {
		return fmt.Errorf("starting the gateway: %w", err)
	}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(startPollInterval) {
		if c, err := standin.Connect(t.Addr, netip.Addr{}, time.Second); err == nil {
			c.Close()
			return nil
		}
	}
	return fmt.Errorf("the gateway does not accept clients at %s within %v: %s", t.Addr, startTimeout, t.Log())
}

// reserveAddr finds a free port for the gateway. If another process takes the port before the gateway listens, the
// start of the gateway fails with an error.
func (t *Testbed) reserveAddr() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.Addr = listener.Addr().String()
	return listener.Close()
}

// Log returns the gateway's log so far. It is complete once the gateway has ended.
func (t *Testbed) Log() string { return t.log.String() }

// CPU returns the CPU time that the gateway has used so far.
func (t *Testbed) CPU() (time.Duration, error) {
	u, err := harness.UsageOf(t.gateway.Process.Pid)
	return time.Duration(u.CPUSeconds * float64(time.Second)), err
}

// RSS returns the resident memory of the gateway, in MB.
func (t *Testbed) RSS() (float64, error) {
	u, err := harness.UsageOf(t.gateway.Process.Pid)
	return u.RSSMB, err
}

// Memory returns the gateway's current and peak resident memory.
func (t *Testbed) Memory() (harness.MemoryUsage, error) {
	return harness.MemoryOf(t.gateway.Process.Pid)
}

// stopEngines ends all engines. They stay in the endpoint list.
func (t *Testbed) stopEngines() {
	for _, e := range t.engines {
		e.Close()
	}
	t.engines = nil
}

// Close stops the gateway, waits for it, and ends the testbed. It returns an error if the gateway did not shut down
// cleanly.
func (t *Testbed) Close() error {
	var err error
	if t.gateway != nil && t.gateway.Process != nil {
		_ = t.gateway.Process.Signal(syscall.SIGTERM) // if it has already ended, Wait returns how
		kill := time.AfterFunc(stopTimeout, func() { _ = t.gateway.Process.Kill() })
		if err = t.gateway.Wait(); err != nil {
			err = fmt.Errorf("the gateway ended with an error: %w: %s", err, t.Log())
		}
		kill.Stop()
	}
	for _, e := range t.engines {
		e.Close()
	}
	if t.nameServer != nil {
		t.nameServer.Close()
	}
	for _, unread := range t.unreadLogs {
		_ = unread.Close() // nothing was read from it
	}
	if t.dir != "" {
		err = errors.Join(err, os.RemoveAll(t.dir))
	}
	return err
}

// discard closes the testbed and ignores an unclean shutdown, which does not affect the measured results.
func (t *Testbed) discard() { _ = t.Close() }
