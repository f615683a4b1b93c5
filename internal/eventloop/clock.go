package eventloop

import "time"

// Clock is a source of the current time. Implementations must be safe for concurrent use.
type Clock interface {
	// Now returns the time in microseconds since 1970.
	Now() int64
}

// SystemClock returns a clock that starts at the current time of the wall clock and then advances
// monotonically: later changes of the wall clock do not affect it.
func SystemClock() Clock {
	now := time.Now()
	return systemClock{wall: now.UnixMicro(), start: now}
}

type systemClock struct {
	wall  int64 // the wall clock's time at start, in microseconds since 1970
	start time.Time
}

func (c systemClock) Now() int64 { return c.wall + time.Since(c.start).Microseconds() }
