package policy

// backendLoad counts the attempts in flight at a backend: overdue is at most inFlight.
type backendLoad struct {
	inFlight int
	overdue  int // those of them that are pending for longer than their objective
}

// add counts another attempt.
func (l *backendLoad) add() { l.inFlight++ }

// markOverdue counts one of the attempts as overdue.
func (l *backendLoad) markOverdue() { l.overdue++ }

// remove counts an attempt as ended.
func (l *backendLoad) remove(overdue bool) {
	l.inFlight--
	if overdue {
		l.overdue--
	}
}

// effective is how many of the attempts load the backend: overdue ones as far as answers are late everywhere,
// since they may be lost, and would else block all others.
func (l *backendLoad) effective(lateShare float64) float64 {
	return float64(l.inFlight) - float64(l.overdue)*(1-lateShare)
}
