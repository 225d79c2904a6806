// Package lab owns measurements of a gateway on loopback: stand-in engines, a
// name service and clients round a gateway's own process, all bounded in time
// and count. It must never be part of that process, nor reach any address but
// this machine's.
package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"foxlane/internal/harness"
	"foxlane/internal/standin"
)

const listName = "_data._tcp.farm.lan"

// Setup says what a World is made of.
type Setup struct {
	Gateway     string // the program; empty: built from this module
	Engines     int
	Slots       int           // of an engine
	ServiceTime time.Duration // of a request
	MemoryMB    int
	Sockets     int
	SiteConfig  string // text of the operator's file; empty: none
	RetryAfter  bool   // times of return are allowed
	Timeout     time.Duration
	Pages       []string // of every result; nil: one row
}

// Testbed is a gateway with what it talks to.
type Testbed struct {
	Setup
	Addr        string
	engineSlots []*standin.Slots
	engines     []*standin.Engine
	hosts       []standin.Host
	nameServer  *standin.NameServer
	gateway     *exec.Cmd
	log         bytes.Buffer
	dir         string
}

// BuildGateway builds the gateway's program into a folder and returns its path.
func BuildGateway(ctx context.Context, dir string) (string, error) {
	out := filepath.Join(dir, "foxlane")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", out, "foxlane/cmd/foxlane")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the gateway (run this within its repository, or name a program): %w\n%s", err, text)
	}
	return out, nil
}

// GatewayProgram is the gateway's program: the one that is named, or one built from this module, which remove takes away.
func GatewayProgram(ctx context.Context, named string) (path string, remove func(), err error) {
	if named != "" {
		return named, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "foxlab")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	if path, err = BuildGateway(ctx, dir); err != nil {
		remove()
	}
	return path, remove, err
}

