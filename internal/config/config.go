// Package config reads the configuration of a gateway from the file that
// LB_CONFIG names, and derives the gateway's Limits from it. It starts nothing and
// guesses no missing value: an inconsistent configuration is an error.
//
// list.go has the initial list of engines, limits.go the limits.
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

// Names of the environment variables. LB_CONFIG is the path of the configuration; the other two, if set, must agree
// with it.
const (
	EnvName   = "LB_NAME"
	EnvListen = "LB_LISTEN"
	EnvConfig = "LB_CONFIG"
)

// Config is the complete configuration of a gateway.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	Seed        uint64
	DNS         netip.AddrPort // address of the name service
	InitialList EngineList
	Settings    settings.Settings
	Limits      Limits
	SitePath    string       // path of the operator's own file; empty: none
	Site        *site.Config // settings of the operator's own file; nil: none
	Trace       bool         // log each step of each request; set by the caller, not read from a file
	Entropy     [32]byte     // random bytes of the operating system, for handles; set by the caller, not read from a file
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

// Load reads the configuration from the file that LB_CONFIG names. It fails if LB_NAME or LB_LISTEN contradicts it.
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
		return c, fmt.Errorf("%s is %q, but %s has %q", EnvName, name, path, c.Name)
	}
	if listen := os.Getenv(EnvListen); listen != "" && listen != c.Listen.String() {
		return c, fmt.Errorf("%s is %q, but %s has %q", EnvListen, listen, path, c.Listen)
	}
	return c, nil
}

// WithSite returns the configuration with the settings of the operator's own file. With an empty path it returns c.
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
		return c, fmt.Errorf("site %s: state is %d bytes, more than a quarter of the gateway's memory limit of %d bytes", path, c.Limits.AdmissionStateBytes,
			c.Limits.MemoryBytes)
	}
	features := c.featureBytes()
	if features > c.Limits.MemoryBytes/2 {
		return c, fmt.Errorf("site %s: state (block fair) and memory (block spool) are %d bytes together, more than half of the gateway's memory limit of %d bytes", path,
			features, c.Limits.MemoryBytes)
	}
	c.Limits.divideMemory(features)
	return c, nil
}

// featureBytes returns the memory that the operator's own file gives to admission control and to stored results.
func (c Config) featureBytes() (n int64) {
	if c.admissionEnabled() {
		n += int64(c.Limits.AdmissionStateBytes)
	}
	if c.Site != nil && c.Site.Spool != nil {
		n += c.Site.Spool.Budget.MemoryBytes
	}
	return n
}

// spoolFolder reports whether results are stored, and in which folder.
func (c Config) spoolFolder() (enabled bool, folder string) {
	if c.Site == nil || c.Site.Spool == nil {
		return false, ""
	}
	return true, c.Site.Spool.Folder
}

// admissionEnabled reports whether admission control is on.
func (c Config) admissionEnabled() bool { return c.Site != nil && c.Site.Admission != nil }

// Reload reads the configuration and the operator's own file again while the
// gateway serves. The address of the name service, the initial list and the
// operator's settings may change; a changed seed is ignored. Any other
// difference is an error. With an error Reload returns c unchanged: the file may
// be missing, partly written or that of another gateway.
func (c Config) Reload() (Config, error) {
	next, err := Load()
	if err != nil {
		return c, err
	}
	if next, err = next.WithSite(c.SitePath); err != nil {
		return c, err
	}
	next.Limits.keepMemoryShares(&c.Limits) // as far as the block spool has changed them
	if c.admissionEnabled() != next.admissionEnabled() {
		return c, errors.New("the block fair can't be added or removed while the gateway serves")
	}
	enabled, folder := c.spoolFolder()
	if nextEnabled, nextFolder := next.spoolFolder(); enabled != nextEnabled || folder != nextFolder {
		return c, errors.New("the block spool can't be added or removed, nor its folder change, while the gateway serves")
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

// LoadFile reads the configuration from the file at path, without the environment.
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

// Parse decodes a configuration from JSON and derives its limits.
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
	if err := checkClassNames(c.Settings.ClassNames); err != nil {
		return c, err
	}
	if c.InitialList, err = replayEvents(f.Known.Seq, f.Known.Results); err != nil {
		return c, fmt.Errorf("known: %w", err)
	}
	if c.Limits, err = deriveLimits(f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets, c.Settings); err != nil {
		return c, err
	}
	// The decision module has to know how long a dial may take: ConnectTimeout has a default if the settings have none.
	c.Settings.Rules.Limits.ConnectTimeout = c.Limits.ConnectTimeout
	// Each client connection has one request at a time, so ClientQuota bounds the open requests.
	maxOpen := &c.Settings.Rules.Limits.MaxOpenRequests
	if *maxOpen <= 0 || *maxOpen > c.Limits.ClientQuota {
		*maxOpen = c.Limits.ClientQuota
	}
	return c, nil
}

// checkClassNames checks that names are unique, not empty, and valid as a value in a list of fields.
func checkClassNames(names []string) error {
	seen := map[string]bool{}
	for i, name := range names {
		switch {
		case name == "" || seen[name]:
			return fmt.Errorf("settings: class %d has an empty or duplicate name: %q", i, name)
		case strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune(",=*/", c) }):
			return fmt.Errorf("settings: class %d: the name %q can't be written in a list of fields", i, name)
		}
		seen[name] = true
	}
	return nil
}
