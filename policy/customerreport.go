package policy

import "math"

const maxUsageIncrease = math.MaxUint16 / 2 // a larger step of a wrapping usage count is a step back

// usageEntry is the entry that reports the given use of the customer to peers.
func (c *customer) usageEntry(sharing *quotaSharing, usage customerUsage) usageEntry {
	remaining := c.bucket.level / math.Max(c.bucket.capacity, minDemand)
	if sharing.isWide(&c.account) {
		remaining = c.grant.fraction
	}
	return usageEntry{
		customer: c.id, plan: c.plan,
		firstReplica: c.firstReplica, replicas: c.replicas,
		consumed: packUnits(usage.consumed), requested: packUnits(usage.requested),
		newlyRequested: packUnits(usage.requested - usage.requestedReported), remaining: remaining,
	}
}

// reportIsDue reports whether a round is to report the use now: a participant under a grant reports no more
// often than its coordinator can receive.
func (c *customer) reportIsDue(now Time, sharing *quotaSharing) bool {
	return now >= c.grant.nextReportAt || !c.grant.isLimited() || !sharing.isParticipant(&c.account)
}

// reported notes that a round has reported the use to all receivers.
func (c *customer) markReported(now Time, sharing *quotaSharing) {
	c.usage.markReported(!sharing.isWide(&c.account))
	c.grant.nextReportAt = now + sharing.receiveTime(c.replicas)
}

// countUsage returns the units to add to the shared counter, 0 if none, and notes the call that adds them.
func (c *customer) startCounterCall() (units float64) {
	if units = c.usage.unreported(); units > 0 {
		c.counter.recordCall(units)
	}
	c.usage.markCounted()
	c.usage.reportsLeft = 0
	return units
}

// applyUsage applies a peer's usage entry to the bucket and reports whether it did: an entry that arrived out
// of order, or that is not for this gateway, is ignored.
func (c *customer) applyUsage(now Time, sharing *quotaSharing, sender usageSender, entry *usageEntry) bool {
	if !sharing.isReplica(&c.account, sender.gateway) || sharing.isParticipant(&c.account) {
		return false
	}
	last := c.peerUsage(sharing, sender.gateway)
	isWide := sharing.isWide(&c.account)
	if !last.known || last.incarnation != sender.incarnation {
		c.applyFirstUsage(now, isWide, entry)
	} else if !c.applyIncrease(now, isWide, last, entry, sender.newest) {
		return false
	}
	last.update(sender.incarnation, entry)
	return true
}

// usageSender is the peer that sent a usage entry.
type usageSender struct {
	gateway     int
	incarnation uint32
	newest      bool // the entry's message is the newest one of the peer so far
}

// peerUsage is what a gateway of the replica set last reported.
func (c *customer) peerUsage(sharing *quotaSharing, gateway int) *peerUsage {
	return c.usage.peer(sharing.position(&c.account, gateway), c.replicas)
}

// applyFirstUsage applies the first entry of a peer's incarnation. There is no earlier count to
// subtract: what the peer believes to be left bounds the level.
func (c *customer) applyFirstUsage(now Time, isWide bool, entry *usageEntry) {
	remaining := entry.remaining*c.bucket.capacity - c.usage.unreported()
	if isWide && entry.remaining == 1 {
		remaining = c.bucket.level - unpackUnits(min(entry.consumed, entry.newlyRequested))
	}
	c.bucket.level = math.Max(0, math.Min(c.bucket.level, remaining))
	c.demand.addPeers(now, unpackUnits(entry.newlyRequested))
}

// applyIncrease applies what a peer has consumed and requested since its last entry. It
// returns false for an entry that arrived out of order. Consumed units may also have been returned.
func (c *customer) applyIncrease(
	now Time, isWide bool, last *peerUsage, entry *usageEntry, newest bool,
) bool {
	consumed, requested := entry.consumed-last.consumed, entry.requested-last.requested
	returned := consumed > maxUsageIncrease
	if requested > maxUsageIncrease || returned && entry.wantedHalves == 0 && (isWide || !newest) {
		return false
	}
	if returned && isWide {
		consumed, entry.consumed = 0, last.consumed // granted units that it did not use
	}
	c.chargePeerUsage(float64(int16(consumed)) / countsPerUnit)
	c.demand.addPeers(now, unpackUnits(requested))
	return true
}

// quotaRequest is the entry that asks a request's coordinator for its units. The demand of a request that
// asks again is counted once.
func (c *customer) quotaRequestEntry(sharing *quotaSharing, request *request, isRepeated bool) usageEntry {
	usage := c.usage.forCoordinator(request.coordinator)
	if !isRepeated {
		usage.requested += request.Cost
	}
	entry := c.usageEntry(sharing, *usage)
	entry.wantedHalves = byte(min(math.MaxUint8, math.Ceil(halvesPerUnit*request.Cost)))
	entry.quotaRequest = request.quotaRequest
	usage.requestedReported = usage.requested
	return entry
}

// answerQuotaRequest has a coordinator grant the units that an entry asks for if the buckets hold them.
func (c *customer) answerQuotaRequest(sharing *quotaSharing, from int, entry *usageEntry) grant {
	units := float64(entry.wantedHalves) / halvesPerUnit
	hasCeiling := sharing.plan(&c.account).CeilingRate > 0 && sharing.requiresGrant(&c.account)
	answer := grant{customer: c.id, fraction: c.grant.fraction, quotaRequest: entry.quotaRequest}
	answer.approved = c.bucket.level >= units && (!hasCeiling || c.ceiling.level >= units)
	if answer.approved {
		c.bucket.level -= units
		if hasCeiling {
			c.ceiling.level -= units
		}
		c.peerUsage(sharing, from).consumed += packUnits(units)
	}
	return answer
}
