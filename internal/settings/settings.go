// Package settings reads the settings of a deployment, in the simulator's flat text and in the nested JSON of
// a gateway's configuration. Every key and word of the settings stands in this package.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"sparspread/policy"
)

// Host is what the settings tell the host of a gateway on real sockets; the
// simulator does these things itself.
type Host struct {
	Classes, Plans []string      // their names, in the order of the settings
	Limits         []policy.Time // of each class: how long a client waits at the most; 0: not told
	Zones          []string      // names, by number
	Report         []string      // the names of the values in a load report
	ReportVia      string        // "piggyback", "pull" or "silent"
	MaxOpen        int           // requests open at once
	DialTimeout    policy.Time
	IdleClose      policy.Time // backends close an idle connection by then
	CounterTimeout policy.Time
	DrainGrace     policy.Time     // for sends to a backend once its drain was told
	Keys           map[string]bool // that were told; with .*. those that all items of a list have
}

// draft is a settings text being read.
type draft struct {
	policy.Settings
	host Host
}

type setter func(d *draft, value string) error

func whole[T ~int | ~int64](field func(*draft) *T) setter {
	return func(d *draft, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err == nil {
			*field(d) = T(n)
		}
		return err
	}
}

func number(field func(*draft) *float64) setter {
	return func(d *draft, v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err == nil {
			*field(d) = f
		}
		return err
	}
}

func flag(field func(*draft) *bool) setter {
	return func(d *draft, v string) error {
		b, err := strconv.ParseBool(v)
		if err == nil {
			*field(d) = b
		}
		return err
	}
}

func text(field func(*draft) *string) setter {
	return func(d *draft, v string) error {
		*field(d) = v
		return nil
	}
}

// name is told to the host and to the module.
func name(fields func(*draft) (host, module *string)) setter {
	return func(d *draft, v string) error {
		host, module := fields(d)
		*host, *module = v, v
		return nil
	}
}

func word[V any](table map[string]V, field func(*draft) *V) setter {
	return func(d *draft, v string) error {
		x, ok := table[v]
		if !ok {
			return fmt.Errorf("unknown word")
		}
		*field(d) = x
		return nil
	}
}

// The words of the settings that stand for a value.
var effects = map[string]policy.Idempotency{
	"retryable": policy.Idempotent, "dedup": policy.IdempotentWithKey, "fragile": policy.NotIdempotent,
}

var groups = map[string]policy.DedupScope{
	"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
}

// metrics are the report values that are told apart; others are passed over.
var metrics = map[string]policy.LoadMetric{"busy_reqs": policy.BusyMetric, "pending": policy.WaitingMetric}

