// Package settings parses the settings of a deployment, both from the simulator's flat text and from the
// nested JSON of a gateway's configuration. It defines all keys and named values of the settings.
package settings

import (
	"fmt"
	"strings"

	"sparspread/policy"
)

// Host holds the settings that a gateway needs for its network connections, and that the policy does not
// use. The simulator does not need them, because it handles connections itself. Lists by class or plan are
// in the order of the settings.
type Host struct {
	Classes, Plans  []string        // the names of the classes and plans
	ClientTimeouts  []policy.Time   // the longest time that clients wait, by class; zero if unknown
	Zones           []string        // the names of the zones, by number
	ReportNames     []string        // the names of the values in a load report
	ReportVia       string          // how load reports are transmitted: "piggyback", "pull" or "silent"
	MaxOpenRequests int             // the maximum number of open requests; if zero, there is no limit
	DialTimeout     policy.Time     // the timeout for connecting to a backend
	IdleTimeout     policy.Time     // the time after which backends close an idle connection
	CounterTimeout  policy.Time     // the timeout of a request to the shared counter
	DrainGrace      policy.Time     // how long attempts may go to a backend after it was reported as draining
	Keys            map[string]bool // the keys that are present; LIST.*.KEY if all items of a list have KEY
}

// ParseText parses the simulator's form, which has a line KEY=VALUE for each setting. It ignores unknown keys
// and returns a *KeyError for an invalid value or a missing list.
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

// ParseJSON parses the form of a gateway's configuration, which has the same keys and units as nested JSON.
// An error that concerns one key is a *KeyError.
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

// wrapKeyError adds to the text of a *KeyError that its key is a setting.
func wrapKeyError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("setting %w", err)
}
