package main

import (
	"errors"
	"os/exec"
	"strings"
	"testing"
)

// A process that may open fewer files than the configuration states serves with those, and says so;
// with too few it ends with one message.
func TestLimitOfTheProcess(t *testing.T) {
	host := ownHost()
	b := newMember(t)
	close(b.serve)
	p := launch(t, host, 48, limited(1024, known(b.entry("s-00000001", "Ready"))))
	idle := gather(t, host+":6379", 96)
	p.until(t, "a crowd beyond all places", func() bool { return idle.closed.Load() >= 96 })
	if answer, _, _, err := p.lookup(); answer != "$2" || err != nil {
		t.Errorf("answer %q, error %v", answer, err)
	}
	log := p.logged()
	if n := strings.Count(log, "fewer descriptors than configured"); n != 1 {
		t.Errorf("%d lines tell of the lower limit", n)
	}
	if n := strings.Count(log, "too many open files"); n > 0 {
		t.Errorf("%d calls found no descriptor", n)
	}
	for _, few := range []int{6, 31} {
		p := launch(t, ownHost(), few, nil)
		<-p.ended
		var exit *exec.ExitError
		if !errors.As(p.fails, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%d files: ended with %v", few, p.fails)
		}
		if log := p.logged(); strings.Count(log, "\n") != 1 || !strings.Contains(log, "at least 32 wanted") {
			t.Errorf("%d files: logged %q", few, log)
		}
	}
}
