package policy

import (
	"math/rand/v2"
	"testing"
)

// idle is a warm backend in the zone and the subset of this gateway without attempts in flight.
var idle = candidate{slowness: 1, capacityShare: 1, inSubset: true, capacityHint: 2}

func TestScoreCombinesLoadAndPrices(t *testing.T) {
	prices := loadPrices{crossZone: 0.1, handshake: 0.2}
	for _, c := range []struct {
		name   string
		prices loadPrices
		change func(*candidate)
		want   float64
	}{
		{name: "idle", prices: prices, change: func(*candidate) {}, want: 1},
		{name: "busy", prices: prices, change: func(c *candidate) { c.inFlight = 3 }, want: 4},
		{name: "slow", prices: prices, change: func(c *candidate) { c.slowness = 2.5 }, want: 2.5},
		{
			name: "in slow start", prices: prices, change: func(c *candidate) { c.capacityShare = 0.25 },
			want: 0.25,
		},
		{
			name: "another zone", prices: prices, change: func(c *candidate) { c.isOtherZone = true },
			want: 1.5,
		},
		{
			name: "outside the subset", prices: prices, change: func(c *candidate) { c.inSubset = false },
			want: 2,
		},
		{name: "faulty", prices: prices, change: func(c *candidate) { c.faults = 3 }, want: 4},
		{name: "a hint", prices: loadPrices{useCapacityHints: true}, change: func(*candidate) {}, want: 0.5},
		{
			name: "no hint", prices: loadPrices{useCapacityHints: true},
			change: func(c *candidate) { c.capacityHint = 0 }, want: 1,
		},
	} {
		compared := idle
		c.change(&compared)
		assertNear(t, c.name, c.prices.score(&compared), c.want)
	}
}

func TestLeastLoadedBreaksTiesUniformly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	backends := []*backend{{}, {}, {}, {}, {}}
	scores := []float64{2, 1, 3, 1, 1}
	const draws = 3000
	chosen := map[*backend]int{}
	for range draws {
		var best leastLoaded
		for i, backend := range backends {
			best.considerBackend(backend, scores[i], random)
		}
		chosen[best.backend]++
	}
	for i, backend := range backends {
		got, want := chosen[backend], draws/3*int(indicator(scores[i] == 1))
		if got < want*9/10 || got > want*11/10 {
			t.Errorf("backend %d with score %g chosen %d times, want about %d", i, scores[i], got, want)
		}
	}
	var none leastLoaded
	if none.backend != nil {
		t.Error("zero value has a backend")
	}
}
