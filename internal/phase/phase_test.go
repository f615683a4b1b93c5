package phase_test

import (
	"errors"
	"testing"

	"sparspread/internal/phase"
)

type color string

func (c color) String() string { return string(c) }

var colors = phase.Steps[color]{"green": {"yellow"}, "yellow": {"red", "green"}}

func TestLegalSteps(t *testing.T) {
	m := phase.New("light", color("green"), colors, func(err error) { t.Error(err) })
	for _, next := range []color{"yellow", "green", "yellow", "red"} {
		if !m.Step(next) || m.Current() != next {
			t.Errorf("in %s after the step to %s", m.Current(), next)
		}
	}
	if !m.Is("green", "red") || m.Is("green", "yellow") || m.Is() {
		t.Error("it is not in the phase that it is in")
	}
}

// An illegal step is reported, and changes nothing.
func TestIllegalSteps(t *testing.T) {
	for _, step := range []struct{ from, to color }{
		{"green", "red"}, {"green", "green"}, {"red", "green"}, {"green", "blue"}, {"blue", "green"},
	} {
		var reported error
		m := phase.New("light", step.from, colors, func(err error) { reported = err })
		if m.Step(step.to) || m.Current() != step.from {
			t.Errorf("from %s to %s: in %s", step.from, step.to, m.Current())
		}
		var illegal *phase.StepError
		if !errors.As(reported, &illegal) ||
			*illegal != (phase.StepError{Machine: "light", From: string(step.from), To: string(step.to)}) {
			t.Errorf("from %s to %s: reported %v", step.from, step.to, reported)
		}
	}
}

func TestStepErrorNamesMachineAndPhases(t *testing.T) {
	err := &phase.StepError{Machine: "light", From: "green", To: "red"}
	if got, want := err.Error(), "light: no step from green to red"; got != want {
		t.Errorf("error %q, want %q", got, want)
	}
}
