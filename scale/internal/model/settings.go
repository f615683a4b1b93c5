package model

import (
	"encoding/json"
	"fmt"
	"time"

	"sparspread/internal/settings"
	"sparspread/policy"
)

const (
	// ClientTimeout is the time for which clients wait for an answer.
	ClientTimeout = 4 * time.Second
	// DrainGrace is the time for which gateways may still send requests to a backend after it started to
	// drain.
	DrainGrace = 500 * time.Millisecond
)

// Other settings of the tier.
const (
	minEventInterval = 2 * time.Millisecond

	maxAttempts     = 5
	maxRetryAfter   = 500 * time.Millisecond
	maxOpenRequests = 20_000
	dialTimeout     = 250 * time.Millisecond
	idleClose       = 15 * time.Second

	gossipPerSecond = 40 // messages per second
	maxCost         = 8  // units per request

	slowStartFloor = 0.27 // a backend enters slow start with this fraction of its capacity
	slowStartTime  = 16 * time.Second
	overloadFactor = 2.5
	overloadWindow = 3 * time.Second

	crossZonePrice = 0.0091
	handshakePrice = 0.02

	latencyObjective = time.Second
	dedupWindow      = 5 * time.Second
	lookupWeight     = 3
	orderWeight      = 5
)

// settingsGroup is a JSON object of the settings, with the keys that real sites use.
type settingsGroup map[string]any

// SettingsJSON returns the settings of one gateway of a tier as JSON.
func SettingsJSON(tier, gateway int) json.RawMessage {
	zoneNames := make([]string, zones)
	for i := range zoneNames {
		zoneNames[i] = zoneName(i)
	}
	body, err := json.Marshal(settingsGroup{
		"self-index": gateway, "balancers": tier, "az": gateway % zones, "localities": zoneNames,
		"granularity-us": minEventInterval.Microseconds(),
		"ceilings": settingsGroup{
			"peers": true, "probes": false, "second-copies": true, "retry-after": true,
			"max-attempts": maxAttempts, "max-retry-after-us": maxRetryAfter.Microseconds(),
			"max-open": maxOpenRequests, "dial-timeout-us": dialTimeout.Microseconds(),
			"idle-close-us": idleClose.Microseconds(),
		},
		"family-info": settingsGroup{
			"counter": false, "settles": false, "counter-timeout-us": 0, "meter-period-us": 0,
			"mail-per-s": gossipPerSecond, "max-units": maxCost,
		},
		"guarantees": settingsGroup{
			"cold-from": slowStartFloor, "cold-us": slowStartTime.Microseconds(),
			"overload-factor": overloadFactor, "tip-after-us": overloadWindow.Microseconds(),
			"drain-grace-us": DrainGrace.Microseconds(),
		},
		"prices":          settingsGroup{"cross-zone": crossZonePrice, "handshake": handshakePrice},
		"membership-mode": "pushed", "weights": "nominal",
		"report": settingsGroup{"names": []string{}, "via": "silent"},
		"request-classes": []settingsGroup{
			classSettings("lookup", "retryable", lookupWeight),
			classSettings("order", "dedup", orderWeight),
		},
		"tariffs": []settingsGroup{TeamPlan.settings(), CappedPlan.settings()},
	})
	if err != nil {
		panic(fmt.Sprintf("settings: %v", err)) // unreachable: all values can be encoded
	}
	return body
}

// Settings returns the settings of one gateway of a tier, parsed for package policy.
func Settings(tier, gateway int) (policy.Settings, error) {
	parsed, _, err := settings.ParseJSON(SettingsJSON(tier, gateway))
	if err != nil {
		return parsed, fmt.Errorf("settings: %w", err)
	}
	return parsed, nil
}

// classSettings returns the settings of a class of requests.
func classSettings(name, idempotency string, priorityWeight float64) settingsGroup {
	return settingsGroup{
		"name": name, "promise-us": latencyObjective.Microseconds(),
		"hard-limit-us": ClientTimeout.Microseconds(), "repeat": idempotency, "group": "all",
		"window-us": dedupWindow.Microseconds(), "worth": priorityWeight,
	}
}

// settings returns the settings of the plan.
func (p Plan) settings() settingsGroup {
	return settingsGroup{
		"name": p.Name, "rate": p.Rate, "burst": p.Burst, "max-out": 0, "value-factor": 1,
		"beyond-earns": 0, "beyond-costs": 1, "never-over-rate": p.CeilingRate,
		"ceiling-burst": p.CeilingBurst, "hard-slack": p.CeilingSlack,
	}
}
