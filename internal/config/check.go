package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"sparspread/internal/settings"
)

// The causes of a settings.KeyError for an invalid value.
var (
	errEmptyName     = errors.New("expected a name that is not empty")
	errSeedFormat    = errors.New("expected up to 16 hexadecimal digits")
	errTooFewSockets = fmt.Errorf("expected at least %d", MinSockets)
)

// PeerCountError reports that the number of gossip addresses is not the number of gateways, or that the
// gateway's own gossip address is missing.
type PeerCountError struct {
	Addresses  int    // the number of addresses in the configuration
	Gateways   int    // the number of gateways, each of which needs one address
	PeerListen string // this gateway's own address; empty if it is missing
}

// Error returns the counts, the gateway's own address and the expectation.
func (e *PeerCountError) Error() string {
	return fmt.Sprintf("%d addresses for %d gateways, peer_listen %q: expected one per gateway, and its own",
		e.Addresses, e.Gateways, e.PeerListen)
}

// check returns a *settings.KeyError for the first missing or invalid key without which the gateway can't
// work.
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

// checkPresence checks that there is a listen address and a discovery address. Without them, the gateway
// has no clients or no backends.
func (c *Config) checkPresence() error {
	if c.Listen == "" {
		return settings.MissingKey("listen")
	}
	if c.Discovery == "" {
		return settings.MissingKey("discovery")
	}
	return nil
}

// checkSockets checks that the gateway may use at least MinSockets descriptors.
func (c *Config) checkSockets() error {
	if c.Sockets >= MinSockets {
		return nil
	}
	return &settings.KeyError{
		Key: "limits.sockets", Value: strconv.Itoa(c.Sockets),
		Err: fmt.Errorf("%d: %w", c.Sockets, errTooFewSockets),
	}
}

// checkPeers checks that each gateway has a gossip address if the settings enable gossip.
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

// checkCounter checks that the address of the shared counter is set if the counter is the gateways' only
// source of each other's usage.
func (c *Config) checkCounter() error {
	if c.Settings.SharedCounter && !c.Settings.Gossip && c.Counter == "" {
		return settings.MissingKey("counter")
	}
	return nil
}

// checkAddresses checks that the address of each service has a host and a port.
func (c *Config) checkAddresses() error {
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.Counter == "" {
		return nil
	}
	return checkAddress("counter", c.Counter)
}

// checkAddress checks that an address has a host and a port.
func checkAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &settings.KeyError{Key: key, Value: address, Err: err}
	}
	return nil
}

// checkNames checks that classes and plans have names, because clients and reloads identify them by name.
func (c *Config) checkNames() error {
	if err := checkNamesNotEmpty("class", c.Host.Classes); err != nil {
		return err
	}
	return checkNamesNotEmpty("plan", c.Host.Plans)
}

// checkNamesNotEmpty checks the names of the classes or plans.
func checkNamesNotEmpty(kind string, names []string) error {
	for i, name := range names {
		if name == "" {
			return &settings.KeyError{Key: fmt.Sprintf("%s %d", kind, i), Err: errEmptyName}
		}
	}
	return nil
}