// keys are the plain settings.
var keys = map[string]setter{
	"self-index":                     whole(func(d *draft) *int { return &d.Self }),
	"balancers":                      whole(func(d *draft) *int { return &d.Gateways }),
	"az":                             whole(func(d *draft) *int { return &d.Zone }),
	"granularity-us":                 whole(func(d *draft) *policy.Time { return &d.MinEventInterval }),
	"ceilings.peers":                 flag(func(d *draft) *bool { return &d.Gossip }),
	"ceilings.probes":                flag(func(d *draft) *bool { return &d.HealthChecks }),
	"ceilings.second-copies":         flag(func(d *draft) *bool { return &d.Hedging }),
	"ceilings.retry-after":           flag(func(d *draft) *bool { return &d.RetryAfterAdvice }),
	"ceilings.max-attempts":          whole(func(d *draft) *int { return &d.MaxAttempts }),
	"ceilings.max-retry-after-us":    whole(func(d *draft) *policy.Time { return &d.MaxRetryAfter }),
	"ceilings.max-open":              whole(func(d *draft) *int { return &d.host.MaxOpen }),
	"ceilings.dial-timeout-us":       whole(func(d *draft) *policy.Time { return &d.host.DialTimeout }),
	"ceilings.idle-close-us":         whole(func(d *draft) *policy.Time { return &d.host.IdleClose }),
	"family-info.counter-timeout-us": whole(func(d *draft) *policy.Time { return &d.host.CounterTimeout }),
	"guarantees.drain-grace-us":      whole(func(d *draft) *policy.Time { return &d.host.DrainGrace }),
	"localities": func(d *draft, v string) error {
		d.host.Zones = strings.Split(v, ",")
		return nil
	},
	"report.via":                  text(func(d *draft) *string { return &d.host.ReportVia }),
	"family-info.counter":         flag(func(d *draft) *bool { return &d.SharedCounter }),
	"family-info.settles":         flag(func(d *draft) *bool { return &d.SettlesCost }),
	"family-info.meter-period-us": whole(func(d *draft) *policy.Time { return &d.MeterPeriod }),
	"family-info.max-units":       number(func(d *draft) *float64 { return &d.MaxCost }),
	"family-info.mail-per-s":      number(func(d *draft) *float64 { return &d.GossipPerSecond }),
	"guarantees.ask-within-us":    whole(func(d *draft) *policy.Time { return &d.PollWithin }),
	"guarantees.cold-from":        number(func(d *draft) *float64 { return &d.SlowStartFloor }),
	"guarantees.cold-us":          whole(func(d *draft) *policy.Time { return &d.SlowStartTime }),
	"guarantees.overload-factor":  number(func(d *draft) *float64 { return &d.OverloadFactor }),
	"guarantees.tip-after-us":     whole(func(d *draft) *policy.Time { return &d.OverloadWindow }),
	"prices.handshake":            number(func(d *draft) *float64 { return &d.HandshakePrice }),
	"prices.cross-zone":           number(func(d *draft) *float64 { return &d.CrossZonePrice }),
	"membership-mode": word(map[string]bool{"pushed": false, "on_request": true},
		func(d *draft) *bool { return &d.PollEndpoints }),
	"weights": word(map[string]bool{"silent": false, "nominal": true, "rough": true, "live": true},
		func(d *draft) *bool { return &d.UseCapacityHints }),
	"report.names": func(d *draft, v string) error {
		d.LoadReport, d.host.Report = nil, strings.Split(v, ",")
		for _, name := range d.host.Report {
			d.LoadReport = append(d.LoadReport, metrics[name])
		}
		return nil
	},
}

func last[T any](items []T) *T { return &items[len(items)-1] }

func lastClass(d *draft) *policy.Class { return last(d.Classes) }
func lastPlan(d *draft) *policy.Plan   { return last(d.Plans) }

// classKeys and planKeys are the settings of an item of a list.
var classKeys = map[string]setter{
	"name":          name(func(d *draft) (*string, *string) { return last(d.host.Classes), &lastClass(d).Name }),
	"promise-us":    whole(func(d *draft) *policy.Time { return &lastClass(d).LatencyObjective }),
	"hard-limit-us": whole(func(d *draft) *policy.Time { return last(d.host.Limits) }),
	"window-us":     whole(func(d *draft) *policy.Time { return &lastClass(d).DedupWindow }),
	"worth":         number(func(d *draft) *float64 { return &lastClass(d).PriorityWeight }),
	"repeat":        word(effects, func(d *draft) *policy.Idempotency { return &lastClass(d).Idempotency }),
	"group":         word(groups, func(d *draft) *policy.DedupScope { return &lastClass(d).DedupScope }),
}

var planKeys = map[string]setter{
	"name":            name(func(d *draft) (*string, *string) { return last(d.host.Plans), &lastPlan(d).Name }),
	"rate":            number(func(d *draft) *float64 { return &lastPlan(d).Rate }),
	"burst":           number(func(d *draft) *float64 { return &lastPlan(d).Burst }),
	"never-over-rate": number(func(d *draft) *float64 { return &lastPlan(d).CeilingRate }),
	"ceiling-burst":   number(func(d *draft) *float64 { return &lastPlan(d).CeilingBurst }),
	"hard-slack":      number(func(d *draft) *float64 { return &lastPlan(d).CeilingSlack }),
	"max-out":         whole(func(d *draft) *int { return &lastPlan(d).ConcurrencyLimit }),
	"value-factor":    number(func(d *draft) *float64 { return &lastPlan(d).ValueFactor }),
	"beyond-earns":    number(func(d *draft) *float64 { return &lastPlan(d).OverageRevenue }),
	"beyond-costs":    number(func(d *draft) *float64 { return &lastPlan(d).OverageCost }),
}

