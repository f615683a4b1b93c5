package policy

const stallEventIntervals = 8 // a timer that is later than this many least event intervals shows a stall

// clock is the time of the current event and what is known of stalls, in which the process did not run and
// could see no answers. Neither now nor activeTime ever decreases.
type clock struct {
	now         Time
	activeTime  Time // now less stalledTime
	stalledTime Time // the total of all stalls
	timerDue    Time // when the gossip timer is due
	resumedAt   Time // the end of the last stall
	startedAt   Time // 0: no event yet
}

// clockEvent is what a clock finds as it advances.
type clockEvent uint8

const (
	clockAdvanced clockEvent = iota // nothing else
	clockStarted                    // this is the first event of all
	clockResumed                    // a stall has ended
)

// advance brings the clock to the time of an event. A gossip timer that is overdue by more than stallTicks
// least event intervals shows a stall, which ends now.
func (c *clock) advance(now, minEventInterval Time) clockEvent {
	c.now = max(c.now, now)
	if c.startedAt == 0 {
		c.startedAt, c.activeTime = max(1, now), now
		return clockStarted
	}
	event := clockAdvanced
	if delay := now - c.timerDue; delay > stallEventIntervals*minEventInterval {
		c.stalledTime += delay
		c.timerDue, c.resumedAt = now, now
		event = clockResumed
	}
	c.activeTime = c.now - c.stalledTime
	return event
}

// scheduleTimer notes that the gossip timer is due after a period, and returns when.
func (c *clock) scheduleTimer(period Time) Time {
	c.timerDue = c.now + period
	return c.timerDue
}

// isResuming reports whether the current event is the first one after a stall, or of the same moment: what it
// tells of may have happened long ago.
func (c *clock) isResuming() bool { return c.now <= c.resumedAt }

// restart has the clock's owner start now: what it knew before is as old as after a restart.
func (c *clock) resetStart() { c.startedAt = c.now }

// restore goes on with the start and the stalls of the process that wrote a snapshot.
func (c *clock) importState(startedAt, resumedAt, stalledTime Time) {
	c.startedAt, c.resumedAt = startedAt, resumedAt
	c.stalledTime, c.activeTime = stalledTime, c.now-stalledTime
}
