package policy

import (
	"errors"
	"testing"
)

func TestNewReportsInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"gateways":       func(s *Settings) { s.Gateways = 0 },
		"self":           func(s *Settings) { s.Self = 2 },
		"classes":        func(s *Settings) { s.Classes = nil },
		"plans":          func(s *Settings) { s.Plans = nil },
		"attempts":       func(s *Settings) { s.MaxAttempts = -1 },
		"classes[1].aim": func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"plans[0]":       func(s *Settings) { s.Plans[0].Burst = 0 },
	} {
		t.Run(field, func(t *testing.T) {
			settings := testSettings()
			invalidate(&settings)
			var invalid *SettingsError
			if _, err := New(settings, 1, &recorder{}); !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("got error %v, want a SettingsError for the field", err)
			}
		})
	}
}
