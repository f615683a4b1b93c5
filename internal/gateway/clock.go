package gateway

import (
	"time"

	"sparspread/policy"
)

// Units of policy.Time.
const (
	microsecond policy.Time = 1
	millisecond             = 1000 * microsecond
	second                  = 1000 * millisecond
)

// clock gives the time in microseconds since 1970: the wall clock's at its creation, monotonic from then on.
type clock struct {
	wall  policy.Time // at the creation
	start time.Time
	since func(time.Time) time.Duration // time.Since, except in tests
}

func newClock() clock {
	now := time.Now()
	return clock{wall: now.UnixMicro(), start: now, since: time.Since}
}

func (c clock) now() policy.Time { return c.wall + c.since(c.start).Microseconds() }
