package policy

import (
	"cmp"
	"slices"
)

const gatewaysPerBackend = 24 // the gateways that prefer a backend, where handshakes have a price

// selectSubset selects the backends that this gateway prefers. Where handshakes have a price it is
// an arc of each zone's backends, in an order that all gateways share, so that each backend is
// preferred by as many gateways as any other. Otherwise it is all of them.
func (t *backendTable) selectSubset(self, gateways int, handshakePrice float64) {
	zones := map[int][]*backend{}
	for _, backend := range t.inOrder {
		backend.inSubset = handshakePrice <= 0
		if backend.ready() {
			zones[backend.Zone] = append(zones[backend.Zone], backend)
		}
	}
	position := self * arcStep(gateways) % gateways
	const multiplier = 0x9E3779B1 // spreads consecutive ids
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

// The step between the arcs of neighbours, as a part of all gateways: near the golden ratio, whose multiples
// are spread evenly.
const (
	arcStepNumerator   = 5
	arcStepDenominator = 8
)

// arcStep is the distance between the arcs of two neighbours, in arcs. Neighbours serve the same
// customers, so it is large; it has no common divisor with the number of gateways.
func arcStep(gateways int) int {
	step := gateways*arcStepNumerator/arcStepDenominator | 1
	for greatestCommonDivisor(step, gateways) > 1 {
		step += 2
	}
	return step
}
