package phase_test

import (
	"errors"
	"testing"

	"sparspread/internal/phase"
)

type color string

func (c color) String() string { return string(c) }

var colors = phase.Transitions[color]{"green": {"yellow"}, "yellow": {"red", "green"}}

func TestMachineMakesLegalTransitions(t *testing.T) {
	m := phase.New("light", color("green"), colors, func(err error) { t.Error(err) })
	for _, next := range []color{"yellow", "green", "yellow", "red"} {
		if !m.TransitionTo(next) || m.Current() != next {
			t.Errorf("phase %s after the transition to %s", m.Current(), next)
		}
	}
	if !m.Is("green", "red") || m.Is("green", "yellow") || m.Is() {
		t.Error("Is returns a wrong result")
	}
}

// An illegal transition is reported and does not change the phase.
func TestMachineRejectsIllegalTransitions(t *testing.T) {
	for _, step := range []struct{ from, to color }{
		{"green", "red"}, {"green", "green"}, {"red", "green"}, {"green", "blue"}, {"blue", "green"},
	} {
		var reported error
		m := phase.New("light", step.from, colors, func(err error) { reported = err })
		if m.TransitionTo(step.to) || m.Current() != step.from {
			t.Errorf("from %s to %s: accepted, or phase changed to %s", step.from, step.to, m.Current())
		}
		var illegal *phase.TransitionError
		if !errors.As(reported, &illegal) || *illegal != (phase.TransitionError{
			Machine: "light", From: string(step.from), To: string(step.to),
		}) {
			t.Errorf("from %s to %s: reported %v", step.from, step.to, reported)
		}
	}
}

func TestTransitionErrorContainsMachineAndPhases(t *testing.T) {
	err := &phase.TransitionError{Machine: "light", From: "green", To: "red"}
	if got, want := err.Error(), "light: no transition from green to red"; got != want {
		t.Errorf("error %q, want %q", got, want)
	}
}
