package model

import (
	"encoding/json"
	"fmt"
	"time"

	"sparspread/internal/settings"
	"sparspread/policy"
)

const (
	// ClientTimeout is how long clients wait for an answer.
	ClientTimeout = 4 * time.Second
	// DrainGrace is how long a backend may still be sent requests after it began to drain.
	DrainGrace = 500 * time.Millisecond
)

// The settings of the tier, beside the above.
const (
	minEventInterval = 2 * time.Millisecond

	maxAttempts     = 5
	maxRetryAfter   = 500 * time.Millisecond
	maxOpenRequests = 20_000
	dialTimeout     = 250 * time.Millisecond
	idleClose       = 15 * time.Second

	gossipPerSecond = 40 // messages
	maxCost         = 8  // units

	slowStartFloor = 0.27 // of a backend's capacity, at its start
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

// settingsGroup is an object of the settings, by the keys of a real site.
type settingsGroup map[string]any

// SettingsJSON returns the settings of one gateway of a tier.
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
		panic(fmt.Sprintf("settings: %v", err)) // plain values: none can fail
	}
	return body
}

// Settings returns the settings of one gateway of a tier as package policy takes them.
func Settings(tier, gateway int) (policy.Settings, error) {
	parsed, _, err := settings.ParseJSON(SettingsJSON(tier, gateway))
	if err != nil {
		return parsed, fmt.Errorf("settings: %w", err)
	}
	return parsed, nil
}

// classSettings are the settings of a class of requests.
func classSettings(name, idempotency string, priorityWeight float64) settingsGroup {
	return settingsGroup{
		"name": name, "promise-us": latencyObjective.Microseconds(),
		"hard-limit-us": ClientTimeout.Microseconds(), "repeat": idempotency, "group": "all",
		"window-us": dedupWindow.Microseconds(), "worth": priorityWeight,
	}
}

// settings are the settings of a plan.
func (p Plan) settings() settingsGroup {
	return settingsGroup{
		"name": p.Name, "rate": p.Rate, "burst": p.Burst, "max-out": 0, "value-factor": 1,
		"beyond-earns": 0, "beyond-costs": 1, "never-over-rate": p.CeilingRate,
		"ceiling-burst": p.CeilingBurst, "hard-slack": p.CeilingSlack,
	}
}
