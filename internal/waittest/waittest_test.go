package waittest

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestReceiveReturnsNextValue(t *testing.T) {
	values := make(chan int, 1)
	values <- 7
	if got := Receive(t, values, "a value"); got != 7 {
		t.Errorf("got %d, want 7", got)
	}
	close(values)
	if got := Receive(t, values, "the end"); got != 0 {
		t.Errorf("got %d from a closed channel, want 0", got)
	}
}

func TestReceiveWithinWaitsForTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		values, started := make(chan int), time.Now()
		if _, received := receiveWithin(values, Timeout); received {
			t.Error("received from a channel without a sender")
		}
		if waited := time.Since(started); waited != Timeout {
			t.Errorf("waited for %v, want %v", waited, Timeout)
		}
	})
}
