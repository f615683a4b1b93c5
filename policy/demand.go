package policy

const minDemand = 1e-9 // units: keeps ratios of demands finite

// customerDemand is how many units were requested of late for a customer, here and at the other gateways of
// its replica set. Both sums have the window as their time constant.
type customerDemand struct {
	window     Time
	own, peers decayingSum
}

func (d *customerDemand) addOwn(now Time, units float64) { d.own.add(now, d.window, units) }

func (d *customerDemand) addPeers(now Time, units float64) { d.peers.add(now, d.window, units) }

// atOwn is the demand at this gateway.
func (d *customerDemand) ownDemand(now Time) float64 { return d.own.value(now, d.window) }

// atPeers is the demand at the other gateways, as far as they reported it.
func (d *customerDemand) peerDemand(now Time) float64 { return d.peers.value(now, d.window) }

func (d *customerDemand) total(now Time) float64 { return d.ownDemand(now) + d.peerDemand(now) }

// isNegligible reports whether hardly anything was requested: a decaying sum never reaches 0.
func (d *customerDemand) isNegligible(now Time) bool {
	const negligible = 0.01 // units
	return d.ownDemand(now) < negligible && d.peerDemand(now) < negligible
}
