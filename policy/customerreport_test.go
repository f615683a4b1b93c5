package policy

import "testing"

// reportedCustomer returns gateway 0's record of a customer of three gateways, with 20 of 24 units left.
func reportedCustomer() (*customer, quotaSharing) {
	sharing := meshSharing()
	customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
	customer.bucket.level = 20
	return customer, sharing
}

func TestApplyUsageChargesBucket(t *testing.T) {
	first := usageEntry{
		consumed: packUnits(3), requested: packUnits(4), newlyRequested: packUnits(4), remaining: 0.75,
	}
	steps := []struct {
		name        string
		sender      usageSender
		entry       usageEntry
		applied     bool
		level       float64
		peersDemand float64
	}{
		{
			"first entry limits the level",
			usageSender{1, 5, true},
			first, true, 18, 4,
		},
		{
			"increased counts",
			usageSender{1, 5, true},
			usageEntry{consumed: packUnits(5), requested: packUnits(7)},
			true, 16, 7,
		},
		{
			"repeated entry",
			usageSender{1, 5, false},
			usageEntry{consumed: packUnits(5), requested: packUnits(7)},
			true, 16, 7,
		},
		{
			"entry out of order",
			usageSender{1, 5, false},
			usageEntry{consumed: packUnits(4), requested: packUnits(6)},
			false, 16, 7,
		},
		{
			"units returned, in a message out of order",
			usageSender{1, 5, false},
			usageEntry{consumed: packUnits(4), requested: packUnits(7)},
			false, 16, 7,
		},
		{
			"units returned",
			usageSender{1, 5, true},
			usageEntry{consumed: packUnits(4), requested: packUnits(7)},
			true, 17, 7,
		},
		{
			"restarted peer with a full bucket",
			usageSender{1, 6, true},
			usageEntry{remaining: 1},
			true, 17, 7,
		},
		{
			"gateway outside the replica set",
			usageSender{3, 5, true},
			usageEntry{consumed: packUnits(9)},
			false, 17, 7,
		},
	}
	customer, _ := reportedCustomer()
	sharing := newQuotaSharing(&Settings{Gateways: 5, Gossip: true, Plans: []Plan{sharedPlan()}})
	for _, step := range steps {
		if got := customer.applyUsage(0, &sharing, step.sender, &step.entry); got != step.applied {
			t.Errorf("%s: applied %t, want %t", step.name, got, step.applied)
		}
		assertNear(t, "level after "+step.name, customer.bucket.level, step.level)
		assertNear(t, "demand of peers after "+step.name, customer.demand.peerDemand(0), step.peersDemand)
	}
}

func TestApplyUsageHandlesWrappedCounts(t *testing.T) {
	customer, sharing := reportedCustomer()
	sender := usageSender{gateway: 1, incarnation: 5, newest: true}
	customer.applyUsage(0, &sharing, sender, &usageEntry{consumed: 65530, requested: 65530, remaining: 1})
	customer.applyUsage(0, &sharing, sender, &usageEntry{consumed: 2, requested: 10})
	assertNear(t, "level after 8 counts", customer.bucket.level, 19)
	assertNear(t, "demand after 16 counts", customer.demand.peerDemand(0), 2)
}

func TestApplyUsageIgnoredAtParticipant(t *testing.T) {
	sharing, set := participantSharing(t)
	customer := newCustomer(0, 0, sharing, set)
	sender := usageSender{gateway: (sharing.self + 1) % 12, incarnation: 5, newest: true}
	if customer.applyUsage(0, sharing, sender, &usageEntry{consumed: 8}) {
		t.Error("a participant applied a peer's usage")
	}
}

func TestUsageEntryReportsRemainingQuota(t *testing.T) {
	customer, sharing := reportedCustomer()
	customer.usage.customerUsage = customerUsage{consumed: 4, requested: 6, requestedReported: 5}
	customer.grant.fraction = 0.5
	entry := customer.usageEntry(&sharing, customer.usage.customerUsage)
	want := usageEntry{
		customer: 9, replicas: 3,
		consumed: packUnits(4), requested: packUnits(6), newlyRequested: packUnits(1), remaining: 20. / 24,
	}
	if entry != want {
		t.Errorf("small set: got %+v, want %+v", entry, want)
	}
	wide, set := participantSharing(t)
	customer.account = set
	if entry := customer.usageEntry(wide, customer.usage.customerUsage); entry.remaining != 0.5 {
		t.Errorf("wide set: remaining %g, want the granted fraction 0.5", entry.remaining)
	}
}

