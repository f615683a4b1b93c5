package main

import (
	"fmt"
	"strings"
	"time"
)

// Limits of the promises to clients.
const (
	socketSlack      = 50 * time.Millisecond
	finalAnswerSlack = 500 * time.Millisecond
	timeoutSlack     = 150 * time.Millisecond
	// unreadBeforeClose is how long before a close a request may be sent so that the gateway has not read it.
	unreadBeforeClose = 100 * time.Millisecond
	// maxReadPause is the longest time for which clients do not read.
	maxReadPause = 1200 * time.Millisecond
)

// soakCounts counts what happened to requests.
type soakCounts struct {
	requests, served, rejected, failed, departed, excused, attempts int
}

// check checks all requests. The clients must have ended.
func (s *soak) check() {
	calls := s.history.byID()
	var counts soakCounts
	deliveries := map[string][]*soakRequest{}
	for _, c := range s.clients {
		c.mu.Lock()
		for _, r := range c.requests {
			deliveries[r.id] = append(deliveries[r.id], r)
		}
		c.mu.Unlock()
	}
	for id, requests := range deliveries {
		counts.attempts += len(calls[id])
		s.checkRuns(requests, calls[id])
		for _, call := range calls[id] {
			s.checkCall(requests, call)
		}
	}
	for _, c := range s.clients {
		s.checkAnswers(c, calls, &counts)
	}
	s.t.Logf("%+v", counts)
}

// checkRuns checks how often a request has run.
func (s *soak) checkRuns(deliveries []*soakRequest, calls []soakCall) {
	ran, first := 0, deliveries[0]
	for _, call := range calls {
		if call.outcome == soakRan {
			ran++
		}
	}
	if first.class == soakClassUnsafe && ran > 1 {
		s.t.Errorf("request %s must not run twice, and ran %d times", first.id, ran)
	}
	for _, r := range deliveries {
		for _, call := range calls {
			ranBefore := call.outcome == soakRan && call.firstByteAt.Before(r.answeredAt)
			if first.class == soakClassUnsafe && r.isRejected() && ranBefore {
				s.t.Errorf("request %s was rejected, and ran: %s", r.id, describeCalls(r, calls))
			}
		}
	}
}

// checkCall checks that a client of the request was connected when an attempt began, and that the attempt
// does not wait for longer than the client.
func (s *soak) checkCall(deliveries []*soakRequest, call soakCall) {
	var late time.Duration
	for _, r := range deliveries {
		r.client.mu.Lock()
		closedAt, sentAt := r.client.closedAt, r.sentAt
		r.client.mu.Unlock()
		if closedAt.IsZero() || call.firstByteAt.Sub(closedAt) <= maxAttemptDelay {
			left := r.timeout - call.firstByteAt.Sub(sentAt)
			if !sentAt.IsZero() && !r.repeated && len(deliveries) == 1 && call.timeout > left+timeoutSlack {
				s.t.Errorf("request %s: an attempt waits for %v, its client for %v; %s",
					r.id, call.timeout, left, describePipeline(r, call.firstByteAt))
			}
			return
		}
		late = call.firstByteAt.Sub(closedAt)
	}
	s.t.Errorf("request %s: an attempt began %v after its client had left", call.id, late)
}

// checkAnswers checks the answers on a connection.
func (s *soak) checkAnswers(c *soakClient, calls map[string][]soakCall, counts *soakCounts) {
	var previous time.Time // when the answer before arrived
	for _, r := range c.requests {
		counts.requests++
		if r.answer == "" {
			s.checkUnanswered(c, r, calls[r.id], counts)
			continue
		}
		s.countAnswer(r, counts)
		due := r.sentAt.Add(r.timeout + finalAnswerSlack + socketSlack)
		if !c.pausedTo.IsZero() && r.sentAt.Before(c.pausedTo) {
			due = due.Add(maxReadPause) // its answer may have waited for the client
		}
		// A value that was begun in time may be whole later, if its backend writes it slowly.
		answeredAt := r.answeredAt
		if strings.HasPrefix(r.id, slowValuePrefix) {
			answeredAt = r.beganAt
		}
		if late := answeredAt.Sub(due); late > 0 && answeredAt.Sub(previous) > finalAnswerSlack {
			s.t.Errorf("request %s: the answer %.20q came %v too late", r.id, r.answer, late)
		}
		previous = r.answeredAt
	}
}

// countAnswer counts an answer by its kind, which it checks.
func (s *soak) countAnswer(r *soakRequest, counts *soakCounts) {
	switch {
	case r.isServed():
		counts.served++
	case r.isRejected():
		counts.rejected++
	case strings.HasPrefix(r.answer, "-ERR"):
		counts.failed++
	default:
		s.t.Errorf("request %s got the answer %.40q", r.id, r.answer)
	}
}

// checkUnanswered checks that a request may have no answer.
func (s *soak) checkUnanswered(c *soakClient, r *soakRequest, calls []soakCall, counts *soakCounts) {
	switch {
	case !c.closedAt.IsZero():
		counts.departed++
	case s.isExcused(c, r, calls):
		counts.excused++
	default:
		s.t.Errorf("request %s of class %s (d=%v) got no answer: sent %v before the connection ended, "+
			"%v after SIGTERM, %d attempts",
			r.id, r.class, r.timeout, c.sawCloseAfter(r.sentAt), r.sentAt.Sub(s.signalled), len(calls))
	}
}

// isExcused reports whether a request may have no answer.
func (s *soak) isExcused(c *soakClient, r *soakRequest, calls []soakCall) bool {
	switch {
	case r.sentAt.IsZero():
		return true // its last byte was not written
	case len(calls) == 0 && !c.endedAt.IsZero() && c.sawCloseAfter(r.sentAt) < unreadBeforeClose:
		return true // the close has crossed it, and the gateway has not read it
	case !s.signalled.IsZero() && r.sentAt.Sub(s.signalled) > soakKillExcused:
		return !c.endedAt.Before(s.killed.Add(-socketSlack)) // SIGKILL found it unanswered
	}
	return false
}

// describeCalls describes the attempts of a request, with times since it was sent.
func describeCalls(r *soakRequest, calls []soakCall) string {
	var text strings.Builder
	for _, call := range calls {
		fmt.Fprintf(&text, "attempt from %v to %v, d=%v, outcome %d; ",
			call.firstByteAt.Sub(r.sentAt), call.wholeAt.Sub(r.sentAt), call.timeout, call.outcome)
	}
	return text.String()
}

// describePipeline describes the requests of a connection up to the given one, relative to a time.
func describePipeline(last *soakRequest, at time.Time) string {
	var text strings.Builder
	for _, r := range last.client.requests {
		fmt.Fprintf(&text, "%s body %d sent %v answered %v; ",
			r.id[12:], r.bodySize, r.sentAt.Sub(at), r.answeredAt.Sub(at))
		if r == last {
			break
		}
	}
	return text.String()
}
