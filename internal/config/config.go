// Package config owns what a gateway is told at its start: it reads LB_CONFIG
// and derives the Limits from it. It must never start anything or guess what
// is missing: a configuration that contradicts itself is an error.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"

	"foxlane/internal/files"
	"foxlane/internal/settings"
	"foxlane/internal/site"
)

// Names of the environment's variables.
const (
	EnvName   = "LB_NAME"
	EnvListen = "LB_LISTEN"
	EnvConfig = "LB_CONFIG"
)

// Config is all that a gateway is told.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	Seed        uint64
	DNS         netip.AddrPort
	InitialList EngineList
	Settings    settings.Settings
	Limits      Limits
	SitePath    string       // of the operator's own file; empty: none
	Site        *site.Config // nil: none
	Trace       bool         // the life of each request goes to the log; set by who starts the gateway
	Entropy     [32]byte     // of the system, for what nobody may guess; set by who starts the gateway
}

// EngineList is the list of engines at the start.
type EngineList struct {
	Seq     uint32
	Engines []Engine
}

// Engine is one entry of the list, in the name service's words.
type Engine struct {
	ID      string
	Addr    netip.AddrPort
	Zone    string
	Kind    string
	Cell    int
	State   string
	Weight  float64
	Started int64 // Unix milliseconds; 0: long ago
}

// States of an Engine.
const (
	StateActive   = "active"
	StateDraining = "leaving"
	StateRemoved  = "left"
)

type wireEngine struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type wireListEvent struct {
	Seq   uint32 `json:"seq"`
	Fleet *struct {
		Full    bool         `json:"full"`
		Servers []wireEngine `json:"servers"`
	} `json:"fleet"`
}