func TestReportIsDueAtCoordinatorReceiveRate(t *testing.T) {
	sharing, set := participantSharing(t)
	customer := newCustomer(0, 0, sharing, set)
	customer.markReported(second, sharing)
	next := second + sharing.receiveTime(12)
	if !customer.reportIsDue(next-1, sharing) {
		t.Error("a report without a limited grant is not due")
	}
	customer.grant.fraction = 0.5
	if customer.reportIsDue(next-1, sharing) {
		t.Error("a report under a grant is due too early")
	}
	if !customer.reportIsDue(next, sharing) {
		t.Error("a report under a grant is not due after the receive time")
	}
}

func TestMarkReportedRepeatsOnlyInSmallSets(t *testing.T) {
	wide, set := participantSharing(t)
	mesh := meshSharing()
	cases := []struct {
		name    string
		sharing *quotaSharing
		account account
		want    int
	}{{"small set", &mesh, account{id: 9, replicas: 3}, usageReportRounds - 1}, {"wide set", wide, set, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, c.sharing, c.account)
			customer.usage.scheduleReports()
			customer.markReported(0, c.sharing)
			if customer.usage.reportsLeft != c.want {
				t.Errorf("%d reports left, want %d", customer.usage.reportsLeft, c.want)
			}
		})
	}
}

func TestUsageIsAddedToSharedCounterOnce(t *testing.T) {
	customer, _ := reportedCustomer()
	customer.usage.consumed = 3
	customer.usage.scheduleReports()
	assertNear(t, "units for the counter", customer.recordCounterCall(), 3)
	if customer.counter.isIdle() || customer.usage.reportsLeft != 0 {
		t.Error("no call is pending, or the usage is to be reported again")
	}
	if units := customer.recordCounterCall(); units > 0 {
		t.Errorf("%g units for the counter a second time, want none", units)
	}
	if n := len(customer.counter.pendingCalls); n != 1 {
		t.Errorf("%d pending calls of the counter, want 1", n)
	}
}

func TestQuotaRequestEntryCountsDemandOnce(t *testing.T) {
	sharing, set := participantSharing(t)
	customer := newCustomer(0, 0, sharing, set)
	request := &request{Request: Request{Cost: 2.25}, quotaRequest: 7, coordinator: 1}
	entry := customer.quotaRequest(sharing, request, false)
	if entry.wantedHalves != 5 || entry.quotaRequest != 7 {
		t.Errorf("%d half units for quota request %d, want 5 for 7", entry.wantedHalves, entry.quotaRequest)
	}
	if entry.newlyRequested != packUnits(2.25) {
		t.Errorf("newly requested %d counts, want all of the request", entry.newlyRequested)
	}
	request.coordinator = 2
	entry = customer.quotaRequest(sharing, request, true)
	if entry.newlyRequested != 0 || entry.requested != 0 {
		t.Errorf("a repeated quota request counts as %d more, want 0", entry.newlyRequested)
	}
}

func TestAnswerQuotaRequestChecksBucketAndCeiling(t *testing.T) {
	cases := []struct {
		name                   string
		level, ceiling         float64
		approved               bool
		wantLevel, wantCeiling float64
		consumed               uint16
	}{
		{"both hold the units", 5, 4, true, 1, 0, packUnits(4)},
		{"bucket too low", 3, 4, false, 3, 4, 0},
		{"ceiling too low", 5, 3, false, 5, 3, 0},
	}
	wide := account{id: 9, replicas: 12}
	sharing := coordinatorSharing(&wide, Plan{Rate: 18, Burst: 24, CeilingRate: 24, CeilingBurst: 48})
	from := (sharing.self + 1) % 12
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, &sharing, wide)
			customer.bucket.level, customer.ceiling.level = c.level, c.ceiling
			entry := usageEntry{wantedHalves: 8, quotaRequest: 3}
			answer := customer.answerQuotaRequest(&sharing, from, &entry)
			want := grant{customer: 9, fraction: 1, quotaRequest: 3, approved: c.approved}
			if answer != want {
				t.Errorf("answer %+v, want %+v", answer, want)
			}
			assertNear(t, "bucket", customer.bucket.level, c.wantLevel)
			assertNear(t, "ceiling", customer.ceiling.level, c.wantCeiling)
			if got := customer.peerUsage(&sharing, from).consumed; got != c.consumed {
				t.Errorf("consumed by the peer: %d counts, want %d", got, c.consumed)
			}
		})
	}
}
