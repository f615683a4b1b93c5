package eventloop

import "time"

// Clock gives the time in microseconds since 1970. Any goroutine may call it.
type Clock interface {
	Now() int64
}

// SystemClock returns a clock that shows the wall clock's time at this call, and is monotonic from then on:
// setting the wall clock does not change it.
func SystemClock() Clock {
	now := time.Now()
	return systemClock{wall: now.UnixMicro(), start: now}
}

type systemClock struct {
	wall  int64 // at start, in microseconds since 1970
	start time.Time
}

func (c systemClock) Now() int64 { return c.wall + time.Since(c.start).Microseconds() }
