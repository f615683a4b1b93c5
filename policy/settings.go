package policy

import "fmt"

// maxSubjects is how many classes and plans there may be, as a byte numbers both in fault reports.
const maxSubjects = 255

// SettingsError says which field of the settings can't be served, by its key in the settings file.
type SettingsError struct {
	Field   string
	Problem string
}

func (e *SettingsError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

func settingsError(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate returns a SettingsError for the first field that can't be served.
func (s *Settings) validate() error {
	if err := s.validateCounts(); err != nil {
		return err
	}
	for i := range s.Classes {
		if objective := s.Classes[i].LatencyObjective; objective <= 0 {
			return settingsError(fmt.Sprintf("classes[%d].aim", i), "%d, above 0 wanted", objective)
		}
	}
	for i := range s.Plans {
		if plan := &s.Plans[i]; !plan.isValid() {
			return settingsError(fmt.Sprintf("plans[%d]", i), "rate %g with burst %g", plan.Rate, plan.Burst)
		}
	}
	return nil
}

// validateCounts checks the gateways, the attempts, and how many classes and plans there are.
func (s *Settings) validateCounts() error {
	switch {
	case s.Gateways < 1:
		return settingsError("gateways", "%d, at least 1 wanted", s.Gateways)
	case s.Self < 0 || s.Self >= s.Gateways:
		return settingsError("self", "%d is none of %d gateways", s.Self, s.Gateways)
	case len(s.Classes) == 0:
		return settingsError("classes", "none")
	case len(s.Plans) == 0 || len(s.Classes)+len(s.Plans) > maxSubjects:
		return settingsError("plans", "%d, at least 1 and with the classes at most %d wanted",
			len(s.Plans), maxSubjects)
	case s.MaxAttempts < 0:
		return settingsError("attempts", "%d, above 0 wanted", s.MaxAttempts)
	}
	return nil
}

// isValid reports whether no rate is negative and a quota has a burst.
func (p *Plan) isValid() bool {
	hasBurst := p.Rate == 0 || p.Burst > 0
	return p.Rate >= 0 && p.CeilingRate >= 0 && hasBurst
}
