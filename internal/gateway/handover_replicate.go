package gateway

import (
	"sparspread/internal/handover"
	"sparspread/policy"
)

// This file tells a successor of the requests that stay with the process that handed over.

// replicateAttemptSent reports a further attempt of a request that stayed here.
func (l *Loop) replicateAttemptSent(requestID uint64, backend uint32) {
	if link := l.openLink(); link != nil {
		l.warnOfHandover(link.SendAttemptSent(handover.AttemptSent{RequestID: requestID, Backend: backend}))
	}
}

// replicateAttemptEnded reports the outcome of an attempt of such a request.
func (l *Loop) replicateAttemptEnded(ended policy.Outcome) {
	if link := l.openLink(); link != nil {
		l.warnOfHandover(link.SendAttemptEnded(ended))
	}
}

// replicateCostSettled reports what such a request cost beyond its estimate.
func (l *Loop) replicateCostSettled(customer uint64, extra float64) {
	if link := l.openLink(); link != nil {
		l.warnOfHandover(link.SendCostSettled(handover.CostSettled{Customer: customer, Extra: extra}))
	}
}

// openLink is the link to a successor; nil if there is none.
func (l *Loop) openLink() *handover.Link {
	if l.handover == nil || l.handover.link.IsClosed() {
		return nil
	}
	return l.handover.link
}

// warnOfHandover logs a message that could not be encoded: the successor goes on without it.
func (l *Loop) warnOfHandover(err error) {
	if err != nil {
		l.log.Warn("handover: report not sent", "error", err)
	}
}
