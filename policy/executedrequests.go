package policy

import (
	"cmp"
	"maps"
	"slices"
)

// executedRetention is the minimum time for which an ID is retained. It is longer than clients wait for an
// answer, because a client sends a request again while it waits.
const executedRetention = 15 * second

// executedRequests holds the IDs, as given by clients, of recent requests that may have run and must not run
// again at will. It is a set in two generations: an ID is added to the newer one, and the older one is
// dropped when the newer one is executedRetention old.
type executedRequests struct {
	newer, older map[uint64]Time // when the first attempt of the request was sent
	rotatedAt    Time
}

func newExecutedRequests() executedRequests {
	return executedRequests{newer: map[uint64]Time{}, older: map[uint64]Time{}}
}

// add records that an attempt of a request is sent.
func (e *executedRequests) add(now Time, id uint64) {
	if now-e.rotatedAt >= executedRetention {
		e.older, e.newer = e.newer, map[uint64]Time{}
		e.rotatedAt = now
	}
	if _, isKnown := e.sentAt(id); !isKnown {
		e.newer[id] = now
	}
}

// remove records that no attempt of a request has run, the first of which was sent at the given time. It has
// no effect if an earlier request had the same ID, because that may have run.
func (e *executedRequests) remove(sentAt Time, id uint64) {
	if recorded, isKnown := e.sentAt(id); isKnown && recorded == sentAt {
		delete(e.newer, id)
		delete(e.older, id)
	}
}

// sentAt returns when the first attempt of a request was sent, if the request may have run.
func (e *executedRequests) sentAt(id uint64) (at Time, mayHaveRun bool) {
	if at, mayHaveRun = e.newer[id]; mayHaveRun {
		return at, true
	}
	at, mayHaveRun = e.older[id]
	return at, mayHaveRun
}

// exportState returns all IDs with their times, ordered by ID.
func (e *executedRequests) exportState() (ids []uint64, sentAt []Time) {
	all := maps.Clone(e.older)
	maps.Copy(all, e.newer)
	ids = slices.SortedFunc(maps.Keys(all), cmp.Compare)
	for _, id := range ids {
		sentAt = append(sentAt, all[id])
	}
	return ids, sentAt
}

// importState adds the IDs of a predecessor. It ignores lists of different lengths.
func (e *executedRequests) importState(now Time, ids []uint64, sentAt []Time) {
	if len(ids) != len(sentAt) {
		return
	}
	e.rotatedAt = now
	for i, id := range ids {
		e.newer[id] = sentAt[i]
	}
}

// MayRunAgain reports whether a request of a class with the given client's ID may be decided on. It may not
// if a request with this ID may have run before, and running it again could have an effect: it must then be
// answered with an error that does not say whether it ran.
func (c *Controller) MayRunAgain(now Time, class int, clientRequestID uint64) bool {
	c.advanceClock(now)
	if !hasIndex(c.settings.Classes, class) {
		return true
	}
	sentAt, mayHaveRun := c.executed.sentAt(clientRequestID)
	if !mayHaveRun {
		return true
	}
	earlier := []*attempt{{sentAt: sentAt, mayHaveRun: true}}
	rule := c.settings.retryRuleAfter(class, earlier, c.clock.now)
	if rule.allowed && rule.rejectable {
		return true
	}
	c.counters.repeatedIDs++
	return false
}

// recordExecution records that an attempt of a request is sent, unless the request may run any number of
// times.
func (c *Controller) recordExecution(request *request) {
	if c.settings.Classes[request.Class].Idempotency != Idempotent {
		c.executed.add(c.clock.now, request.ClientRequestID)
	}
}

// removeRequest removes a request that has ended. If no attempt of it has run, a request with the same ID may
// run.
func (c *Controller) removeRequest(request *request) {
	c.requests.remove(request.ID)
	mayHaveRun := func(attempt *attempt) bool { return attempt.mayHaveRun }
	if len(request.attempts) > 0 && !slices.ContainsFunc(request.attempts, mayHaveRun) {
		c.executed.remove(request.attempts[0].sentAt, request.ClientRequestID)
	}
}
