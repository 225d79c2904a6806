package harness

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
)

// This file writes the files that a gateway reads, and chooses the addresses in them.

// Resource limits of a gateway, as its configuration declares them, unless the script has its own.
const (
	defaultMemoryMB = 64
	defaultSockets  = 512
)

// memoryMB returns the memory limit of each gateway.
func (s *Script) memoryMB() int { return cmp.Or(s.MemoryMB, defaultMemoryMB) }

// sockets returns the descriptor limit of each gateway.
func (s *Script) sockets() int { return cmp.Or(s.Sockets, defaultSockets) }

// jsonObject is a JSON object.
type jsonObject = map[string]any

// config returns the gateway's current configuration, in the format of the platform that runs the module.
func (g *gateway) config() jsonObject {
	f := g.fleet
	var servers []jsonObject
	serial, hosts := g.knownList()
	for _, h := range hosts {
		state := "active"
		if h.Draining {
			state = "leaving"
		}
		servers = append(servers, jsonObject{"id": h.ID, "addr": h.Addr.String(), "zone": h.Zone, "kind": h.Kind, "state": state, "weight": 4,
			"started_ms": h.Started})
	}
	var classes []jsonObject
	var threads []int
	var loads []bool
	for _, c := range f.classes {
		classes = append(classes, c.config())
		threads, loads = append(threads, 1), append(loads, false)
	}
	var zones []string
	for _, z := range f.Zones {
		zones = append(zones, z.Name)
	}
	return jsonObject{
		"name": fmt.Sprint("n", g.index), "listen": g.listenAddr, "seed": fmt.Sprintf("%016x", f.Seed*1000+uint64(g.index)*10+uint64(g.incarnation.Load())),
		"dns":    g.dnsProxy.Addr().String(),
		"limits": jsonObject{"cores": 1, "memory_mb": f.memoryMB(), "sockets": f.sockets()},
		"known":  jsonObject{"seq": serial, "results": []jsonObject{{"seq": serial, "fleet": jsonObject{"version": 1, "full": true, "servers": servers}}}},
		"settings": jsonObject{
			"classes": classes, "clients": jsonObject{"marksRetry": true}, "fees": jsonObject{"crossZone": 0.05},
			"extra": jsonObject{"classThreads": threads, "isLoad": loads, "cpuOfKind": []int{f.Cores}, "ramOfKindMb": []int{65536}, "tellsCost": true},
			"limits": jsonObject{"cancel": true, "connIdle": 15_000_000, "connectTimeout": 250_000, "maxAttempts": 3, "maxOpen": 20000,
				"multiplex": 32, "retryAfter": true, "maxRetryAfter": 2_000_000, "probes": true},
			"machineTypes": []string{"std"}, "membershipMode": "push", "me": g.index, "siblings": len(f.gateways), "tick": 1000, "zone": g.zoneIndex,
			"zones": zones,
			"rules": f.ruleSettings(),
		},
	}
}

// config returns the class's entry in the configuration.
func (c *requestClass) config() jsonObject {
	effect := "pure"
	if c.nonIdempotent {
		effect = "side_effect"
	}
	if c.idempotencyWindow > 0 {
		effect = "token"
	}
	entry := jsonObject{"dedupWindow": c.idempotencyWindow.Microseconds(), "name": c.name, "aim": c.latencyObjective.Microseconds(), "aimStretch": objectiveStretch, "giveUp": c.timeout.Microseconds(),
		"effect": effect, "group": "all", "lateValue": lateValue, "worth": c.weight, "serialByKey": c.ordered}
	if c.firstZoneOnly {
		entry["staysIn"] = []int{0}
	}
	return entry
}

// ruleSettings returns the settings of those rules that the harness checks.
func (f *fleet) ruleSettings() jsonObject {
	settings := jsonObject{"answerSlack": 5000, "stopSendingWithin": 1_000_000, "overloadFactor": f.overloadFactor(), "cold": f.Cold.Microseconds(),
		"coldFrom": f.ColdFrom, "tipAfter": overloadWindow.Microseconds(), "keyRest": keyQuarantine.Microseconds()}
	if f.RetryBudget > 0 {
		settings["freeResends"], settings["extraPerRequest"], settings["lookBack"] = freeRetries, f.RetryBudget, retryWindow.Microseconds()
	}
	return settings
}

// membersBlock returns the blocks of the operator's file that configure gossip and directives; empty without gossip.
func (g *gateway) membersBlock() string {
	if !g.fleet.Gossip || g.fleet.gossipOff.Load() {
		return ""
	}
	text := fmt.Sprintf("members {\n  bind = %q\n  control = %q\n  fast = true\n  seeds = [", g.gossipAddr, g.controlAddr)
	for _, other := range g.fleet.gateways {
		if other != g {
			text += fmt.Sprintf("%q, ", other.gossipAddr)
		}
	}
	text += "]\n"
	for i, proxy := range g.peerProxies {
		if proxy != nil {
			text += fmt.Sprintf("  via %q {\n    at = %q\n  }\n", g.fleet.gateways[i].gossipAddr, proxy.Addr())
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

// path returns the path of one of the gateway's files.
func (g *gateway) path(name string) string {
	return filepath.Join(g.fleet.dir, fmt.Sprintf("g%d-%s", g.index, name))
}

// writeFiles writes the gateway's current configuration and operator's file.
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

// replaceFile replaces a file atomically. Several faults may replace it at the same time.
func replaceFile(path string, data []byte) error {
	next, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".next")
	if err != nil {
		return err
	}
	_, err = next.Write(data)
	if err = errors.Join(err, next.Close()); err != nil {
		return err
	}
	return os.Rename(next.Name(), path)
}

// operatorFile returns the text of the operator's file, with the zones that are currently drained.
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
	return strings.Replace(text, "sites {\n", "sites {\n"+zones, 1)
}

// unusedAddrCalls counts the calls of unusedAddr in this process, so that no two calls try the same port first.
var unusedAddrCalls atomic.Uint32

// Ports of gateways are below the ephemeral range: the system could give an ephemeral port that is free now to a
// proxy or a connection before the gateway starts.
const (
	firstPort = 20_000
	portCount = 10_000
)

// unusedAddr returns a loopback address that nothing listens on. The host index selects the last octet, one per
// gateway. Concurrent processes and calls do not compete for an address: the process id selects a part of the
// loopback range, and each call begins at another port.
func unusedAddr(hostIndex int) (string, error) {
	pid, n := uint32(os.Getpid()), unusedAddrCalls.Add(1)
	for try := range uint32(portCount) {
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8%128, pid%256, hostIndex+1, firstPort+(n+try)%portCount)
		ln, err := net.Listen("tcp", addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		return addr, ln.Close()
	}
	return "", errNoPort
}

var errNoPort = errors.New("harness: no free port for a gateway")
