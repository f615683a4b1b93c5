package descriptors

import (
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/counter"
)

// maxOpenDescriptors returns the maximum number of descriptors that are open at the same time with a budget.
func maxOpenDescriptors(b Budget, withCounter bool) int {
	const (
		streams, poller, controlGroup          = 3, 2, 2
		listener, gossip, handover, config     = 1, 1, 2, 1
		discovery, opsListener, closingOpsConn = 2, 1, 1
	)
	sum := b.ClientSlots + b.PerSide + b.Operators +
		streams + poller + controlGroup + listener + gossip + handover + config +
		discovery + opsListener + closingOpsConn
	if withCounter {
		sum += 2 * counter.Connections
	}
	return sum
}

// The maximum number of open descriptors never exceeds the limit. If descriptors are not scarce, clients and
// backends get two fifths each.
func TestNewBudgetFitsLimit(t *testing.T) {
	for limit := config.MinSockets; limit <= 4096; limit++ {
		for _, withCounter := range []bool{false, true} {
			b := NewBudget(limit, withCounter)
			sum := maxOpenDescriptors(b, withCounter)
			if sum > limit || b.PerSide < 1 || b.Operators < 2 {
				t.Fatalf("limit %d, counter %t: up to %d open, %+v", limit, withCounter, sum, b)
			}
			twoFifths := (limit - 24) * 2 / 5
			if b.PerSide != twoFifths && (limit >= 64 || !withCounter) {
				t.Errorf("limit %d, counter %t: got %d, want %d", limit, withCounter, b.PerSide, twoFifths)
			}
		}
	}
}

func TestNewBudgetForCommonLimits(t *testing.T) {
	for limit, want := range map[int]Budget{
		32:   {PerSide: 3, ClientSlots: 7, Operators: 2},
		64:   {PerSide: 16, ClientSlots: 20, Operators: 4},
		256:  {PerSide: 92, ClientSlots: 115, Operators: 12},
		1024: {PerSide: 400, ClientSlots: 500, Operators: 12},
	} {
		if got := NewBudget(limit, false); got != want {
			t.Errorf("limit %d: got %+v, want %+v", limit, got, want)
		}
	}
}
