package policy

import "math"

// customerTable holds the records of the customers that have been active of late.
type customerTable struct {
	byID    map[uint64]*customer
	inOrder []*customer // all of byID, oldest first
	sweptAt Time        // when it was last searched for idle customers
}

func newCustomerTable() customerTable {
	return customerTable{byID: map[uint64]*customer{}}
}

// customer is what this gateway knows of one customer.
type customer struct {
	account
	inFlight        int // attempts
	lastRequestCost float64
	demandWindow    Time // the time constant of demand and peerDemand

	bucket  tokenBucket // the whole quota as far as it is known, or this gateway's share if use is not shared
	ceiling tokenBucket // this gateway's share of the ceiling

	customerUsage                  // in total, since this gateway started
	consumedReported   float64     // the part of consumed that was reported to peers or the counter
	reportsLeft        int         // gossip rounds that are still to report the use
	peers              []peerUsage // by position in the set; nil: none reported yet
	demand, peerDemand decayingSum // units requested recently: here, and at the other gateways

	// In wide replica sets.
	grantFraction      float64         // the fraction of requested units that may be granted
	grantedUnits       float64         // a participant's units under a grant below 1
	nextReportAt       Time            // when a participant under a grant reports again
	usageByCoordinator []customerUsage // a participant's, by index of the coordinator
	quotaRequests      byte            // the number of the last quota request; wraps
	advertisedGrant    float64         // a coordinator's grant as last sent to the set
	nextGrantAt        Time            // when it may be sent again

	// Where gateways share a counter.
	counterCalls []float64 // units of the calls that are not answered yet, oldest first
	counterTotal float64   // the counter's total as last answered

	// Where backends report a meter.
	meteredDemand decayingSum // units requested here, over the meter's period
	meteredShare  float64     // the quota share by the last reading; 0: no reading yet
}

// customerUsage counts the units of a customer at this gateway.
type customerUsage struct {
	consumed, requested float64
	requestedReported   float64 // the part of requested that was reported to peers
}

// peerUsage holds the wrapping counts of a customer's use that a peer last reported.
type peerUsage struct {
	known       bool
	incarnation uint32
	consumed    uint16
	requested   uint16
}

func (u *peerUsage) update(incarnation uint32, entry usageEntry) {
	u.known, u.incarnation = true, incarnation
	u.consumed, u.requested = entry.consumed, entry.requested
}

// customerRecord returns a customer's record with its buckets refilled. It makes a missing one.
func (c *Controller) customerRecord(id uint64, planIndex, firstReplica, replicas int) *customer {
	customer := c.customers.byID[id]
	if customer == nil {
		customer = c.newCustomer(id, planIndex, firstReplica, replicas)
		idle := &c.shared.idleOverflow[planIndex]
		*idle = math.Max(0, *idle-c.settings.Plans[planIndex].Rate/float64(customer.replicas))
		c.addCustomer(customer)
	}
	c.refillBuckets(customer)
	return customer
}

func (c *Controller) addCustomer(customer *customer) {
	c.customers.byID[customer.id] = customer
	c.customers.inOrder = append(c.customers.inOrder, customer)
}

// usageUnder is what was counted under the customer's coordinator of that index.
func (c *customer) usageUnder(coordinator int) *customerUsage {
	for len(c.usageByCoordinator) <= coordinator {
		c.usageByCoordinator = append(c.usageByCoordinator, customerUsage{})
	}
	return &c.usageByCoordinator[coordinator]
}

// idle reports whether nothing is lost when the record is dropped.
func (c *customer) idle(now Time) bool {
	const negligible = 0.01 // units: a decaying sum never reaches 0
	return c.demand.value(now, c.demandWindow) < negligible &&
		c.peerDemand.value(now, c.demandWindow) < negligible &&
		c.inFlight == 0 && c.reportsLeft == 0 && len(c.counterCalls) == 0 &&
		c.grantFraction == 1 && c.advertisedGrant == 1 &&
		c.bucket.level >= c.bucket.capacity && c.ceiling.level >= c.ceiling.capacity
}

// usageFrom is the record of what a gateway of the customer's set reported.
func (c *Controller) usageFrom(customer *customer, gateway int) *peerUsage {
	if customer.peers == nil {
		customer.peers = make([]peerUsage, customer.replicas)
	}
	return &customer.peers[c.sharing.position(&customer.account, gateway)]
}
