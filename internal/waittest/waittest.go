// Package waittest provides waiting with a timeout for tests. Only tests import it.
package waittest

import (
	"testing"
	"time"
)

// Timeout limits every wait of a test. It is far longer than any wait takes. Tests must not use it to check
// the speed of the program.
const Timeout = 30 * time.Second

// Receive returns the next value of a channel, or the zero value if the channel is closed. If neither happens
// within Timeout, the test fails and stops. The parameter event describes what the test waits for.
func Receive[T any](tb testing.TB, from <-chan T, event string) T {
	tb.Helper()
	value, ok := receiveWithin(from, Timeout)
	if !ok {
		tb.Fatal("timed out waiting for ", event)
	}
	return value
}

// receiveWithin waits for at most the timeout. It reports whether it received a value or the channel is
// closed.
func receiveWithin[T any](from <-chan T, timeout time.Duration) (value T, received bool) {
	select {
	case value = <-from:
		return value, true
	case <-time.After(timeout):
		return value, false
	}
}
