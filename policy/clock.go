package policy

// The process is assumed to have stalled if the gossip timer is late by more than this many minimum event
// intervals.
const stallEventIntervals = 8

// clock holds the time of the current event and the stalls detected so far. During a stall the process did
// not run and could not observe answers. Neither now nor activeTime ever decreases.
type clock struct {
	now         Time
	activeTime  Time // now minus stalledTime
	stalledTime Time // the total duration of all stalls
	timerDue    Time // when the gossip timer is due
	resumedAt   Time // when the last stall ended
	startedAt   Time // when this gateway started: the time of its first event; zero before it
}

// clockEvent is what clock.advance detected.
type clockEvent uint8

const (
	clockAdvanced clockEvent = iota // time has passed
	clockStarted                    // the event is the first one
	clockResumed                    // a stall has ended
)

// advance sets the clock to the time of an event. If the gossip timer is overdue by more than
// stallEventIntervals minimum event intervals, the process was stalled since the timer was due.
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

// scheduleTimer records that the gossip timer is due after the given period, and returns its due time.
func (c *clock) scheduleTimer(period Time) Time {
	c.timerDue = c.now + period
	return c.timerDue
}

// isResuming reports whether the current event is the first after a stall, or has the same time. What such
// an event reports may have happened early in the stall.
func (c *clock) isResuming() bool { return c.now <= c.resumedAt }

// resetStart sets the start time to now. It is called when the controller's state has become as outdated as
// after a restart.
func (c *clock) resetStart() { c.startedAt = c.now }

// importState continues with the start time and the stalls of the process that wrote a snapshot.
func (c *clock) importState(startedAt, resumedAt, stalledTime Time) {
	c.startedAt, c.resumedAt = startedAt, resumedAt
	c.stalledTime, c.activeTime = stalledTime, c.now-stalledTime
}
