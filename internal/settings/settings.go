// Package settings reads the settings of a deployment, in the simulator's flat text and in the nested JSON of
// a gateway's configuration. Every key and word of the settings stands in this package.
package settings

import (
	"fmt"
	"strings"

	"sparspread/policy"
)

// Host is the part of the settings that a gateway on real sockets needs and the decisions do not. The
// simulator does these things itself. Lists by class or plan are in the order of the settings.
type Host struct {
	Classes, Plans  []string        // names
	ClientTimeouts  []policy.Time   // of each class: how long a client waits at most; 0: unknown
	Zones           []string        // names, by number
	ReportNames     []string        // names of the values in a load report
	ReportVia       string          // how load reports come: "piggyback", "pull" or "silent"
	MaxOpenRequests int             // requests open at once; 0: no limit
	DialTimeout     policy.Time     // for a connection to a backend
	IdleTimeout     policy.Time     // backends close an idle connection by then
	CounterTimeout  policy.Time     // for a call of the shared counter
	DrainGrace      policy.Time     // for attempts at a backend after it was announced as draining
	Keys            map[string]bool // that the settings have; LIST.*.KEY where all items of a list have it
}

// ParseText reads the simulator's form: a line KEY=VALUE for each setting. Unknown keys are skipped; a value
// that can't be read is a *KeyError.
func ParseText(text []byte) (policy.Settings, error) {
	values := map[string]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "=")
		if ok {
			values[key] = value
		}
	}
	p := parser{values: values}
	err := p.parse()
	return p.Settings, wrapKeyError(err)
}

// ParseJSON reads the form of a gateway's configuration: the same keys and units, as nested JSON. An error
// that concerns one key is a *KeyError.
func ParseJSON(raw []byte) (policy.Settings, Host, error) {
	values, err := flatten(raw)
	if err != nil {
		return policy.Settings{}, Host{}, err
	}
	if err := checkPositive(values); err != nil {
		return policy.Settings{}, Host{}, wrapKeyError(err)
	}
	p := parser{values: values}
	err = p.parse()
	p.host.Keys = presentKeys(values)
	return p.Settings, p.host, wrapKeyError(err)
}

// wrapKeyError adds to a *KeyError what its key is a key of.
func wrapKeyError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("setting %w", err)
}
