package model

import "math/rand/v2"

// Plan is what customers of one kind have bought, in units and units per second.
type Plan struct {
	Name                                    string
	Rate, Burst                             float64
	CeilingRate, CeilingBurst, CeilingSlack float64
}

// The plans. Most customers ask for far less than their plan allows, those of the capped plan for more. The
// capped plan's buckets are so large that an even share of them still holds a request where some gateways of
// a replica set are silent.
var (
	TeamPlan   = Plan{Name: "team", Rate: teamRate, Burst: teamBurst}
	CappedPlan = Plan{
		Name: "capped", Rate: cappedRate, Burst: cappedBurst,
		CeilingRate: cappedCeilingRate, CeilingBurst: cappedBurst, CeilingSlack: 1,
	}
)

// What the plans grant, in units and units per second.
const (
	teamRate          = 60
	teamBurst         = 97
	cappedRate        = 0.6
	cappedCeilingRate = 0.8
	cappedBurst       = 4
)

const (
	// cappedShare is the part of the requests that customers of the capped plan send.
	cappedShare = 0.2
	// customersPerGateway is how many customers have the same first gateway: 390,000 customers in a tier of
	// 6,500.
	customersPerGateway = 60
)

// Customer is who sends a request. Its replica set is a row of gateways.
type Customer struct {
	ID                     uint64
	FirstReplica, Replicas int
	Capped                 bool // on the capped plan
}

// Plan returns the customer's plan.
func (c Customer) Plan() Plan {
	if c.Capped {
		return CappedPlan
	}
	return TeamPlan
}

// Demand draws the senders of the requests that reach one gateway: customers whose replica sets hold it, each
// of which is as likely to call at any gateway of its set. It is not safe for concurrent use.
type Demand struct {
	Gateway       int   // the gateway's number in the tier
	TierSize      int   // gateways in the tier
	ReplicaCounts []int // one for each kind of customer
	Rand          *rand.Rand
}

// Draw returns the sender of the next request. The first few of the customers with the same first gateway,
// one for each replica count, are on the capped plan.
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

// IsCapped reports whether the customer with an ID is on the capped plan.
func IsCapped(id uint64, replicaCounts []int) bool {
	return id%customersPerGateway < uint64(len(replicaCounts))
}
