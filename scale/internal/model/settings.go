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

// settingsGroup is an object of the settings, by the keys of a real site.
type settingsGroup map[string]any

// SettingsJSON returns the settings of one gateway of a tier.
func SettingsJSON(tier, gateway int) json.RawMessage {
	zoneNames := make([]string, zones)
	for i := range zoneNames {
		zoneNames[i] = zoneName(i)
	}
	body, err := json.Marshal(settingsGroup{
		"self-index": gateway, "balancers": tier, "az": gateway % zones, "granularity-us": 2000,
		"localities": zoneNames,
		"ceilings": settingsGroup{
			"peers": true, "probes": false, "second-copies": true, "retry-after": true, "max-attempts": 5,
			"max-retry-after-us": 500_000, "max-open": 20_000, "dial-timeout-us": 250_000,
			"idle-close-us": 15_000_000,
		},
		"family-info": settingsGroup{
			"counter": false, "settles": false, "counter-timeout-us": 0, "mail-per-s": 40, "max-units": 8,
			"meter-period-us": 0,
		},
		"guarantees": settingsGroup{
			"cold-from": 0.27, "cold-us": 16_000_000, "overload-factor": 2.5, "tip-after-us": 3_000_000,
			"drain-grace-us": DrainGrace.Microseconds(),
		},
		"prices":          settingsGroup{"cross-zone": 0.0091, "handshake": 0.02},
		"membership-mode": "pushed", "weights": "nominal",
		"report": settingsGroup{"names": []string{}, "via": "silent"},
		"request-classes": []settingsGroup{
			classSettings("lookup", "retryable", 3),
			classSettings("order", "dedup", 5),
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

func classSettings(name, idempotency string, priorityWeight float64) settingsGroup {
	return settingsGroup{
		"name": name, "promise-us": 1_000_000, "hard-limit-us": ClientTimeout.Microseconds(),
		"repeat": idempotency, "group": "all", "window-us": 5_000_000, "worth": priorityWeight,
	}
}

func (p Plan) settings() settingsGroup {
	return settingsGroup{
		"name": p.Name, "rate": p.Rate, "burst": p.Burst, "max-out": 0, "value-factor": 1,
		"beyond-earns": 0, "beyond-costs": 1, "never-over-rate": p.CeilingRate,
		"ceiling-burst": p.CeilingBurst, "hard-slack": p.CeilingSlack,
	}
}
