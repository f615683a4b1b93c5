package gateway

import "testing"

// newSocketlessListening returns a listening type without a socket and without slots: its accept goroutine
// waits for a slot until it is paused.
func newSocketlessListening(t *testing.T) (s *listening, illegal *[]string) {
	t.Helper()
	log, illegal := newStepLog()
	s = newListening(make(chan struct{}), func(event) { t.Error("an event without a socket") }, log)
	t.Cleanup(func() {
		if s.accepting != nil {
			close(s.accepting)
		}
	})
	return s, illegal
}

func TestListeningPhases(t *testing.T) {
	resume, pause, handOver := (*listening).resume, (*listening).pause, (*listening).handOver
	shutDown := func(s *listening) { s.shutDown(false) }
	shutDownHandedOver := func(s *listening) { s.shutDown(true) }
	for _, run := range []struct {
		name  string
		calls []func(*listening)
		want  listeningPhase
	}{
		{"at the start", nil, listeningWaiting},
		{"ready", []func(*listening){resume}, listeningAccepting},
		{"a successor takes over", []func(*listening){resume, pause}, listeningPaused},
		{"it gives up", []func(*listening){resume, pause, resume}, listeningAccepting},
		{"it serves", []func(*listening){resume, pause, handOver}, listeningHandedOver},
		{"it serves and ends", []func(*listening){resume, pause, handOver, resume}, listeningAccepting},
		{"shutdown", []func(*listening){resume, shutDown}, listeningDraining},
		{"shutdown before ready", []func(*listening){shutDown}, listeningDraining},
		{"shutdown amid a takeover", []func(*listening){resume, pause, shutDown}, listeningDraining},
		{
			"the successor serves while the backlog is drained",
			[]func(*listening){resume, pause, shutDown, handOver},
			listeningDraining,
		},
		{
			"shutdown after the handover",
			[]func(*listening){resume, pause, handOver, shutDownHandedOver},
			listeningClosed,
		},
		{
			"shutdown after the successor's end",
			[]func(*listening){resume, pause, handOver, shutDown},
			listeningDraining,
		},
	} {
		t.Run(run.name, func(t *testing.T) {
			s, illegal := newSocketlessListening(t)
			for _, call := range run.calls {
				call(s)
			}
			wantPhase(t, &s.phase, run.want)
			wantIllegal(t, illegal)
			accepts := run.want == listeningAccepting || run.want == listeningDraining
			if got := s.accepting != nil; got != accepts {
				t.Errorf("accept goroutine: %t", got)
			}
			got := [...]bool{s.isWaiting(), s.isPaused(), s.isClosed()}
			want := [...]bool{
				run.want == listeningWaiting, run.want == listeningPaused, run.want == listeningClosed,
			}
			if got != want {
				t.Errorf("waiting, paused, closed: %v, want %v", got, want)
			}
		})
	}
}

func TestListeningRefusesIllegalSteps(t *testing.T) {
	s, illegal := newSocketlessListening(t)
	s.pause()
	wantPhase(t, &s.phase, listeningWaiting)
	wantIllegal(t, illegal, "listening: no transition from waiting to paused")
	s.resume()
	s.resume()
	wantPhase(t, &s.phase, listeningAccepting)
	wantIllegal(t, illegal, "listening: no transition from accepting to accepting")
	s.shutDown(false)
	s.shutDown(false)
	s.resume()
	wantPhase(t, &s.phase, listeningDraining)
	wantIllegal(t, illegal, "listening: no transition from draining to draining",
		"listening: no transition from draining to accepting")
}
