package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"sparspread/internal/settings"
)

// What is wanted of a value.
var (
	errEmptyName     = errors.New("has no name")
	errSeedFormat    = errors.New("16 hex digits wanted")
	errTooFewSockets = fmt.Errorf("at least %d wanted", MinSockets)
)

// PeerCountError says that the addresses for gossip do not fit the number of gateways.
type PeerCountError struct {
	Addresses  int    // that the configuration lists
	Gateways   int    // of the tier, each of which has one
	PeerListen string // this gateway's own; empty: missing
}

// Error states the counts and the own address.
func (e *PeerCountError) Error() string {
	return fmt.Sprintf("%d addresses for %d gateways, peer_listen %q", e.Addresses, e.Gateways, e.PeerListen)
}

// check reports the first key with which nothing can be served, as a *settings.KeyError.
func (c *Config) check() error {
	checks := []func() error{
		c.checkPresence, c.checkSockets, c.checkPeers, c.checkCounter, c.checkAddresses, c.checkNames,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkPresence demands the addresses without which there is nothing to serve, and nobody to serve.
func (c *Config) checkPresence() error {
	if c.Listen == "" {
		return settings.MissingKey("listen")
	}
	if c.Discovery == "" {
		return settings.MissingKey("discovery")
	}
	return nil
}

// checkSockets demands the descriptors that the smallest gateway needs.
func (c *Config) checkSockets() error {
	if c.Sockets >= MinSockets {
		return nil
	}
	return &settings.KeyError{
		Key: "limits.sockets", Value: strconv.Itoa(c.Sockets),
		Err: fmt.Errorf("%d, %w", c.Sockets, errTooFewSockets),
	}
}

// checkPeers demands an address for each gateway where they report to each other.
func (c *Config) checkPeers() error {
	if !c.Settings.Gossip || c.PeerListen != "" && len(c.Peers) == c.Settings.Gateways {
		return nil
	}
	return &settings.KeyError{
		Key: "peers", Value: fmt.Sprint(c.Peers),
		Err: &PeerCountError{
			Addresses: len(c.Peers), Gateways: c.Settings.Gateways, PeerListen: c.PeerListen,
		},
	}
}

// checkCounter demands the shared counter where nothing else tells gateways of each other's usage.
func (c *Config) checkCounter() error {
	if c.Settings.SharedCounter && !c.Settings.Gossip && c.Counter == "" {
		return settings.MissingKey("counter")
	}
	return nil
}

// checkAddresses demands host and port of each service.
func (c *Config) checkAddresses() error {
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.Counter == "" {
		return nil
	}
	return checkAddress("counter", c.Counter)
}

// checkAddress demands host and port.
func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &settings.KeyError{Key: key, Value: address, Err: err}
	}
	return nil
}

// checkNames demands names of classes and plans: clients and reloads go by them.
func (c *Config) checkNames() error {
	if err := checkNamesNotEmpty("class", c.Host.Classes); err != nil {
		return err
	}
	return checkNamesNotEmpty("plan", c.Host.Plans)
}

// checkNamed demands a name of each class or plan.
func checkNamesNotEmpty(kind string, names []string) error {
	for i, name := range names {
		if name == "" {
			return &settings.KeyError{Key: fmt.Sprintf("%s %d", kind, i), Err: errEmptyName}
		}
	}
	return nil
}
