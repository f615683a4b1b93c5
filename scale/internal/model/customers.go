package model

import "math/rand/v2"

// Plan is a customer plan. Rates are in units per second, bursts and slack in units.
type Plan struct {
	Name                                    string
	Rate, Burst                             float64
	CeilingRate, CeilingBurst, CeilingSlack float64
}

// The plans. Customers of the team plan send far less than their plan allows, those of the capped plan more.
// The capped plan's buckets are large enough that an even share of one still holds a request if some gateways
// of a replica set are unresponsive.
var (
	TeamPlan   = Plan{Name: "team", Rate: teamRate, Burst: teamBurst}
	CappedPlan = Plan{
		Name: "capped", Rate: cappedRate, Burst: cappedBurst,
		CeilingRate: cappedCeilingRate, CeilingBurst: cappedBurst, CeilingSlack: 1,
	}
)

// The rates of the plans in units per second, and their bursts in units.
const (
	teamRate          = 60
	teamBurst         = 97
	cappedRate        = 0.6
	cappedCeilingRate = 0.8
	cappedBurst       = 4
)

const (
	// cappedShare is the fraction of requests sent by customers of the capped plan.
	cappedShare = 0.2
	// customersPerGateway is the number of customers with the same first gateway: a tier of 6,500 gateways
	// has 390,000 customers.
	customersPerGateway = 60
)

// Customer is the sender of a request. Its replica set consists of consecutive gateways, the first of which
// is FirstReplica.
type Customer struct {
	ID                     uint64
	FirstReplica, Replicas int
	Capped                 bool // whether the customer is on the capped plan
}

// Plan returns the customer's plan.
func (c Customer) Plan() Plan {
	if c.Capped {
		return CappedPlan
	}
	return TeamPlan
}

// Demand draws the senders of the requests at one gateway from the customers whose replica sets contain it. A
// customer is equally likely to use any gateway of its replica set. Demand is not safe for concurrent use.
type Demand struct {
	Gateway       int   // the gateway's number in the tier
	TierSize      int   // the number of gateways in the tier
	ReplicaCounts []int // the sizes of replica sets, one for each kind of customer
	Rand          *rand.Rand
}

// Draw returns the sender of the next request. Of the customers with the same first gateway, those with the
// lowest IDs are on the capped plan: one customer for each replica count.
func (d *Demand) Draw() Customer {
	kinds := len(d.ReplicaCounts)
	index := kinds + d.Rand.IntN(customersPerGateway-kinds)
	if d.Rand.Float64() < cappedShare {
		index = d.Rand.IntN(kinds)
	}
	replicas := d.ReplicaCounts[index%kinds]
	first := (d.Gateway - d.Rand.IntN(replicas) + d.TierSize) % d.TierSize
	return Customer{
		ID: uint64(first*customersPerGateway + index), FirstReplica: first, Replicas: replicas,
		Capped: index < kinds,
	}
}

// IsCapped reports whether the customer with the given ID is on the capped plan.
func IsCapped(id uint64, replicaCounts []int) bool {
	return id%customersPerGateway < uint64(len(replicaCounts))
}
