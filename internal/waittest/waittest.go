// Package waittest has tests wait for what has to happen. Only tests import it.
package waittest

import (
	"testing"
	"time"
)

// Timeout bounds every wait of a test. It is far longer than any takes: no test asserts a speed with it.
const Timeout = 30 * time.Second

// Receive returns the next value of a channel, or the zero value of one that is closed. It ends the test if
// neither comes in time; what says what the test waits for.
func Receive[T any](tb testing.TB, from <-chan T, what string) T {
	tb.Helper()
	value, ok := receiveWithin(from, Timeout)
	if !ok {
		tb.Fatal("timed out waiting for ", what)
	}
	return value
}

// receiveWithin waits for a time at most, and reports whether it received or the channel is closed.
func receiveWithin[T any](from <-chan T, timeout time.Duration) (value T, received bool) {
	select {
	case value = <-from:
		return value, true
	case <-time.After(timeout):
		return value, false
	}
}
