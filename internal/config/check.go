package config

import (
	"errors"
	"fmt"
	"net"
)

// ErrMissing is the cause where a field that is needed is absent.
var ErrMissing = errors.New("missing")

var (
	errNoName     = errors.New("has no name")
	errSeedFormat = errors.New("16 hex digits wanted")
)

// FieldError is what is wrong with one field of a configuration.
type FieldError struct {
	Field string // its path in the file
	Err   error  // what is wrong with it
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return fmt.Sprintf("configuration: %s: %v", e.Field, e.Err) }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

func missing(field string) error { return &FieldError{Field: field, Err: ErrMissing} }

// check reports the first field with which nothing can be served.
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

func (c *Config) checkPresence() error {
	if c.Listen == "" {
		return missing("listen")
	}
	if c.Discovery == "" {
		return missing("discovery")
	}
	return nil
}

func (c *Config) checkSockets() error {
	if c.Sockets >= MinSockets {
		return nil
	}
	return &FieldError{
		Field: "limits.sockets",
		Err:   fmt.Errorf("%d, at least %d wanted", c.Sockets, MinSockets),
	}
}

func (c *Config) checkPeers() error {
	if !c.Settings.Gossip || c.PeerListen != "" && len(c.Peers) == c.Settings.Gateways {
		return nil
	}
	return &FieldError{
		Field: "peers",
		Err: fmt.Errorf("%d addresses for %d gateways, peer_listen %q",
			len(c.Peers), c.Settings.Gateways, c.PeerListen),
	}
}

// checkCounter demands the shared counter where nothing else tells gateways of each other's usage.
func (c *Config) checkCounter() error {
	if c.Settings.SharedCounter && !c.Settings.Gossip && c.Counter == "" {
		return missing("counter")
	}
	return nil
}

func (c *Config) checkAddresses() error {
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.Counter == "" {
		return nil
	}
	return checkAddress("counter", c.Counter)
}

func checkAddress(field, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &FieldError{Field: field, Err: err}
	}
	return nil
}

// checkNames demands names of classes and plans: clients and reloads go by them.
func (c *Config) checkNames() error {
	if err := checkNamed("class", c.Host.Classes); err != nil {
		return err
	}
	return checkNamed("plan", c.Host.Plans)
}

func checkNamed(kind string, names []string) error {
	for i, name := range names {
		if name == "" {
			return &FieldError{Field: fmt.Sprintf("%s %d", kind, i), Err: errNoName}
		}
	}
	return nil
}
