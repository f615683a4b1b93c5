package config

import (
	"fmt"
	"slices"

	"sparspread/internal/settings"
)

// knownEndpointsKey is the key of the last known endpoint list. A reload may remove the key, because it is
// not a setting.
const knownEndpointsKey = "known"

// CheckRemovedKeys returns a *settings.KeyError if a key of the current configuration c is missing in
// other. A setting that an operator has omitted by mistake must not revert to its default.
func (c *Config) CheckRemovedKeys(other *Config) error {
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

// RetainRestartOnly sets the fields that only a restart can change to their values in the current
// configuration.
func (c *Config) RetainRestartOnly(current *Config) {
	c.Name, c.Listen, c.Ops = current.Name, current.Listen, current.Ops
	c.PeerListen, c.Peers = current.PeerListen, current.Peers
	c.MemoryMB, c.Sockets, c.Seed = current.MemoryMB, current.Sockets, current.Seed

	to, from := &c.Settings, &current.Settings
	to.Self, to.Gateways, to.Zone = from.Self, from.Gateways, from.Zone
	to.Gossip, to.SharedCounter = from.Gossip, from.SharedCounter
	to.LoadReport = from.LoadReport

	c.Host.ReportNames, c.Host.Zones = current.Host.ReportNames, current.Host.Zones
}

// ChangedRestartOnly returns the top-level keys that only a restart can change and that differ in other, in
// sorted order.
func (c *Config) ChangedRestartOnly(other *Config) []string {
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
