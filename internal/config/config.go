// Package config owns the configuration of a gateway: it reads the file that
// LB_CONFIG names and derives the Limits from it. It must never start anything
// or guess what is missing: a configuration that contradicts itself is an error.
//
// list.go has the list of engines at the start, limits.go the limits.
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

// Names of environment variables.
const (
	EnvName   = "LB_NAME"
	EnvListen = "LB_LISTEN"
	EnvConfig = "LB_CONFIG"
)

// Config is the whole configuration of a gateway.
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
	Trace       bool         // log the life of each request; set by the caller, not read from a file
	Entropy     [32]byte     // random bytes of the system, for handles; set by the caller, not read from a file
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

// WithSite adds the settings of the operator's own file. An empty path is no file.
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

// spoolFolder says whether results are stored, and in which folder.
func (c Config) spoolFolder() (on bool, folder string) {
	if c.Site == nil || c.Site.Spool == nil {
		return false, ""
	}
	return true, c.Site.Spool.Folder
}

// admissionEnabled says whether admission control is on.
func (c Config) admissionEnabled() bool { return c.Site != nil && c.Site.Admission != nil }

// Reload reads the configuration again, and the operator's own file with it,
// while the gateway serves. The name service's address, the initial list and the
// operator's settings may change; the seed is not used again. Any other
// difference is an error. After an error c is returned unchanged: the file may be
// missing, half written or that of another gateway.
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
	// The decision module has to expect what a dial may take here.
	c.Settings.Rules.Limits.ConnectTimeout = c.Limits.ConnectTimeout
	// Clients can't have more open requests than connections.
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
