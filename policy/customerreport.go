package policy

import "math"

const maxUsageIncrease = math.MaxUint16 / 2 // a 16-bit count that grew by more has in fact decreased

// usageEntry returns the entry that reports the given usage of the customer to peers.
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

// reportIsDue reports whether a gossip round at the given time includes the customer's usage. While a grant
// limits a participant, it reports no more often than its coordinator can receive the reports of the set.
func (c *customer) reportIsDue(now Time, sharing *quotaSharing) bool {
	return now >= c.grant.nextReportAt || !c.grant.isLimited() || !sharing.isParticipant(&c.account)
}

// markReported records that a gossip round has reported the usage to all receivers.
func (c *customer) markReported(now Time, sharing *quotaSharing) {
	c.usage.markReported(!sharing.isWide(&c.account))
	c.grant.nextReportAt = now + sharing.receiveTime(c.replicas)
}

// recordCounterCall returns the unreported units, which the caller adds to the shared counter, and records
// that call. If there are none, it returns zero and records no call.
func (c *customer) recordCounterCall() (units float64) {
	if units = c.usage.unreported(); units > 0 {
		c.counter.recordCall(units)
	}
	c.usage.markCounted()
	c.usage.reportsLeft = 0
	return units
}

// applyUsage applies a peer's usage entry to the bucket and the demand. It returns false for an entry that it
// ignores, because the entry arrived out of order or is not for this gateway.
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

// usageSender describes the sender of a usage entry, and whether the entry is current.
type usageSender struct {
	gateway     int
	incarnation uint32
	newest      bool // the entry's message is the newest one received from the peer
}

// peerUsage returns the usage that a gateway of the replica set last reported.
func (c *customer) peerUsage(sharing *quotaSharing, gateway int) *peerUsage {
	return c.usage.peer(sharing.position(&c.account, gateway), c.replicas)
}

// applyFirstUsage applies the first entry of a peer's incarnation. There is no earlier count to subtract, so
// the remaining quota that the peer reports limits the level of the bucket. Only the newly requested units
// count as demand.
func (c *customer) applyFirstUsage(now Time, isWide bool, entry *usageEntry) {
	remaining := entry.remaining*c.bucket.capacity - c.usage.unreported()
	// In a wide set the peer reports its granted fraction. A fraction of 1, which means no limit, says
	// nothing about the quota, so the units that the peer may have used since its last report are charged.
	if isWide && entry.remaining == 1 {
		remaining = c.bucket.level - unpackUnits(min(entry.consumed, entry.newlyRequested))
	}
	c.bucket.level = math.Max(0, math.Min(c.bucket.level, remaining))
	c.demand.addPeers(now, unpackUnits(entry.newlyRequested))
}

// applyIncrease applies the units that a peer has consumed and requested since its last entry. It returns
// false for an entry that arrived out of order. The consumed count also decreases when units are returned. In
// a wide set, returned units are not credited, and applyIncrease resets entry.consumed to the last count.
func (c *customer) applyIncrease(
	now Time, isWide bool, last *peerUsage, entry *usageEntry, newest bool,
) bool {
	consumed, requested := entry.consumed-last.consumed, entry.requested-last.requested
	returned := consumed > maxUsageIncrease
	// An entry with a lower count is out of order. The exceptions are consumed units that were returned, as
	// reported by a quota request or, in a small set, by the newest message.
	if requested > maxUsageIncrease || returned && entry.wantedHalves == 0 && (isWide || !newest) {
		return false
	}
	if returned && isWide {
		consumed, entry.consumed = 0, last.consumed // the peer did not use all units granted to it
	}
	c.chargePeerUsage(float64(int16(consumed)) / countsPerUnit)
	c.demand.addPeers(now, unpackUnits(requested))
	return true
}

// quotaRequest returns the entry that asks the coordinator of a request for the request's units. The demand
// is counted once, even if the request asks a second coordinator.
func (c *customer) quotaRequest(sharing *quotaSharing, request *request, isRepeated bool) usageEntry {
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

// answerQuotaRequest returns a coordinator's answer to the quota request of an entry. It grants the units if
// the buckets hold them. Granted units are charged at once, and counted as consumed by the sender, so that
// the sender's next report does not charge them again.
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
