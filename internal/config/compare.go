package config

import (
	"fmt"
	"slices"

	"sparspread/internal/settings"
)

// knownKey is the key of the endpoint list as last known. It is no setting: a file may lack it.
const knownEndpointsKey = "known"

// CheckKeys reports a key that the configuration in force has and another one lacks: what an operator left
// out by mistake must not fall back to its default. The error is a *settings.KeyError.
func (c *Config) CheckKeys(other *Config) error {
	for key := range c.Keys {
		if _, ok := other.Keys[key]; !ok && key != knownEndpointsKey {
			return fmt.Errorf("configuration: %w", settings.MissingKey(key))
		}
	}
	for key := range c.Host.Keys {
		if !other.Host.Keys[key] {
			return fmt.Errorf("configuration: settings: %w", settings.MissingKey(key))
		}
	}
	return nil
}

// RetainFixed replaces what only a restart can change by the values of the configuration in force.
func (c *Config) RetainFixed(current *Config) {
	c.Name, c.Listen, c.Ops = current.Name, current.Listen, current.Ops
	c.PeerListen, c.Peers = current.PeerListen, current.Peers
	c.MemoryMB, c.Sockets, c.Seed = current.MemoryMB, current.Sockets, current.Seed

	to, from := &c.Settings, &current.Settings
	to.Self, to.Gateways, to.Zone = from.Self, from.Gateways, from.Zone
	to.Gossip, to.SharedCounter = from.Gossip, from.SharedCounter
	to.LoadReport = from.LoadReport

	c.Host.ReportNames, c.Host.Zones = current.Host.ReportNames, current.Host.Zones
}

// ChangedFixed returns the sorted keys whose values differ in another configuration and only a restart can
// change.
func (c *Config) ChangedFixed(other *Config) []string {
	var changed []string
	for _, field := range []struct {
		key     string
		differs bool
	}{
		{"limits", c.MemoryMB != other.MemoryMB || c.Sockets != other.Sockets},
		{"listen", c.Listen != other.Listen},
		{"name", c.Name != other.Name},
		{"ops", c.Ops != other.Ops},
		{"peer_listen", c.PeerListen != other.PeerListen},
		{"peers", !slices.Equal(c.Peers, other.Peers)},
	} {
		if field.differs {
			changed = append(changed, field.key)
		}
	}
	return changed
}
