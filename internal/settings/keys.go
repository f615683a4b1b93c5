package settings

import (
	"strings"

	"sparspread/policy"
)

// The keys and values in this file are part of the documented configuration format and must not change.

// The keys of the lists.
const (
	classList = "request-classes"
	planList  = "tariffs"
)

// positiveKeys holds the last part of each key whose value must be above 0 if the key is present.
var positiveKeys = map[string]bool{"hard-limit-us": true, "promise-us": true, "max-attempts": true}

// repeatModes maps the values of the key repeat, which states whether a request may run more than once.
var repeatModes = map[string]policy.Idempotency{
	"retryable": policy.Idempotent,
	"dedup":     policy.IdempotentWithKey,
	"fragile":   policy.NotIdempotent,
}

// dedupScopes maps the values of the key group, which states among which backends repeats of a request
// with an idempotency key are recognized.
var dedupScopes = map[string]policy.DedupScope{
	"all":  policy.DedupAll,
	"zone": policy.DedupZone,
	"cell": policy.DedupCell,
}

// loadMetrics maps the names of values in a load report to the metrics of the policy. Any other name stands
// for policy.UnusedMetric.
var loadMetrics = map[string]policy.LoadMetric{
	"busy_reqs": policy.BusyMetric,
	"pending":   policy.WaitingMetric,
}

// membershipModes maps the values of the key membership-mode to whether the endpoint list is polled. A list
// that is not polled is pushed by service discovery.
var membershipModes = map[string]bool{"pushed": false, "on_request": true}

// weightModes maps the values of the key weights to whether the capacity hints of the endpoint list can be
// used.
var weightModes = map[string]bool{"silent": false, "nominal": true, "rough": true, "live": true}

// globalKeys are the settings that are not part of a class or a plan. Times are in microseconds.
var globalKeys = map[string]fieldSetter{
	"self-index":      integer(func(p *parser) *int { return &p.Self }),
	"balancers":       integer(func(p *parser) *int { return &p.Gateways }),
	"az":              integer(func(p *parser) *int { return &p.Zone }),
	"granularity-us":  integer(func(p *parser) *policy.Time { return &p.MinEventInterval }),
	"localities":      setZones,
	"report.via":      text(func(p *parser) *string { return &p.host.ReportVia }),
	"membership-mode": enum(membershipModes, func(p *parser) *bool { return &p.PollEndpoints }),
	"weights":         enum(weightModes, func(p *parser) *bool { return &p.UseCapacityHints }),
	"report.names":    setReportNames,

	"ceilings.peers":              boolean(func(p *parser) *bool { return &p.Gossip }),
	"ceilings.probes":             boolean(func(p *parser) *bool { return &p.HealthChecks }),
	"ceilings.second-copies":      boolean(func(p *parser) *bool { return &p.Hedging }),
	"ceilings.retry-after":        boolean(func(p *parser) *bool { return &p.RetryAfterAdvice }),
	"ceilings.max-attempts":       integer(func(p *parser) *int { return &p.MaxAttempts }),
	"ceilings.max-retry-after-us": integer(func(p *parser) *policy.Time { return &p.MaxRetryAfter }),
	"ceilings.max-open":           integer(func(p *parser) *int { return &p.host.MaxOpenRequests }),
	"ceilings.dial-timeout-us":    integer(func(p *parser) *policy.Time { return &p.host.DialTimeout }),
	"ceilings.idle-close-us":      integer(func(p *parser) *policy.Time { return &p.host.IdleTimeout }),

	"family-info.counter-timeout-us": integer(func(p *parser) *policy.Time { return &p.host.CounterTimeout }),
	"family-info.counter":            boolean(func(p *parser) *bool { return &p.SharedCounter }),
	"family-info.settles":            boolean(func(p *parser) *bool { return &p.SettlesCost }),
	"family-info.meter-period-us":    integer(func(p *parser) *policy.Time { return &p.MeterPeriod }),
	"family-info.max-units":          float(func(p *parser) *float64 { return &p.MaxCost }),
	"family-info.mail-per-s":         float(func(p *parser) *float64 { return &p.GossipPerSecond }),

	"guarantees.drain-grace-us":  integer(func(p *parser) *policy.Time { return &p.host.DrainGrace }),
	"guarantees.ask-within-us":   integer(func(p *parser) *policy.Time { return &p.MaxWatchGap }),
	"guarantees.cold-from":       float(func(p *parser) *float64 { return &p.SlowStartFloor }),
	"guarantees.cold-us":         integer(func(p *parser) *policy.Time { return &p.SlowStartTime }),
	"guarantees.overload-factor": float(func(p *parser) *float64 { return &p.OverloadFactor }),
	"guarantees.tip-after-us":    integer(func(p *parser) *policy.Time { return &p.OverloadWindow }),

	"prices.handshake":  float(func(p *parser) *float64 { return &p.HandshakePrice }),
	"prices.cross-zone": float(func(p *parser) *float64 { return &p.CrossZonePrice }),
}

