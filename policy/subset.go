package policy

import (
	"cmp"
	"slices"
)

const gatewaysPerBackend = 24 // if handshakes have a price, this many gateways prefer each backend

// selectSubset selects the backends that this gateway prefers. If handshakes have a price, the subset is an
// arc of the backends of each zone, in an order that is the same at all gateways, so that each backend is
// preferred by about as many gateways as any other. Otherwise the subset has all backends.
func (t *backendTable) selectSubset(self, gateways int, handshakePrice float64) {
	zones := map[int][]*backend{}
	for _, backend := range t.inOrder {
		backend.inSubset = handshakePrice <= 0
		if backend.isReady() {
			zones[backend.Zone] = append(zones[backend.Zone], backend)
		}
	}
	position := self * arcStep(gateways) % gateways
	const multiplier = 0x9E3779B1 // spreads consecutive IDs
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b *backend) int {
			return cmp.Or(cmp.Compare(a.ID*multiplier, b.ID*multiplier), cmp.Compare(a.ID, b.ID))
		})
		first := position * len(zone) / gateways
		length := (gatewaysPerBackend*len(zone) + gateways - 1) / gateways
		for i := range min(length, len(zone)) {
			zone[(first+i)%len(zone)].inSubset = true
		}
	}
}

// The step between the arcs of neighbouring gateways, as a fraction of the number of gateways. It is near the
// golden ratio, whose multiples are spread evenly.
const (
	arcStepNumerator   = 5
	arcStepDenominator = 8
)

// arcStep returns the distance between the arcs of two neighbouring gateways, in arcs. It is large because
// neighbours serve the same customers, and coprime to the number of gateways so that all arcs are used.
func arcStep(gateways int) int {
	step := gateways*arcStepNumerator/arcStepDenominator | 1
	for greatestCommonDivisor(step, gateways) > 1 {
		step += 2
	}
	return step
}
