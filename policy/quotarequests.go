package policy

import (
	"math/rand/v2"
	"slices"
)

const (
	quotaRequestTimeoutShare = 0.1    // in shortest latency objectives,
	maxWaitDivisor           = 2      // and at most the part, 1/n, of the time for which the client waits
	unresponsiveTime         = second // for which a coordinator that did not answer is avoided
)

// quotaRequests are the requests of this gateway that wait for a coordinator's answer to a quota request, and
// which coordinators left one unanswered.
type quotaRequests struct {
	pending        []*request // oldest first
	unresponsiveAt []Time     // by gateway: when it last left a quota request unanswered
}

func newQuotaRequests(gateways int) quotaRequests {
	return quotaRequests{unresponsiveAt: make([]Time, gateways)}
}

// add has a request wait for an answer until its grant deadline.
func (g *quotaRequests) add(request *request) { g.pending = append(g.pending, request) }

// takeOpen removes all requests, and returns those that are still open.
func (g *quotaRequests) removeOpen(open map[uint64]*request) []*request {
	g.dropClosed(open)
	waiting := g.pending
	g.pending = nil
	return waiting
}

// dropClosed drops the requests that ended while they waited.
func (g *quotaRequests) dropClosed(open map[uint64]*request) {
	g.pending = slices.DeleteFunc(g.pending, func(request *request) bool {
		return open[request.ID] != request
	})
}

// pickCoordinator draws which of an account's coordinators a request asks, by index, also at a coordinator:
// another one than it asked before, and none that was recently unresponsive if there is another.
func (g *quotaRequests) pickCoordinator(
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
		unresponsiveAt := g.unresponsiveAt[sharing.coordinator(account, candidate)]
		isOther := request.quotaRequestsSent == 0 || candidate != request.coordinator
		if isOther && now-unresponsiveAt > unresponsiveTime {
			return candidate
		}
	}
	return first
}

// quotaResult says how a quota request ended.
type quotaResult uint8

const (
	quotaApproved   quotaResult = iota // the coordinator granted the units
	quotaDenied                        // it did not
	quotaUnanswered                    // it did not answer in time: what the last grant left decides
	quotaRetry                         // it did not answer in time: another one is to be asked, once
)

// endedQuotaRequest is a request that waits no more.
type endedQuotaRequest struct {
	request *request
	result  quotaResult
}

// answered removes the requests of a customer that an answer is for, nil if there is none, and those whose
// answer is overdue. It returns them in their order, but those that are to be asked again last.
func (g *quotaRequests) removeEnded(
	now Time, sharing *quotaSharing, customer *customer, answer grant,
) []endedQuotaRequest {
	var ended, retries []endedQuotaRequest
	g.pending = slices.DeleteFunc(g.pending, func(request *request) bool {
		result, isEnded := g.resultOf(now, sharing, request, customer, answer)
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

// resultOf is how a request's quota request has ended, if it has. It notes coordinators that did not answer.
func (g *quotaRequests) resultOf(
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
	g.unresponsiveAt[sharing.coordinator(account, request.coordinator)] = now
	hasOther := sharing.requiresGrant(account) && sharing.coordinatorCount(account) > 1
	if request.quotaRequestsSent == 1 && hasOther {
		return quotaRetry, true
	}
	return quotaUnanswered, true
}
