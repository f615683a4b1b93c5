package policy

import (
	"math"
	"testing"
)

func TestDemandDecaysOverWindow(t *testing.T) {
	demand := customerDemand{window: 2 * second}
	demand.addOwn(0, 6)
	demand.addPeers(0, 3)
	assertNear(t, "total without decay", demand.total(0), 9)
	assertNear(t, "own demand after one window", demand.ownDemand(2*second), 6/math.E)
	assertNear(t, "peers' demand after two windows", demand.peerDemand(4*second), 3/math.E/math.E)
}

func TestDemandBecomesNegligible(t *testing.T) {
	cases := []struct {
		name       string
		own, peers float64
	}{{"here", 1, 0}, {"at peers", 0, 1}, {"at both", 1, 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			demand := customerDemand{window: second}
			demand.addOwn(0, c.own)
			demand.addPeers(0, c.peers)
			if demand.isNegligible(4 * second) {
				t.Error("demand is negligible after four windows")
			}
			if !demand.isNegligible(5 * second) {
				t.Error("demand is not negligible after five windows")
			}
		})
	}
}
