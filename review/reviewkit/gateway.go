package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxlane/internal/standin"
)

// gateway is a gateway's process and its files.
type gateway struct {
	run    *run
	name   string
	listen string
	starts int

	mu     sync.Mutex
	cmd    *exec.Cmd     // nil: none was started
	exited chan struct{} // closed once the process has exited
}

// Times that the operators' pages give a gateway.
const (
	readyTimeout = 10 * time.Second
	exitTimeout  = 3700 * time.Millisecond // from SIGTERM to the earliest SIGKILL, with deadlines of 3 s and more
)

// startGateway starts a gateway with the text of the operator's own file.
func (r *run) startGateway(name, site string) (*gateway, error) {
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	g := &gateway{run: r, name: name, listen: listen}
	r.addGateway(g)
	if err := g.writeSite(site); err != nil {
		return nil, err
	}
	return g, g.start()
}

func (g *gateway) sitePath() string { return g.run.path(g.name + ".hcl") }

// writeSite replaces the operator's own file.
func (g *gateway) writeSite(text string) error {
	return os.WriteFile(g.sitePath(), []byte(text), 0o600)
}

// runLine returns the command of the deploy file, with the operator's own file of this gateway.
func (g *gateway) runLine() (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no line `run`")
	}
	return strings.Replace(string(match[1]), "deploy/fleet.hcl", g.sitePath(), 1), nil
}

// start starts the process and waits until it answers a client's login.
func (g *gateway) start() error {
	command, err := g.runLine()
	if err != nil {
		return err
	}
	g.starts++
	config, err := json.Marshal(g.config())
	if err != nil {
		return err
	}
	configPath := g.run.path(g.name + ".json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return err
	}
	log, err := os.Create(g.run.path(fmt.Sprintf("%s.%d.log", g.name, g.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+configPath, "LB_NAME="+g.name, "LB_LISTEN="+g.listen)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the cases judge exits by the exit code in ProcessState
		close(exited)
	}()
	g.run.note("%s: started", g.name)
	return g.awaitReady()
}

func (g *gateway) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if g.hasExited() {
			return fmt.Errorf("%s exited during its start: %s", g.name, g.log())
		}
		if client, err := standin.Connect(g.listen, netip.Addr{}, time.Second); err == nil {
			client.Close()
			return nil
		}
	}
	return fmt.Errorf("%s was not ready: %s", g.name, g.log())
}

// log returns the log of the current process.
func (g *gateway) log() string {
	raw, _ := os.ReadFile(g.run.path(fmt.Sprintf("%s.%d.log", g.name, g.starts)))
	return string(raw)
}

// process returns the current process and a channel that is closed once it has exited; nil: none was started.
func (g *gateway) process() (*exec.Cmd, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd, g.exited
}

func (g *gateway) hasExited() bool {
	_, exited := g.process()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, if it runs.
func (g *gateway) signal(signal syscall.Signal) {
	if cmd, _ := g.process(); cmd != nil && !g.hasExited() {
		_ = cmd.Process.Signal(signal) // it may exit at the same time
	}
}

// kill kills the process and waits for its exit.
func (g *gateway) kill() {
	cmd, exited := g.process()
	if cmd == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-exited
}

// config returns the configuration: a small deployment in the form of example/config.json.
func (g *gateway) config() any {
	type object = map[string]any
	var servers []object
	for _, host := range g.run.hosts() {
		servers = append(servers, object{"id": host.ID, "addr": host.Addr.String(), "zone": host.Zone, "kind": host.Kind, "cell": 0,
			"state": "active", "weight": host.Weight, "started_ms": 0})
	}
	class := func(name, effect string, aim, giveUp time.Duration) object {
		return object{"name": name, "aim": aim.Microseconds(), "aimStretch": 2.5, "giveUp": giveUp.Microseconds(), "effect": effect, "group": "all",
			"lateValue": 0.4, "worth": 1}
	}
	return object{
		"name": g.name, "listen": g.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"dns":    g.run.names.Addr(),
		"known":  object{"seq": 1, "results": []object{{"seq": 1, "fleet": object{"version": 1, "full": true, "servers": servers}}}},
		"settings": object{
			"classes": []object{class("report", "pure", 1500*time.Millisecond, 20*time.Second), class("load", "side_effect", 2*time.Second, 20*time.Second)},
			"parties": []object{{"name": "red", "fraction": 0.5, "quotaPerS": 100}, {"name": "blue", "fraction": 0.5, "quotaPerS": 100}},
			"extra":   object{"classThreads": []int{1, 1}, "isLoad": []bool{false, false}, "cpuOfKind": []int{16}, "ramOfKindMb": []int{32768}},
			"limits": object{"cancel": true, "connIdle": 15_000_000, "connectTimeout": 250_000, "maxAttempts": 3, "maxOpen": 20000, "multiplex": 32,
				"probes": true, "retryAfter": true, "maxRetryAfter": 2_000_000},
			"machineTypes": []string{"std-16"}, "membershipMode": "push", "siblings": 1, "tick": 1000, "zone": 0, "zones": []string{"hall-a"},
			"rules": object{"answerSlack": 5000, "cold": 15_000_000, "coldFrom": 0.33, "overloadFactor": 3, "stopSendingWithin": 1_000_000,
				"tipAfter": 2_000_000},
		},
	}
}
