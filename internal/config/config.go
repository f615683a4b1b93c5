// Package config reads a gateway's configuration and tells what of another one can be taken in while it
// serves.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"sparspread/internal/discovery"
	"sparspread/internal/settings"
	"sparspread/policy"
)

// Config is what a gateway is told at its start.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Seed            uint64
	MemoryMB        int
	Sockets         int
	DescriptorLimit int    // descriptors that the process may open; 0: not known
	Ops             string // where operators call; empty: nowhere

	PeerListen string
	Peers      []netip.AddrPort // by number, this gateway's own among them
	Counter    string
	Known      discovery.Update

	Settings policy.Settings
	Host     settings.Host

	Keys map[string]Present // the top-level keys that the file has
}

// file is the configuration as it is written.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	PeerListen string           `json:"peer_listen"`
	Peers      []string         `json:"peers"`
	Counter    string           `json:"counter"`
	Ops        string           `json:"ops"`
	Known      discovery.Update `json:"known"`
	Settings   json.RawMessage  `json:"settings"`
}

// Present is the value of a key of which only the name counts: the list last known may be long, and a
// copy of its text would be a quarter of what reading the file takes.
type Present struct{}

func (*Present) UnmarshalJSON([]byte) error { return nil }

// The limits held where the configuration states none, and the least that a
// gateway can work with.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	MinSockets      = 32
)

// Parse reads a configuration.
func Parse(raw []byte) (Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		PeerListen: f.PeerListen, Counter: f.Counter, Known: f.Known, Ops: f.Ops,
	}
	if err := json.Unmarshal(raw, &c.Keys); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets <= 0 {
		c.Sockets = defaultSockets
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("configuration: seed %q: 16 hex digits wanted", f.Seed)
	}
	for i, p := range f.Peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return c, fmt.Errorf("configuration: peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("configuration: settings: missing")
	}
	if c.Settings, c.Host, err = settings.ParseJSON(f.Settings); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, c.check()
}

// CheckKeys tells which key of the configuration in force another one lacks. What the list was
// last known to be is no setting.
func (c *Config) CheckKeys(other *Config) error {
	for key := range c.Keys {
		if _, ok := other.Keys[key]; !ok && key != "known" {
			return fmt.Errorf("configuration: %s: missing", key)
		}
	}
	for key := range c.Host.Keys {
		if !other.Host.Keys[key] {
			return fmt.Errorf("configuration: settings: %s: missing", key)
		}
	}
	return nil
}

// check tells which part of the configuration cannot be served.
func (c *Config) check() error {
	switch {
	case c.Listen == "":
		return errors.New("configuration: listen: missing")
	case c.Discovery == "":
		return errors.New("configuration: discovery: missing")
	case c.Sockets < MinSockets:
		return fmt.Errorf("configuration: limits.sockets: %d, at least %d wanted", c.Sockets, MinSockets)
	case c.Settings.Gossip && (c.PeerListen == "" || len(c.Peers) != c.Settings.Gateways):
		return fmt.Errorf("configuration: peers: %d addresses for %d gateways, peer_listen %q",
			len(c.Peers), c.Settings.Gateways, c.PeerListen)
	case c.Settings.SharedCounter && !c.Settings.Gossip && c.Counter == "":
		return errors.New("configuration: counter: missing")
	}
	addresses := map[string]string{"discovery": c.Discovery, "counter": c.Counter}
	if c.Counter == "" {
		delete(addresses, "counter")
	}
	for name, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("configuration: %s: %w", name, err)
		}
	}
	for i, name := range c.Host.Classes {
		if name == "" {
			return fmt.Errorf("configuration: class %d has no name", i)
		}
	}
	for i, name := range c.Host.Plans {
		if name == "" {
			return fmt.Errorf("configuration: plan %d has no name", i)
		}
	}
	if c.Host.DialTimeout <= 0 {
		c.Host.DialTimeout = 250_000
	}
	if c.Host.IdleClose <= 0 {
		c.Host.IdleClose = 10_000_000
	}
	if c.Host.CounterTimeout <= 0 {
		c.Host.CounterTimeout = 50_000
	}
	return nil
}

// KeepFixed takes over from the configuration in force what only a restart can change.
func (c *Config) KeepFixed(old *Config) {
	c.Name, c.Listen, c.Ops, c.PeerListen, c.Peers = old.Name, old.Listen, old.Ops, old.PeerListen, old.Peers
	c.MemoryMB, c.Sockets, c.Seed = old.MemoryMB, old.Sockets, old.Seed
	set, was := &c.Settings, &old.Settings
	set.Self, set.Gateways, set.Zone, set.Gossip, set.SharedCounter = was.Self, was.Gateways, was.Zone, was.Gossip, was.SharedCounter
	set.LoadReport, c.Host.Report, c.Host.Zones = was.LoadReport, old.Host.Report, old.Host.Zones
}

// ChangedFixed names what another configuration would change that only a restart can.
func (c *Config) ChangedFixed(other *Config) (names []string) {
	for name, changed := range map[string]bool{
		"name":        c.Name != other.Name,
		"listen":      c.Listen != other.Listen,
		"ops":         c.Ops != other.Ops,
		"peer_listen": c.PeerListen != other.PeerListen,
		"peers":       !slices.Equal(c.Peers, other.Peers),
		"limits":      c.MemoryMB != other.MemoryMB || c.Sockets != other.Sockets,
	} {
		if changed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
