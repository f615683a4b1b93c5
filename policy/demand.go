package policy

const minDemand = 1e-9 // in units; a demand counts as at least this, which keeps ratios finite

// customerDemand counts the units recently requested for a customer, at this gateway and at the other
// gateways of its replica set. The window is the time constant of both sums.
type customerDemand struct {
	window     Time
	own, peers decayingSum
}

func (d *customerDemand) addOwn(now Time, units float64) { d.own.add(now, d.window, units) }

func (d *customerDemand) addPeers(now Time, units float64) { d.peers.add(now, d.window, units) }

// ownDemand returns the demand at this gateway.
func (d *customerDemand) ownDemand(now Time) float64 { return d.own.value(now, d.window) }

// peerDemand returns the demand that the other gateways have reported.
func (d *customerDemand) peerDemand(now Time) float64 { return d.peers.value(now, d.window) }

func (d *customerDemand) total(now Time) float64 { return d.ownDemand(now) + d.peerDemand(now) }

// isNegligible reports whether the demand is close to zero, which a decaying sum never reaches.
func (d *customerDemand) isNegligible(now Time) bool {
	const negligible = 0.01 // units
	return d.ownDemand(now) < negligible && d.peerDemand(now) < negligible
}