// classKeys are the settings of each class of requests.
var classKeys = map[string]fieldSetter{
	"name":          name(func(p *parser) (*string, *string) { return last(p.host.Classes), &class(p).Name }),
	"promise-us":    integer(func(p *parser) *policy.Time { return &class(p).LatencyObjective }),
	"hard-limit-us": integer(func(p *parser) *policy.Time { return last(p.host.ClientTimeouts) }),
	"window-us":     integer(func(p *parser) *policy.Time { return &class(p).DedupWindow }),
	"worth":         float(func(p *parser) *float64 { return &class(p).PriorityWeight }),
	"repeat":        enum(repeatModes, func(p *parser) *policy.Idempotency { return &class(p).Idempotency }),
	"group":         enum(dedupScopes, func(p *parser) *policy.DedupScope { return &class(p).DedupScope }),
}

// planKeys are the settings of each plan.
var planKeys = map[string]fieldSetter{
	"name":            name(func(p *parser) (*string, *string) { return last(p.host.Plans), &plan(p).Name }),
	"rate":            float(func(p *parser) *float64 { return &plan(p).Rate }),
	"burst":           float(func(p *parser) *float64 { return &plan(p).Burst }),
	"never-over-rate": float(func(p *parser) *float64 { return &plan(p).CeilingRate }),
	"ceiling-burst":   float(func(p *parser) *float64 { return &plan(p).CeilingBurst }),
	"hard-slack":      float(func(p *parser) *float64 { return &plan(p).CeilingSlack }),
	"max-out":         integer(func(p *parser) *int { return &plan(p).ConcurrencyLimit }),
	"value-factor":    float(func(p *parser) *float64 { return &plan(p).ValueFactor }),
	"beyond-earns":    float(func(p *parser) *float64 { return &plan(p).OverageRevenue }),
	"beyond-costs":    float(func(p *parser) *float64 { return &plan(p).OverageCost }),
}

// setZones sets the names of the zones. The number of a zone is its index in the list.
func setZones(p *parser, value string) error {
	p.host.Zones = strings.Split(value, ",")
	return nil
}

// setReportNames sets the names of the values in a load report, and looks up the metric that each name stands
// for.
func setReportNames(p *parser, value string) error {
	p.LoadReport, p.host.ReportNames = nil, strings.Split(value, ",")
	for _, metric := range p.host.ReportNames {
		p.LoadReport = append(p.LoadReport, loadMetrics[metric])
	}
	return nil
}

// last returns the last item of a list, which is the one that is being parsed.
func last[T any](items []T) *T { return &items[len(items)-1] }

// class returns the class that is being parsed.
func class(p *parser) *policy.Class { return last(p.Classes) }

// plan returns the plan that is being parsed.
func plan(p *parser) *policy.Plan { return last(p.Plans) }
