package policy

import "math"

const counterLifetime = 60 * second // lifetime of a name at the shared counter; the longest allowed

// sharedCounter tracks a customer's total at the counter that all gateways share if there is no gossip. Calls
// of the counter are answered in their order.
type sharedCounter struct {
	pendingCalls []float64 // units added by the pending calls, oldest first
	total        float64   // total by the last answer
}

// recordCall records a call that adds units.
func (s *sharedCounter) recordCall(units float64) { s.pendingCalls = append(s.pendingCalls, units) }

// isIdle reports whether no call is pending.
func (s *sharedCounter) isIdle() bool { return len(s.pendingCalls) == 0 }

// applyAnswer applies the answer to the oldest call. It returns the units that the other gateways have added
// since the answer before it; ok is false if there are none to apply. Units that a failed call may have added
// count as added by other gateways when the next answer arrives.
func (s *sharedCounter) applyAnswer(result Result, total float64) (peerUnits float64, ok bool) {
	if len(s.pendingCalls) == 0 {
		return 0, false
	}
	own := s.pendingCalls[0]
	if s.pendingCalls = s.pendingCalls[1:]; result != ResultOK {
		return 0, false
	}
	peerUnits = math.Max(0, total-s.total-own)
	s.total = total
	return peerUnits, true
}
