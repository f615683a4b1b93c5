package handover

import (
	"time"

	"golang.org/x/sys/unix"
)

// MonotonicTime returns the time since a point that is the same for all processes of the machine. Unlike the
// wall clock it is never stepped. It returns zero if the system does not tell it.
func MonotonicTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// maxInputWait is longer than input waits to be processed. A longer time is an error of the sender.
const maxInputWait = 10 * time.Second

// InputAge returns for how long input of the connection may have waited to be processed, if the sender's
// version tells it.
func (c *ClientConnection) InputAge(now time.Duration) (age time.Duration, isKnown bool) {
	age = now - c.InputSince
	if c.InputSince == 0 || age < 0 || age > maxInputWait {
		return 0, false
	}
	return age, true
}
