package gateway

import (
	"context"
	"log/slog"
	"slices"
	"testing"

	"sparspread/internal/phase"
)

// illegalTransitionLog is a log handler that collects the illegal transitions of state machines.
type illegalTransitionLog struct {
	slog.Handler
	illegal *[]string
}

// newIllegalTransitionLog returns a log, and the illegal transitions that are reported to it.
func newIllegalTransitionLog() (log *slog.Logger, illegal *[]string) {
	illegal = new([]string)
	return slog.New(illegalTransitionLog{slog.DiscardHandler, illegal}), illegal
}

// Enabled implements slog.Handler.
func (illegalTransitionLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler. It keeps only illegal transitions.
func (h illegalTransitionLog) Handle(_ context.Context, record slog.Record) error {
	if record.Message == illegalTransitionMessage && record.Level == slog.LevelError {
		record.Attrs(func(a slog.Attr) bool {
			*h.illegal = append(*h.illegal, a.Value.String())
			return true
		})
	}
	return nil
}

// wantIllegalTransitions checks which transitions were reported as illegal, and clears the report.
func wantIllegalTransitions(t *testing.T, illegal *[]string, want ...string) {
	t.Helper()
	if !slices.Equal(*illegal, want) {
		t.Errorf("illegal transitions: got %q, want %q", *illegal, want)
	}
	*illegal = nil
}

// wantPhase checks the phase of a state machine.
func wantPhase[P phase.Phase](t *testing.T, m *phase.Machine[P], want P) {
	t.Helper()
	if m.Current() != want {
		t.Errorf("got phase %s, want %s", m.Current(), want)
	}
}

// callRecorder records the names of the methods that are called on a fake.
type callRecorder struct{ calls []string }

func (e *callRecorder) record(call string) { e.calls = append(e.calls, call) }

// wantCalls checks the calls since the last check.
func (e *callRecorder) wantCalls(t *testing.T, calls ...string) {
	t.Helper()
	if !slices.Equal(e.calls, calls) {
		t.Errorf("got calls %q, want %q", e.calls, calls)
	}
	e.calls = nil
}

// checkPhaseTable checks that each of n phases is reachable from the initial ones, and that the names of the
// phases are distinct.
func checkPhaseTable[P interface {
	phase.Phase
	~uint8
}](t *testing.T, transitions phase.Transitions[P], n int, first ...P) {
	t.Helper()
	reached := map[P]bool{}
	for queue := first; len(queue) > 0; queue = queue[1:] {
		if !reached[queue[0]] {
			reached[queue[0]] = true
			queue = append(queue, transitions[queue[0]]...)
		}
	}
	names := map[string]bool{}
	for p := range P(n) {
		if !reached[p] {
			t.Errorf("phase %s is unreachable", p)
		}
		names[p.String()] = true
	}
	if len(reached) != n || len(names) != n {
		t.Errorf("%d phases are reachable, with %d names, want %d", len(reached), len(names), n)
	}
}

func TestPhaseTablesReachEachPhase(t *testing.T) {
	t.Run("listening", func(t *testing.T) {
		checkPhaseTable(t, listeningTransitions, 6, listeningWaiting)
	})
	t.Run("takeover", func(t *testing.T) {
		checkPhaseTable(t, takeoverTransitions, 6, takeoverNone, takeoverWaiting)
	})
	t.Run("handover", func(t *testing.T) {
		checkPhaseTable(t, handoverTransitions, 3, handoverNone)
	})
	t.Run("shutdown", func(t *testing.T) {
		checkPhaseTable(t, shutdownTransitions, 4, shutdownNone)
	})
	t.Run("reload", func(t *testing.T) {
		checkPhaseTable(t, reloadTransitions, 3, reloadNone)
	})
	t.Run("endpoints", func(t *testing.T) {
		checkPhaseTable(t, endpointTransitions, 3, endpointsConfigured)
	})
}
