package casekit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxlane/internal/standin"
)

// ListName is the name of the endpoint list at the name service.
const ListName = "_data._tcp.farm.lan"

// Setup describes a gateway: its deployment and who it talks to.
type Setup struct {
	Deployment Deployment
	Index      int // of the gateway, from 0
	Gateways   int // how many gateways there are
	Hosts      []standin.Host
	DNS        string
}

// Limits of a gateway, the largest of the days that the operators score.
const (
	memoryMB = 192
	sockets  = 1024
)

// Gateway is a gateway's process.
type Gateway struct {
	Name    string
	Addr    string
	Config  string // path of its configuration
	Process *os.Process
	command string
	folder  string
	log     *os.File
	exited  chan struct{}
	state   *os.ProcessState // valid once exited is closed
}

// runLine finds the command in the deploy file that starts a gateway.
var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// StartGateway starts a gateway with the command of the deploy file, and waits until it answers a ping. The current
// folder must be the repository's root.
func StartGateway(setup Setup) (*Gateway, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	command := runLine.FindSubmatch(deploy)
	if command == nil {
		return nil, errors.New("the deploy file has no line run")
	}
	gateway := &Gateway{Name: fmt.Sprintf("n%d", setup.Index), command: string(command[1])}
	if gateway.Addr, err = freeAddress(); err != nil {
		return nil, err
	}
	if gateway.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	gateway.Config = filepath.Join(gateway.folder, "config.json")
	if err := setup.write(gateway); err != nil {
		return nil, err
	}
	if err := gateway.start(); err != nil {
		return nil, err
	}
	return gateway, nil
}

// start starts the process and waits until it is ready. Its log is in its folder.
func (g *Gateway) start() (err error) {
	if g.log, err = os.Create(filepath.Join(g.folder, "log")); err != nil {
		return err
	}
	cmd := exec.Command("/bin/sh", "-c", g.command)
	cmd.Env = append(os.Environ(), "LB_NAME="+g.Name, "LB_LISTEN="+g.Addr, "LB_CONFIG="+g.Config, "TMPDIR="+g.folder)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.Process, g.exited = cmd.Process, exited
	started.Store(cmd.Process, g.folder)
	go func() {
		_ = cmd.Wait() // the state says how it ended
		started.Delete(cmd.Process)
		g.state = cmd.ProcessState
		close(exited)
	}()
	if err := g.awaitReady(); err != nil {
		g.End()
		return err
	}
	return nil
}

// readyTimeout is how long a gateway may take until it is ready.
const readyTimeout = 10 * time.Second

// awaitReady waits until the gateway answers a ping.
func (g *Gateway) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		client, err := Dial(g.Addr)
		if err != nil {
			continue
		}
		err = client.Ping()
		client.Close()
		if err == nil {
			return nil
		}
	}
	return errors.New("the gateway was not ready in time")
}

// started holds the folders of the processes that run, by *os.Process.
var started sync.Map

// killAll kills the processes that run, stopped ones too, and removes their folders.
func killAll() {
	started.Range(func(process, folder any) bool {
		_ = process.(*os.Process).Kill() // it may have ended
		_ = os.RemoveAll(folder.(string))
		return true
	})
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(signal syscall.Signal) error { return g.Process.Signal(signal) }

// Running reports whether the process has not ended.
func (g *Gateway) Running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// AwaitExit waits for the end of the process and describes it. ok is false if it still runs after the timeout.
func (g *Gateway) AwaitExit(timeout time.Duration) (state string, ok bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-g.exited:
		return g.state.String(), true
	case <-timer.C:
		return "", false
	}
}

// Log returns the lines of the gateway's log that contain the text. A line feed at its beginning stands for the beginning
// of a line.
func (g *Gateway) Log(text string) (lines []string) {
	content, _ := os.ReadFile(filepath.Join(g.folder, "log")) // without a log there are no lines
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains("\n"+line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// End kills the process if it still runs, and removes its folder.
func (g *Gateway) End() {
	_ = g.Process.Kill() // it may have ended
	<-g.exited
	_ = g.log.Close()
	_ = os.RemoveAll(g.folder)
}

// write writes the configuration of a gateway.
func (s *Setup) write(gateway *Gateway) error {
	content, err := os.ReadFile("example/config.json")
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(content, &config); err != nil {
		return err
	}
	config["name"], config["listen"], config["dns"] = gateway.Name, gateway.Addr, s.DNS
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	config["known"] = knownList(s.Hosts)
	settings := config["settings"].(map[string]any)
	settings["siblings"], settings["me"] = s.Gateways, s.Index
	s.Deployment.Settings(settings)
	if content, err = json.MarshalIndent(config, "", "  "); err != nil {
		return err
	}
	return os.WriteFile(gateway.Config, content, 0o600)
}

// firstSerial is the number of the event with which the endpoint list begins.
const firstSerial = 1

// knownList returns the endpoint list of the start in the form of the configuration.
func knownList(hosts []standin.Host) map[string]any {
	servers := make([]any, 0, len(hosts))
	for _, host := range hosts {
		servers = append(servers, map[string]any{"id": host.ID, "addr": host.Addr.String(), "zone": host.Zone, "kind": host.Kind,
			"cell": host.Cell, "state": "active", "weight": host.Weight, "started_ms": host.Started})
	}
	fleet := map[string]any{"version": 1, "full": true, "servers": servers}
	return map[string]any{"seq": firstSerial, "results": []any{map[string]any{"seq": firstSerial, "fleet": fleet}}}
}

// host returns the entry of an engine in the endpoint list. Engines are spread evenly over the zones.
func (d *Deployment) host(number int, engine *standin.Engine) standin.Host {
	return standin.Host{ID: fmt.Sprintf("s-%08d", number+1), Zone: d.Zones[number%len(d.Zones)], Kind: d.Kind, Weight: 4,
		Addr: netip.MustParseAddrPort(engine.Addr())}
}

// freeAddress returns a loopback address with a port that is free.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