// StartTestbed starts a world; Close ends it.
func StartTestbed(s Setup) (w *Testbed, err error) {
	w = &Testbed{Setup: s}
	defer func() {
		if err != nil {
			w.Close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "foxlab"); err != nil {
		return w, err
	}
	if w.nameServer, err = standin.NewNameServer("127.0.0.1:0", listName); err != nil {
		return w, err
	}
	var hosts []standin.Host
	for i := range s.Engines {
		slots := standin.NewSlots(s.Slots)
		e, err := standin.NewEngine("127.0.0.1:0", func(standin.Request) standin.Reply {
			pages := s.Pages
			if pages == nil {
				pages = []string{"a\tb\tc\n"}
			}
			return standin.Reply{Delay: slots.Reserve(s.ServiceTime), ReportedWork: s.ServiceTime, Status: "served", Pages: pages}
		})
		if err != nil {
			return w, err
		}
		w.engineSlots, w.engines = append(w.engineSlots, slots), append(w.engines, e)
		hosts = append(hosts, standin.Host{ID: fmt.Sprintf("s-%08x", i+1), Zone: "hall-a", Addr: netip.MustParseAddrPort(e.Addr()),
			Weight: 4, Kind: "std"})
	}
	w.nameServer.SetHosts(2, hosts)
	w.hosts = hosts
	return w, w.startGateway(hosts)
}

// Requests is how many requests the engines have seen.
func (w *Testbed) Requests() (n int) {
	for _, e := range w.engines {
		n += len(e.Requests())
	}
	return n
}

// KillAndRestart ends the gateway outright and starts it again on the same files.
func (w *Testbed) KillAndRestart() error {
	_ = w.gateway.Process.Kill()
	_ = w.gateway.Wait()
	return w.startGateway(w.hosts)
}

// SetSpeed makes all engines run at a part of their speed from now on.
func (w *Testbed) SetSpeed(part float64) {
	for _, s := range w.engineSlots {
		s.SetSpeed(part)
	}
}

type jsonObject = map[string]any

func (w *Testbed) config(hosts []standin.Host, listen string) jsonObject {
	var servers []jsonObject
	for _, h := range hosts {
		servers = append(servers, jsonObject{"id": h.ID, "addr": h.Addr.String(), "zone": h.Zone, "kind": h.Kind, "state": "active", "weight": 4})
	}
	giveUp := w.Timeout.Microseconds()
	class := func(name string, aim int64) jsonObject {
		return jsonObject{"name": name, "aim": aim, "aimStretch": 1.5, "giveUp": giveUp, "effect": "pure", "group": "all", "lateValue": 0.1, "worth": 1}
	}
	return jsonObject{
		"name": "lab", "listen": listen, "seed": "8c1f30d27a5be964", "dns": w.nameServer.Addr(),
		"limits": jsonObject{"cores": 1, "memory_mb": w.MemoryMB, "sockets": w.Sockets},
		"known":  jsonObject{"seq": 1, "results": []jsonObject{{"seq": 1, "fleet": jsonObject{"version": 1, "full": true, "servers": servers}}}},
		"settings": jsonObject{
			"classes": []jsonObject{class("point", 500_000), class("report", 1_500_000)},
			"extra":   jsonObject{"classThreads": []int{1, 1}, "cpuOfKind": []int{w.Slots}, "ramOfKindMb": []int{65536}, "tellsCost": true},
			"limits": jsonObject{"cancel": true, "connIdle": 15_000_000, "connectTimeout": 250_000, "maxAttempts": 3, "maxOpen": 20000,
				"multiplex": 32, "retryAfter": w.RetryAfter, "maxRetryAfter": 10_000_000},
			"machineTypes": []string{"std"}, "membershipMode": "push", "siblings": 1, "tick": 1000, "zones": []string{"hall-a"},
			"rules": jsonObject{"answerSlack": 5000, "stopSendingWithin": 1_000_000, "overloadFactor": 2},
		},
	}
}

func (w *Testbed) startGateway(hosts []standin.Host) error {
	if w.Gateway == "" {
		program, err := BuildGateway(context.Background(), w.dir)
		if err != nil {
			return err
		}
		w.Gateway = program
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.Addr = ln.Addr().String()
	ln.Close()
	raw, err := json.Marshal(w.config(hosts, w.Addr))
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if w.SiteConfig != "" {
		site := filepath.Join(w.dir, "foxlane.hcl")
		if err := os.WriteFile(site, []byte(w.SiteConfig), 0o600); err != nil {
			return err
		}
		args = append(args, "--site", site)
	}
	w.gateway = exec.Command(w.Gateway, args...)
	w.gateway.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME=", "LB_LISTEN=")
	w.gateway.Stderr = &w.log
	if err := w.gateway.Start(); err != nil {
		return err
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if c, err := standin.Connect(w.Addr, netip.Addr{}, time.Second); err == nil {
			c.Close()
			return nil
		}
	}
	return errors.New("the gateway does not serve: " + w.Log())
}

// Log is the gateway's log. It is whole only once the gateway has ended.
func (w *Testbed) Log() string { return w.log.String() }

// CPU is the processor time that the gateway has used so far.
func (w *Testbed) CPU() (time.Duration, error) {
	u, err := harness.UsageOf(w.gateway.Process.Pid)
	return time.Duration(u.CPUSeconds * float64(time.Second)), err
}

// RSS is the memory that the gateway holds now, in MB.
func (w *Testbed) RSS() (float64, error) {
	u, err := harness.UsageOf(w.gateway.Process.Pid)
	return u.RSSMB, err
}

// Close ends the world and waits for the gateway: its exit is part of what is checked.
func (w *Testbed) Close() error {
	var err error
	if w.gateway != nil && w.gateway.Process != nil {
		_ = w.gateway.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(8*time.Second, func() { _ = w.gateway.Process.Kill() })
		if err = w.gateway.Wait(); err != nil {
			err = fmt.Errorf("the gateway ended with %w: %s", err, w.Log())
		}
		kill.Stop()
	}
	for _, e := range w.engines {
		e.Close()
	}
	if w.nameServer != nil {
		w.nameServer.Close()
	}
	if w.dir != "" {
		os.RemoveAll(w.dir)
	}
	return err
}
