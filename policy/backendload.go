package policy

// backendLoad counts the attempts in flight at a backend.
type backendLoad struct {
	inFlight int
	overdue  int // the part of inFlight that is pending for longer than the latency objective
}

// addInFlight counts another attempt.
func (l *backendLoad) addInFlight() { l.inFlight++ }

// markOverdue counts an attempt in flight as overdue.
func (l *backendLoad) markOverdue() { l.overdue++ }

// removeInFlight removes an attempt that has ended.
func (l *backendLoad) removeInFlight(overdue bool) {
	l.inFlight--
	if overdue {
		l.overdue--
	}
}

// effective returns the number of attempts that load the backend. Overdue attempts are weighted by the share
// of late answers of all backends: if other answers are on time, overdue attempts are probably lost and must
// not block new ones.
func (l *backendLoad) effective(lateShare float64) float64 {
	return float64(l.inFlight) - float64(l.overdue)*(1-lateShare)
}
