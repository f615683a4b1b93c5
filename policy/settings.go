package policy

import "fmt"

// maxSubjects is the largest number of classes and plans together, because a fault report identifies its
// class or plan by one byte.
const maxSubjects = 255

// SettingsError reports an invalid field of the settings.
type SettingsError struct {
	Field   string // its key in the settings file
	Problem string
}

func (e *SettingsError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

func settingsError(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate returns a SettingsError for the first invalid field.
func (s *Settings) validate() error {
	if err := s.validateCounts(); err != nil {
		return err
	}
	for i := range s.Classes {
		if objective := s.Classes[i].LatencyObjective; objective <= 0 {
			return settingsError(fmt.Sprintf("classes[%d].aim", i), "%d: expected a value above 0", objective)
		}
	}
	for i := range s.Plans {
		if plan := &s.Plans[i]; !plan.isValid() {
			return settingsError(fmt.Sprintf("plans[%d]", i),
				"rate %g, burst %g: expected no negative rate, and a burst above 0 for a quota",
				plan.Rate, plan.Burst)
		}
	}
	return nil
}

// validateCounts checks the number of gateways, classes, plans and attempts, and this gateway's index.
func (s *Settings) validateCounts() error {
	switch {
	case s.Gateways < 1:
		return settingsError("gateways", "%d: expected at least 1", s.Gateways)
	case s.Self < 0 || s.Self >= s.Gateways:
		return settingsError("self", "%d: expected an index of one of %d gateways", s.Self, s.Gateways)
	case len(s.Classes) == 0:
		return settingsError("classes", "0: expected at least 1")
	case len(s.Plans) == 0 || len(s.Classes)+len(s.Plans) > maxSubjects:
		return settingsError("plans", "%d: expected at least 1, and at most %d together with the classes",
			len(s.Plans), maxSubjects)
	case s.MaxAttempts < 0:
		return settingsError("attempts", "%d: expected at least 0", s.MaxAttempts)
	}
	return nil
}

// isValid reports whether no rate is negative, and a plan with a quota has a burst.
func (p *Plan) isValid() bool {
	hasBurst := p.Rate == 0 || p.Burst > 0
	return p.Rate >= 0 && p.CeilingRate >= 0 && hasBurst
}