type wireConfig struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	DNS   string `json:"dns"`
	Known struct {
		Seq     uint32          `json:"seq"`
		Results []wireListEvent `json:"results"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration that the environment names.
func Load() (Config, error) {
	path := os.Getenv(EnvConfig)
	if path == "" {
		return Config{}, fmt.Errorf("%s is not set", EnvConfig)
	}
	c, err := LoadFile(path)
	if err != nil {
		return c, err
	}
	if name := os.Getenv(EnvName); name != "" && name != c.Name {
		return c, fmt.Errorf("%s is %q, but %s says %q", EnvName, name, path, c.Name)
	}
	if listen := os.Getenv(EnvListen); listen != "" && listen != c.Listen.String() {
		return c, fmt.Errorf("%s is %q, but %s says %q", EnvListen, listen, path, c.Listen)
	}
	return c, nil
}

// WithSite adds what the operator's own file sets. An empty path is no file.
func (c Config) WithSite(path string) (Config, error) {
	if path == "" {
		return c, nil
	}
	s, err := site.LoadFile(path)
	if err != nil {
		return c, err
	}
	if c.SitePath, c.Site = path, s; s.Admission != nil && s.Admission.StateBytes > 0 {
		c.Limits.AdmissionStateBytes = int(s.Admission.StateBytes)
	}
	if s.Admission != nil && int64(c.Limits.AdmissionStateBytes) > c.Limits.MemoryBytes/4 {
		return c, fmt.Errorf("site %s: state is %d bytes, over a quarter of the %d that the gateway may use", path, c.Limits.AdmissionStateBytes,
			c.Limits.MemoryBytes)
	}
	return c, nil
}

// spoolFolder answers whether results are kept, and where.
func (c Config) spoolFolder() (on bool, folder string) {
	if c.Site == nil || c.Site.Spool == nil {
		return false, ""
	}
	return true, c.Site.Spool.Folder
}

// admissionEnabled answers whether the door is on.
func (c Config) admissionEnabled() bool { return c.Site != nil && c.Site.Admission != nil }

// Reload reads the configuration again for a gateway that serves. The name
// service's address and what it is known to have told may change, the seed is
// of no more use; anything else that differs is an error. With an error the
// configuration stays whole as it was: the file may be missing, half written or
// another gateway's. The operator's own file is read with it, whole or not at all.
func (c Config) Reload() (Config, error) {
	next, err := Load()
	if err != nil {
		return c, err
	}
	if next, err = next.WithSite(c.SitePath); err != nil {
		return c, err
	}
	if c.admissionEnabled() != next.admissionEnabled() {
		return c, errors.New("the block fair can't come or go while the gateway serves")
	}
	on, folder := c.spoolFolder()
	if nextOn, nextFolder := next.spoolFolder(); on != nextOn || folder != nextFolder {
		return c, errors.New("the block spool can't come or go, nor its folder change, while the gateway serves")
	}
	for _, fixed := range []struct {
		name     string
		old, new any
	}{
		{"name", c.Name, next.Name},
		{"listen", c.Listen, next.Listen},
		{"limits", c.Limits, next.Limits},
		{"settings", c.Settings, next.Settings},
	} {
		if !reflect.DeepEqual(fixed.old, fixed.new) {
			return c, fmt.Errorf("%s can't change while the gateway serves", fixed.name)
		}
	}
	c.DNS, c.InitialList, c.Site = next.DNS, next.InitialList, next.Site
	return c, nil
}

// LoadFile reads the configuration from a file.
func LoadFile(path string) (Config, error) {
	raw, err := files.Read(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return c, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration.
func Parse(raw []byte) (c Config, err error) {
	var f wireConfig
	if err := json.Unmarshal(raw, &f); err != nil {
		return c, err
	}
	if f.Name == "" {
		return c, errors.New("name is missing")
	}
	c.Name = f.Name
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if c.DNS, err = netip.ParseAddrPort(f.DNS); err != nil {
		return c, fmt.Errorf("dns: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return c, err
	}
	if err := uniqueNames(c.Settings.ClassNames); err != nil {
		return c, err
	}
	if c.InitialList, err = replay(f.Known.Seq, f.Known.Results); err != nil {
		return c, fmt.Errorf("known: %w", err)
	}
	if c.Limits, err = deriveLimits(f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets, c.Settings); err != nil {
		return c, err
	}
	// What the module reckons with is what a dial may take here.
	c.Settings.Rules.Limits.ConnectTimeout = c.Limits.ConnectTimeout
	// On sockets, clients can have no more requests open than they have connections.
	open := &c.Settings.Rules.Limits.MaxOpenRequests
	if *open <= 0 || *open > c.Limits.ClientQuota {
		*open = c.Limits.ClientQuota
	}
	return c, nil
}

func uniqueNames(names []string) error {
	seen := map[string]bool{}
	for i, name := range names {
		switch {
		case name == "" || seen[name]:
			return fmt.Errorf("settings: class %d has no name of its own: %q", i, name)
		case strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune(",=*/", c) }):
			return fmt.Errorf("settings: class %d: its name %q can't be carried in a list of fields", i, name)
		}
		seen[name] = true
	}
	return nil
}

// replay follows the events of the list up to the start.
func replay(last uint32, events []wireListEvent) (k EngineList, err error) {
	k.Seq = last
	at := map[string]int{}
	for _, e := range events {
		if e.Seq > last {
			return k, fmt.Errorf("event %d is later than seq %d", e.Seq, last)
		}
		if e.Fleet == nil {
			continue
		}
		if e.Fleet.Full {
			k.Engines = nil
			clear(at)
		}
		for _, s := range e.Fleet.Servers {
			entry, err := s.engine()
			if err != nil {
				return k, fmt.Errorf("event %d: engine %q: %w", e.Seq, s.ID, err)
			}
			i, ok := at[entry.ID]
			if !ok {
				i = len(k.Engines)
				at[entry.ID] = i
				k.Engines = append(k.Engines, Engine{})
			}
			k.Engines[i] = entry
		}
	}
	listed := k.Engines[:0]
	for _, e := range k.Engines {
		if e.State != StateRemoved {
			listed = append(listed, e)
		}
	}
	k.Engines = listed
	return k, nil
}

func (s wireEngine) engine() (Engine, error) {
	e := Engine{ID: s.ID, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: s.State, Weight: s.Weight, Started: s.Started}
	if s.ID == "" || s.Cell < 0 || s.Started < 0 {
		return e, errors.New("an unusable value")
	}
	switch s.State {
	case StateActive, StateDraining:
		addr, err := netip.ParseAddrPort(s.Addr)
		e.Addr = addr
		return e, err
	case StateRemoved:
		return e, nil
	}
	return e, fmt.Errorf("unknown state %q", s.State)
}
