package config

import (
	"errors"
	"fmt"
	"testing"

	"sparspread/internal/settings"
)

// minimalSettings contains only the required keys of the settings.
const minimalSettings = `{"self-index":0,"balancers":1,` +
	`"request-classes":[{"name":"c","promise-us":1}],"tariffs":[{"name":"t"}]}`

func TestParseErrorsNameTheKey(t *testing.T) {
	for name, tt := range map[string]struct {
		raw, key, text string
		missing        bool
	}{
		"missing listen address": {
			`{"discovery":"a:1","seed":"01","settings":%s}`, "listen", "configuration: listen: missing", true,
		},
		"missing discovery address": {
			`{"listen":"a:1","seed":"01","settings":%s}`,
			"discovery", "configuration: discovery: missing", true,
		},
		"invalid seed": {
			`{"seed":"x","settings":%s}`, "seed",
			`configuration: seed: "x": expected up to 16 hexadecimal digits`, false,
		},
		"too few sockets": {
			`{"listen":"a:1","discovery":"a:1","seed":"01","limits":{"sockets":31},"settings":%s}`,
			"limits.sockets", "configuration: limits.sockets: 31: expected at least 32", false,
		},
		"counter address without port": {
			`{"listen":"a:1","discovery":"a:1","counter":"b","seed":"01","settings":%s}`,
			"counter", "configuration: counter: address b: missing port in address", false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(fmt.Appendf(nil, tt.raw, minimalSettings))
			var keyErr *settings.KeyError
			if !errors.As(err, &keyErr) || keyErr.Key != tt.key || err.Error() != tt.text {
				t.Errorf("error %v, want key %s and %q", err, tt.key, tt.text)
			}
			if errors.Is(err, settings.ErrMissing) != tt.missing {
				t.Errorf("error %v: missing %t, want %t", err, !tt.missing, tt.missing)
			}
		})
	}
}

func TestParseSetsDefaults(t *testing.T) {
	const minimal = `{"listen":"a:1","discovery":"a:1","seed":"01","settings":` + minimalSettings + `}`
	c, err := Parse([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if c.MemoryMB != 192 || c.Sockets != 1024 {
		t.Errorf("%d MB and %d sockets, want 192 and 1024", c.MemoryMB, c.Sockets)
	}
	if c.Host.DialTimeout != 250_000 || c.Host.IdleTimeout != 10_000_000 || c.Host.CounterTimeout != 50_000 {
		t.Errorf("dial timeout %d, idle close %d, counter timeout %d µs, want 250000, 10000000 and 50000",
			c.Host.DialTimeout, c.Host.IdleTimeout, c.Host.CounterTimeout)
	}
}

func TestRetainRestartOnlyKeepsCurrentSettings(t *testing.T) {
	current := Config{Name: "a", Listen: "a:1", Sockets: 64, Seed: 1}
	changed := Config{Name: "b", Listen: "a:2", Sockets: 65, Seed: 2, Discovery: "b:1"}
	if got := fmt.Sprint(current.ChangedRestartOnly(&changed)); got != "[limits listen name]" {
		t.Errorf("changed keys %s, want [limits listen name]", got)
	}
	changed.RetainRestartOnly(&current)
	if left := current.ChangedRestartOnly(&changed); len(left) > 0 || changed.Seed != 1 {
		t.Errorf("RetainRestartOnly left changed keys %v, seed %d, want none, seed 1", left, changed.Seed)
	}
	if changed.Discovery != "b:1" {
		t.Errorf("discovery %q, want the new address", changed.Discovery)
	}
}

func TestCheckRemovedKeysReportsRemovedKey(t *testing.T) {
	current := Config{Keys: map[string]Present{"counter": {}, knownEndpointsKey: {}}}
	current.Host.Keys = map[string]bool{"az": true}
	withoutCounter, withoutZone := current, current
	withoutCounter.Keys = map[string]Present{}
	withoutZone.Host.Keys = map[string]bool{}
	for want, changed := range map[string]Config{
		"configuration: counter: missing":      withoutCounter,
		"configuration: settings: az: missing": withoutZone,
	} {
		err := current.CheckRemovedKeys(&changed)
		if !errors.Is(err, settings.ErrMissing) || err.Error() != want {
			t.Errorf("error %v, want %s", err, want)
		}
	}
	if err := current.CheckRemovedKeys(&current); err != nil {
		t.Errorf("unchanged keys: error %v", err)
	}
}
