// Package config parses and checks a gateway's configuration, and compares it with the current one at a
// reload.
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

// Defaults for values that are missing or not above 0. Times are in microseconds.
const (
	defaultMemoryMB = 192  // below 256 MB, the limit at which the platform kills the process
	defaultSockets  = 1024 // the usual soft limit on open files

	defaultDialTimeout    policy.Time = 250_000
	defaultIdleTimeout    policy.Time = 10_000_000
	defaultCounterTimeout policy.Time = 50_000
)

// MinSockets is the minimum number of descriptors with which a gateway works.
const MinSockets = 32

// The seed is a hexadecimal number of 64 bits.
const (
	seedBase = 16
	seedBits = 64
)

// Config is a gateway's configuration. It must not be modified after the gateway has started to use it, so
// that all goroutines can read it.
type Config struct {
	Name            string
	Listen          string // the address for clients
	Discovery       string // the address of the discovery service
	Seed            uint64 // the seed of the random numbers
	MemoryMB        int
	Sockets         int    // the configured limit on descriptors for clients, backends and everything else
	DescriptorLimit int    // the limit of the process on open descriptors; zero if unknown
	Ops             string // the address for operators; empty if there is none

	PeerListen string           // this gateway's address for gossip
	Peers      []netip.AddrPort // the addresses of all gateways for gossip, by number, including this one's
	Counter    string           // the address of the shared counter; empty if there is none
	Known      discovery.Update // the last known endpoint list, with which the gateway starts

	Settings policy.Settings
	Host     settings.Host

	Keys map[string]Present // the top-level keys that are present in the file
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

// Present stands in for a JSON value that is ignored; it records only that the key is present. The endpoint
// list in the file may be long, and a copy of its text would be a quarter of the memory that parsing the file
// allocates.
type Present struct{}

// UnmarshalJSON accepts any value and discards it.
func (*Present) UnmarshalJSON([]byte) error { return nil }

// Parse parses and checks a configuration. An error that concerns one key is a *settings.KeyError.
func Parse(raw []byte) (Config, error) {
	c, err := parse(raw)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parse is like Parse, but does not add a prefix to errors.
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

// positiveOr returns n if it is above 0, otherwise fallback.
func positiveOr[T ~int | ~int64](n, fallback T) T {
	if n <= 0 {
		return fallback
	}
	return n
}

// parseSeed parses the seed of the random numbers.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, seedBase, seedBits)
	if err != nil {
		return 0, &settings.KeyError{Key: "seed", Value: text, Err: fmt.Errorf("%q: %w", text, errSeedFormat)}
	}
	return seed, nil
}

// parsePeers parses the gossip addresses of all gateways.
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

// setDefaultTimes sets the times that are not above 0 to their defaults.
func (c *Config) setDefaultTimes() {
	c.Host.DialTimeout = positiveOr(c.Host.DialTimeout, defaultDialTimeout)
	c.Host.IdleTimeout = positiveOr(c.Host.IdleTimeout, defaultIdleTimeout)
	c.Host.CounterTimeout = positiveOr(c.Host.CounterTimeout, defaultCounterTimeout)
}
