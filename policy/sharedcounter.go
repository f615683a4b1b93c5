package policy

import "math"

const counterLifetime = 60 * second // of a name at the shared counter: the longest allowed

// sharedCounter is what is known of a customer's total at the counter that all gateways share where there
// is no gossip. The calls to it are answered in their order.
type sharedCounter struct {
	pendingCalls []float64 // units of the calls that are not answered yet, oldest first
	total        float64   // as last answered
}

// increment notes a call that adds units.
func (s *sharedCounter) recordCall(units float64) { s.pendingCalls = append(s.pendingCalls, units) }

// isIdle reports whether all calls were answered.
func (s *sharedCounter) isIdle() bool { return len(s.pendingCalls) == 0 }

// answered applies the answer to the oldest call, and returns what the other gateways have added since the
// one before. What a failed call may have added counts as added by them, with the next answer.
func (s *sharedCounter) applyAnswer(result Result, total float64) (byPeers float64, ok bool) {
	if len(s.pendingCalls) == 0 {
		return 0, false
	}
	own := s.pendingCalls[0]
	if s.pendingCalls = s.pendingCalls[1:]; result != ResultOK {
		return 0, false
	}
	byPeers = math.Max(0, total-s.total-own)
	s.total = total
	return byPeers, true
}
