package policy

import (
	"math/rand/v2"
	"slices"
)

const (
	quotaRequestTimeoutShare = 0.1    // a quota request may take this part of the shortest latency objective
	maxWaitDivisor           = 2      // and at most 1/maxWaitDivisor of the client's timeout
	unresponsiveTime         = second // a coordinator that did not answer is avoided for this time
)

// quotaRequests holds the requests of clients for which this gateway has asked a coordinator for quota and
// has no answer yet, and records which coordinators did not answer in time.
type quotaRequests struct {
	pending        []*request // oldest first
	unresponsiveAt []Time     // by gateway: when a quota request to it last timed out
}

func newQuotaRequests(gateways int) quotaRequests {
	return quotaRequests{unresponsiveAt: make([]Time, gateways)}
}

// add holds a request until its quota request is answered or its grant deadline passes.
func (q *quotaRequests) add(request *request) { q.pending = append(q.pending, request) }

// removeOpen removes all requests, and returns those that are still open.
func (q *quotaRequests) removeOpen(open map[uint64]*request) []*request {
	q.dropClosed(open)
	waiting := q.pending
	q.pending = nil
	return waiting
}

// dropClosed removes the requests that ended while they waited.
func (q *quotaRequests) dropClosed(open map[uint64]*request) {
	q.pending = slices.DeleteFunc(q.pending, func(request *request) bool {
		return open[request.ID] != request
	})
}

// pickCoordinator picks at random which of an account's coordinators a request asks, and returns its index.
// This gateway may be one of them. Unless there is no other, pickCoordinator avoids the coordinator that the
// request asked before and those that were recently unresponsive. The index is 0 if requests of the account
// require no grant.
func (q *quotaRequests) pickCoordinator(
	now Time, sharing *quotaSharing, account *account, request *request, random *rand.Rand,
) int {
	if !sharing.requiresGrant(account) {
		return 0
	}
	count := sharing.coordinatorCount(account)
	first := random.IntN(count)
	if request.quotaRequestsSent > 0 && count > 1 {
		first = (request.coordinator + 1 + random.IntN(count-1)) % count
	}
	for i := range count {
		candidate := (first + i) % count
		unresponsiveAt := q.unresponsiveAt[sharing.coordinator(account, candidate)]
		isOther := request.quotaRequestsSent == 0 || candidate != request.coordinator
		if isOther && now-unresponsiveAt > unresponsiveTime {
			return candidate
		}
	}
	return first
}

// quotaResult is the result of a quota request.
type quotaResult uint8

const (
	quotaApproved   quotaResult = iota // the coordinator granted the units
	quotaDenied                        // the coordinator did not grant the units
	quotaUnanswered                    // timed out: the units left under the last grant decide
	quotaRetry                         // timed out: another coordinator is asked, once
)

// endedQuotaRequest is a request that no longer waits for a coordinator.
type endedQuotaRequest struct {
	request *request
	result  quotaResult
}

// removeEnded removes and returns the requests that an answer is for, and those whose quota request has timed
// out. The customer is nil if there is no answer. The requests keep their order, except that those that ask
// another coordinator come last.
func (q *quotaRequests) removeEnded(
	now Time, sharing *quotaSharing, customer *customer, answer grant,
) []endedQuotaRequest {
	var ended, retries []endedQuotaRequest
	q.pending = slices.DeleteFunc(q.pending, func(request *request) bool {
		result, isEnded := q.resultOf(now, sharing, request, customer, answer)
		switch {
		case result == quotaRetry:
			retries = append(retries, endedQuotaRequest{request, result})
		case isEnded:
			ended = append(ended, endedQuotaRequest{request, result})
		}
		return isEnded
	})
	return append(ended, retries...)
}

// resultOf returns the result of a request's quota request, and whether it has ended. It records coordinators
// that did not answer in time.
func (q *quotaRequests) resultOf(
	now Time, sharing *quotaSharing, request *request, customer *customer, answer grant,
) (result quotaResult, ended bool) {
	account := &request.customer.account
	switch {
	case request.customer == customer && request.quotaRequest == answer.quotaRequest && answer.approved:
		return quotaApproved, true
	case request.customer == customer && request.quotaRequest == answer.quotaRequest:
		return quotaDenied, true
	case now < request.grantDeadline:
		return quotaUnanswered, false
	}
	q.unresponsiveAt[sharing.coordinator(account, request.coordinator)] = now
	hasOther := sharing.requiresGrant(account) && sharing.coordinatorCount(account) > 1
	if request.quotaRequestsSent == 1 && hasOther {
		return quotaRetry, true
	}
	return quotaUnanswered, true
}
