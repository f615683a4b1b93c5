package policy

import (
	"math/rand/v2"
	"testing"
)

func TestGrantSavesUnitsOfFewRequests(t *testing.T) {
	grant := newQuotaGrant()
	grant.fraction = 0.5
	grant.creditRequest(4)
	assertNear(t, "units after a request", grant.units, 2)
	for range 20 {
		grant.creditRequest(4)
	}
	assertNear(t, "units after many requests", grant.units, maxGrantedRequests*4)
	grant.consume(10)
	assertNear(t, "units after a larger request", grant.units, 0)
}

// Guards against participants that all admit, or all reject, when a coordinator begins to limit them.
func TestGrantDrawsUnitsWhenLimitBegins(t *testing.T) {
	random, drawn := rand.New(rand.NewPCG(1, 2)), map[float64]bool{}
	for range 20 {
		grant := newQuotaGrant()
		grant.units, grant.lastRequestCost = 8, 4
		grant.receiveFraction(0.5, random)
		if grant.units < 0 || grant.units >= 4 {
			t.Errorf("%g units, want at least 0 and less than the 4 of the last request", grant.units)
		}
		drawn[grant.units] = true
		units := grant.units
		if grant.receiveFraction(0.25, random); grant.units != units {
			t.Errorf("%g units after the limit has changed, want %g as before", grant.units, units)
		}
		if !grant.isLimited() || grant.fraction != 0.25 {
			t.Errorf("fraction %g, want 0.25", grant.fraction)
		}
	}
	if len(drawn) < 10 {
		t.Errorf("%d different values in 20 draws, want at least 10", len(drawn))
	}
}

func TestGrantFractionIsSpendableShareOfDemand(t *testing.T) {
	cases := []struct {
		name                    string
		spendable, demand, want float64
	}{
		{"more than the demand", 10, 5, 1},
		{"half", 5, 10, 0.5},
		{"nothing to spend", -3, 10, minGrantFraction},
		{"no demand", 1, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			grant := newQuotaGrant()
			grant.setFraction(c.spendable, c.demand)
			assertNear(t, "fraction", grant.fraction, c.want)
		})
	}
}

func TestGrantAdvertisementLimits(t *testing.T) {
	steps := []struct {
		name     string
		at       Time
		fraction float64
		want     bool
	}{
		{"unchanged fraction", second, 1, false},
		{"lowered by less than the factor", second, 0.85, false},
		{"lowered", second, 0.5, true},
		{"lowered again before the next advertisement is due", second, 0.25, false},
		{"lowered again when the next advertisement is due", 2 * second, 0.25, true},
		{"raised by less than the factor", 3 * second, 0.3, false},
		{"raised", 3 * second, 0.4, true},
		{"raised to 1", 4 * second, 1, true},
	}
	grant := newQuotaGrant()
	for _, step := range steps {
		grant.fraction = step.fraction
		if got := grant.advertise(step.at, grantsPerWindow*second); got != step.want {
			t.Errorf("%s: advertised %t, want %t", step.name, got, step.want)
		}
	}
	if !grant.isDefault() {
		t.Error("an advertised fraction of 1 is not the default grant")
	}
}

func TestGrantOfOneIsAlwaysAdvertised(t *testing.T) {
	grant := newQuotaGrant()
	grant.advertisedFraction = 0.9
	if !grant.advertise(second, second) {
		t.Error("a change from 0.9 to 1 is not advertised")
	}
}

func TestGrantNeedsCorrectionBeyondTolerance(t *testing.T) {
	grant := quotaGrant{fraction: 0.5}
	needsCorrection := map[float64]bool{0.5: false, 0.46: false, 0.54: false, 0.44: true, 0.56: true}
	for fraction, want := range needsCorrection {
		if got := grant.needsCorrection(fraction); got != want {
			t.Errorf("%g in place of 0.5 needs correction: %t, want %t", fraction, got, want)
		}
	}
}

// The number of a quota request wraps around. Two requests that wait at the same time must not have the same
// one, as an answer would decide both.
func TestQuotaRequestNumbersDifferAcrossWrap(t *testing.T) {
	grant := newQuotaGrant()
	last := byte(0)
	for i := range 3 * 256 {
		number := grant.nextRequestNumber()
		if number == 0 || number == last {
			t.Fatalf("quota request %d has the number %d after %d", i, number, last)
		}
		last = number
	}
}
