// Package config reads a gateway's configuration, checks it, and compares it with the one in force.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"sparspread/internal/discovery"
	"sparspread/internal/settings"
	"sparspread/policy"
)

// What is used where the configuration states nothing, or nothing above 0. Times are in microseconds.
const (
	defaultMemoryMB = 192  // below the platform's limit of 256 MB, at which it kills
	defaultSockets  = 1024 // the usual soft limit of open files

	defaultDialTimeout    policy.Time = 250_000
	defaultIdleTimeout    policy.Time = 10_000_000
	defaultCounterTimeout policy.Time = 50_000
)

// MinSockets is the smallest number of descriptors that a gateway can work with.
const MinSockets = 32

// The form of the seed: a hexadecimal number.
const (
	seedBase = 16
	seedBits = 64
)

// Config is a gateway's configuration. It is not changed once it is in force, so that any goroutine may read
// it.
type Config struct {
	Name            string
	Listen          string // address for clients
	Discovery       string // address of the discovery service
	Seed            uint64 // of the random numbers
	MemoryMB        int
	Sockets         int    // descriptors that all parts together keep to
	DescriptorLimit int    // descriptors that the process may open; 0: unknown
	Ops             string // address for operators; empty: none

	PeerListen string           // address for gossip
	Peers      []netip.AddrPort // of all gateways by number, this one included
	Counter    string           // address of the shared counter; empty: none
	Known      discovery.Update // the endpoint list as last known, to start with

	Settings policy.Settings
	Host     settings.Host

	Keys map[string]Present // the top-level keys of the file
}

// file is the JSON form of the configuration.
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

// Present stands for a value of which only the key matters. The endpoint list in the file may be long, and a
// copy of its text would be a quarter of what reading the file allocates.
type Present struct{}

// UnmarshalJSON accepts any value and keeps nothing of it.
func (*Present) UnmarshalJSON([]byte) error { return nil }

// Parse reads and checks a configuration. An error that concerns one key is a *settings.KeyError.
func Parse(raw []byte) (Config, error) {
	c, err := parse(raw)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parse is Parse without the prefix of its errors.
func parse(raw []byte) (Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, err
	}
	c := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery,
		MemoryMB: positiveOr(f.Limits.MemoryMB, defaultMemoryMB),
		Sockets:  positiveOr(f.Limits.Sockets, defaultSockets),
		Ops:      f.Ops, PeerListen: f.PeerListen, Counter: f.Counter, Known: f.Known,
	}
	if err := json.Unmarshal(raw, &c.Keys); err != nil {
		return c, err
	}
	var err error
	if c.Seed, err = parseSeed(f.Seed); err != nil {
		return c, err
	}
	if c.Peers, err = parsePeers(f.Peers); err != nil {
		return c, err
	}
	if len(f.Settings) == 0 {
		return c, settings.MissingKey("settings")
	}
	if c.Settings, c.Host, err = settings.ParseJSON(f.Settings); err != nil {
		return c, err
	}
	if err := c.check(); err != nil {
		return c, err
	}
	c.setDefaultTimes()
	return c, nil
}

// positiveOr returns n, or a default where n is not above 0.
func positiveOr[T ~int | ~int64](n, fallback T) T {
	if n <= 0 {
		return fallback
	}
	return n
}

// parseSeed reads the seed of the random numbers.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, seedBase, seedBits)
	if err != nil {
		return 0, &settings.KeyError{Key: "seed", Value: text, Err: fmt.Errorf("%q: %w", text, errSeedFormat)}
	}
	return seed, nil
}

// parsePeers reads the addresses of all gateways.
func parsePeers(addresses []string) ([]netip.AddrPort, error) {
	var peers []netip.AddrPort
	for i, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return peers, &settings.KeyError{Key: fmt.Sprintf("peers[%d]", i), Value: text, Err: err}
		}
		peers = append(peers, address)
	}
	return peers, nil
}

// setDefaultTimes replaces the times that are not stated.
func (c *Config) setDefaultTimes() {
	c.Host.DialTimeout = positiveOr(c.Host.DialTimeout, defaultDialTimeout)
	c.Host.IdleTimeout = positiveOr(c.Host.IdleTimeout, defaultIdleTimeout)
	c.Host.CounterTimeout = positiveOr(c.Host.CounterTimeout, defaultCounterTimeout)
}
