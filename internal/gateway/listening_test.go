package gateway

import "testing"

// newListeningWithoutSocket returns a listening without a socket and without slots. Its accept goroutine
// waits for a slot until it is stopped.
func newListeningWithoutSocket(t *testing.T) (s *listening, illegal *[]string) {
	t.Helper()
	log, illegal := newIllegalTransitionLog()
	s = newListening(make(chan struct{}), func(event) { t.Error("an event was posted") }, log)
	t.Cleanup(func() {
		if s.stopAccepting != nil {
			close(s.stopAccepting)
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
		{"initial phase", nil, listeningWaiting},
		{"ready", []func(*listening){resume}, listeningAccepting},
		{"successor takes over", []func(*listening){resume, pause}, listeningPaused},
		{"successor abandons takeover", []func(*listening){resume, pause, resume}, listeningAccepting},
		{"successor serves", []func(*listening){resume, pause, handOver}, listeningHandedOver},
		{"successor exits", []func(*listening){resume, pause, handOver, resume}, listeningAccepting},
		{"shutdown", []func(*listening){resume, shutDown}, listeningDraining},
		{"shutdown before ready", []func(*listening){shutDown}, listeningDraining},
		{"shutdown during handover", []func(*listening){resume, pause, shutDown}, listeningDraining},
		{
			"successor serves while the backlog is drained",
			[]func(*listening){resume, pause, shutDown, handOver},
			listeningDraining,
		},
		{
			"shutdown after handover",
			[]func(*listening){resume, pause, handOver, shutDownHandedOver},
			listeningClosed,
		},
		{
			"shutdown after the successor exited",
			[]func(*listening){resume, pause, handOver, shutDown},
			listeningDraining,
		},
	} {
		t.Run(run.name, func(t *testing.T) {
			s, illegal := newListeningWithoutSocket(t)
			for _, call := range run.calls {
				call(s)
			}
			wantPhase(t, &s.phase, run.want)
			wantIllegalTransitions(t, illegal)
			accepts := run.want == listeningAccepting || run.want == listeningDraining
			if got := s.stopAccepting != nil; got != accepts {
				t.Errorf("accept goroutine is running: got %t", got)
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

func TestListeningRejectsIllegalTransitions(t *testing.T) {
	s, illegal := newListeningWithoutSocket(t)
	s.pause()
	wantPhase(t, &s.phase, listeningWaiting)
	wantIllegalTransitions(t, illegal, "listening: no transition from waiting to paused")
	s.resume()
	s.resume()
	wantPhase(t, &s.phase, listeningAccepting)
	wantIllegalTransitions(t, illegal, "listening: no transition from accepting to accepting")
	s.shutDown(false)
	s.shutDown(false)
	s.resume()
	wantPhase(t, &s.phase, listeningDraining)
	wantIllegalTransitions(t, illegal, "listening: no transition from draining to draining",
		"listening: no transition from draining to accepting")
}