const (
	classList = "request-classes"
	planList  = "tariffs"
)

// ParseText reads a settings text. Unknown keys are skipped; a value that
// can't be read is an error that names its key.
func ParseText(text []byte) (policy.Settings, error) {
	values := map[string]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "=")
		if ok {
			values[key] = value
		}
	}
	d, err := parse(values)
	return d.Settings, err
}

// ParseJSON reads the settings in the form of a gateway's configuration: the
// same names and units, as nested JSON.
func ParseJSON(raw []byte) (policy.Settings, Host, error) {
	values, err := flatten(raw)
	if err != nil {
		return policy.Settings{}, Host{}, err
	}
	if err := positive(values); err != nil {
		return policy.Settings{}, Host{}, err
	}
	d, err := parse(values)
	d.host.Keys = keysOf(values)
	return d.Settings, d.host, err
}

// positive checks what must be above 0 wherever it is told: with none of it nothing can be served.
func positive(values map[string]string) error {
	for key, v := range values {
		field := key[strings.LastIndexByte(key, '.')+1:]
		if field != "hard-limit-us" && field != "promise-us" && field != "max-attempts" {
			continue
		}
		if n, err := strconv.ParseInt(v, 10, 64); err != nil || n <= 0 {
			return fmt.Errorf("setting %s: value %q: a number above 0 wanted", key, v)
		}
	}
	return nil
}

// keysOf tells which of the known keys are there; of a list's items, those that each of them has.
func keysOf(values map[string]string) map[string]bool {
	keys := map[string]bool{}
	for key := range values {
		keys[key] = true
	}
	for _, list := range []struct {
		name  string
		table map[string]setter
	}{{classList, classKeys}, {planList, planKeys}} {
		n, _ := strconv.Atoi(values[list.name+".count"])
		for field := range list.table {
			all := n > 0
			for i := range n {
				key := fmt.Sprintf("%s.%d.%s", list.name, i, field)
				all = all && keys[key]
			}
			if all {
				keys[list.name+".*."+field] = true
			}
		}
		for key := range keys {
			if rest, ok := strings.CutPrefix(key, list.name+"."); ok && rest[0] >= '0' && rest[0] <= '9' {
				delete(keys, key)
			}
		}
	}
	return keys
}

func parse(values map[string]string) (*draft, error) {
	d := &draft{}
	if err := d.take(values, "", keys); err != nil {
		return d, err
	}
	err := d.list(values, classList, classKeys, func() {
		d.Classes, d.host.Classes = append(d.Classes, policy.Class{}), append(d.host.Classes, "")
		d.host.Limits = append(d.host.Limits, 0)
	})
	if err != nil {
		return d, err
	}
	err = d.list(values, planList, planKeys, func() {
		d.Plans, d.host.Plans = append(d.Plans, policy.Plan{ValueFactor: 1}), append(d.host.Plans, "")
	})
	return d, err
}

func (d *draft) take(values map[string]string, prefix string, table map[string]setter) error {
	for key, set := range table {
		v, ok := values[prefix+key]
		if !ok {
			continue
		}
		if err := set(d, v); err != nil {
			return fmt.Errorf("setting %s: value %q: %w", prefix+key, v, err)
		}
	}
	return nil
}

func (d *draft) list(values map[string]string, name string, table map[string]setter, add func()) error {
	v, ok := values[name+".count"]
	if !ok {
		return fmt.Errorf("setting %s.count: missing", name)
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > len(values) {
		return fmt.Errorf("setting %s.count: value %q is no count of items", name, v)
	}
	for i := range n {
		add()
		if err := d.take(values, fmt.Sprintf("%s.%d.", name, i), table); err != nil {
			return err
		}
	}
	return nil
}
