package main

import (
	"encoding/json"
	"fmt"
)

// settingsOf gives the settings of one gateway of a tier, in the names of a real site's.
func settingsOf(tier, self int) json.RawMessage {
	names := make([]string, zones)
	for i := range names {
		names[i] = zoneName(i)
	}
	class := func(name, repeat string, worth float64) map[string]any {
		return map[string]any{
			"name": name, "promise-us": 1_000_000, "hard-limit-us": clientWaits.Microseconds(), "repeat": repeat,
			"group": "all", "window-us": 5_000_000, "worth": worth,
		}
	}
	tariff := func(p plan) map[string]any {
		return map[string]any{
			"name": p.name, "rate": p.rate, "burst": p.burst, "max-out": 0, "value-factor": 1, "beyond-earns": 0,
			"beyond-costs": 1, "never-over-rate": p.ceilingRate, "ceiling-burst": p.ceilingBurst, "hard-slack": p.ceilingSlack,
		}
	}
	body, err := json.Marshal(map[string]any{
		"self-index": self, "balancers": tier, "az": self % zones, "granularity-us": 2000, "localities": names,
		"ceilings": map[string]any{
			"peers": true, "probes": false, "second-copies": true, "retry-after": true, "max-attempts": 5,
			"max-retry-after-us": 500_000, "max-open": 20_000, "dial-timeout-us": 250_000, "idle-close-us": 15_000_000,
		},
		"family-info": map[string]any{
			"counter": false, "settles": false, "counter-timeout-us": 0, "mail-per-s": 40, "max-units": 8, "meter-period-us": 0,
		},
		"guarantees": map[string]any{
			"cold-from": 0.27, "cold-us": 16_000_000, "overload-factor": 2.5, "tip-after-us": 3_000_000,
			"drain-grace-us": drainGrace.Microseconds(),
		},
		"prices":          map[string]any{"cross-zone": 0.0091, "handshake": 0.02},
		"membership-mode": "pushed", "weights": "nominal",
		"report":          map[string]any{"names": []string{}, "via": "silent"},
		"request-classes": []any{class("lookup", "retryable", 3), class("order", "dedup", 5)},
		"tariffs":         []any{tariff(teamPlan), tariff(cappedPlan)},
	})
	if err != nil {
		panic(fmt.Sprintf("settings: %v", err)) // plain values: none can fail
	}
	return body
}
