// Package phase has state machines whose legal steps stand in one table.
package phase

import (
	"fmt"
	"slices"
)

// Phase is one of the phases of a state machine, usually an enumeration.
type Phase interface {
	comparable
	fmt.Stringer
}

// Steps lists, for each phase, those that may follow it.
type Steps[P Phase] map[P][]P

// Machine is a state machine. It belongs to one goroutine.
type Machine[P Phase] struct {
	name    string
	current P
	legal   Steps[P]
	report  func(error)
}

// New returns a machine in its first phase. Report is called with a *StepError for each illegal step.
func New[P Phase](name string, first P, legal Steps[P], report func(error)) Machine[P] {
	return Machine[P]{name: name, current: first, legal: legal, report: report}
}

// Current is the phase that the machine is in.
func (m *Machine[P]) Current() P { return m.current }

// Is reports whether the machine is in one of some phases.
func (m *Machine[P]) Is(phases ...P) bool { return slices.Contains(phases, m.current) }

// Step enters the next phase. An illegal step is reported, returns false and leaves the machine as it is.
func (m *Machine[P]) Step(next P) bool {
	if !slices.Contains(m.legal[m.current], next) {
		m.report(&StepError{Machine: m.name, From: m.current.String(), To: next.String()})
		return false
	}
	m.current = next
	return true
}

// StepError is a step that the table of a machine does not list.
type StepError struct {
	Machine  string // its name
	From, To string // the phases
}

func (e *StepError) Error() string {
	return fmt.Sprintf("%s: no step from %s to %s", e.Machine, e.From, e.To)
}
