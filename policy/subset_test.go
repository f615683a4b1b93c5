package policy

import "testing"

// subsetOf returns the IDs of the backends that one of the given number of gateways prefers.
func subsetOf(backends, self, gateways int, handshakePrice float64) map[uint32]bool {
	table, _, _ := testTable(endpoints(backends))
	table.selectSubset(self, gateways, handshakePrice)
	preferred := map[uint32]bool{}
	for _, backend := range table.inOrder {
		if backend.inSubset {
			preferred[backend.ID] = true
		}
	}
	return preferred
}

func TestSubsetHasAllBackendsIfHandshakesAreFree(t *testing.T) {
	if got := len(subsetOf(50, 3, 100, 0)); got != 50 {
		t.Errorf("subset has %d of 50 backends, want all", got)
	}
}

func TestSubsetsPreferEachBackendAtEqualNumbersOfGateways(t *testing.T) {
	const backends, gateways = 50, 100
	preferring := map[uint32]int{}
	for self := range gateways {
		for id := range subsetOf(backends, self, gateways, 0.1) {
			preferring[id]++
		}
	}
	for id := uint32(1); id <= backends; id++ {
		if got := preferring[id]; got < gatewaysPerBackend-2 || got > gatewaysPerBackend+2 {
			t.Errorf("backend %d is preferred by %d gateways, want about %d", id, got, gatewaysPerBackend)
		}
	}
}

func TestSubsetExcludesBackendsThatAreNotReady(t *testing.T) {
	table, _, _ := testTable(endpoints(4))
	table.byID[2].update(Endpoint{ID: 2, State: EndpointDraining})
	table.selectSubset(0, 1, 0.1)
	for id, backend := range table.byID {
		if want := id != 2; backend.inSubset != want {
			t.Errorf("backend %d: in the subset %t, want %t", id, backend.inSubset, want)
		}
	}
}

func TestArcStepIsCoprimeToGateways(t *testing.T) {
	for gateways := 1; gateways < 500; gateways++ {
		step := arcStep(gateways)
		if greatestCommonDivisor(step, gateways) != 1 {
			t.Errorf("step %d has a common divisor with %d gateways", step, gateways)
		}
	}
}
