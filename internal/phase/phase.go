// Package phase provides state machines whose transitions are defined by a table.
package phase

import (
	"fmt"
	"slices"
)

// Phase is a state of a state machine, usually a constant of an enumeration.
type Phase interface {
	comparable
	fmt.Stringer
}

// Transitions lists the legal transitions: for each phase, the phases that may follow it.
type Transitions[P Phase] map[P][]P

// Machine is a state machine. It is not safe for concurrent use.
type Machine[P Phase] struct {
	name    string
	current P
	legal   Transitions[P]
	report  func(error)
}

// New returns a machine in the phase first. The machine calls report with a *TransitionError for each illegal
// transition.
func New[P Phase](name string, first P, legal Transitions[P], report func(error)) Machine[P] {
	return Machine[P]{name: name, current: first, legal: legal, report: report}
}

// Current returns the current phase.
func (m *Machine[P]) Current() P { return m.current }

// Is reports whether the current phase is one of the given phases.
func (m *Machine[P]) Is(phases ...P) bool { return slices.Contains(phases, m.current) }

// TransitionTo makes next the current phase and returns true. If the table does not allow the transition, it
// calls the report function, returns false and does not change the phase.
func (m *Machine[P]) TransitionTo(next P) bool {
	if !slices.Contains(m.legal[m.current], next) {
		m.report(&TransitionError{Machine: m.name, From: m.current.String(), To: next.String()})
		return false
	}
	m.current = next
	return true
}

// TransitionError reports a transition that the table of a machine does not allow.
type TransitionError struct {
	Machine  string // the name of the machine
	From, To string // the phases of the transition
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s: no transition from %s to %s", e.Machine, e.From, e.To)
}
