// Package simproto is the codec of the simulator's protocol. The simulator sends batches, which are frames of
// events, and receives a reply to each, which is a frame of actions. Integers are little-endian, and times
// are in microseconds. The package defines all codes of the protocol; package settings defines the keys of
// its settings.
//
// The types of the package are not safe for concurrent use.
package simproto

import (
	"errors"

	"sparspread/policy"
)

// Errors for a batch that violates the protocol. No further batch can be read after such an error.
var (
	// ErrTruncated reports a frame, a record or a list that ends before its last field or entry.
	ErrTruncated = errors.New("truncated")
	// ErrUnknownCode reports a code that the protocol does not define.
	ErrUnknownCode = errors.New("unknown code")
	// ErrTrailingBytes reports bytes after the last record of a batch.
	ErrTrailingBytes = errors.New("trailing bytes")
)

// The codes of the events. Each comment is the event's name in the protocol's specification.
const (
	codeGossipReceived   = 1  // heard
	codeHealthCheckEnded = 2  // sampled
	codeRequestReceived  = 3  // ingress
	codeTimerFired       = 4  // wake
	codeInstanceStarted  = 5  // provision
	codeInstanceStopped  = 6  // crash_now
	codeAttemptEnded     = 7  // done
	codeEndpointsUpdated = 8  // backends_changed
	codeRequestCancelled = 9  // dropped
	codeResponseStarted  = 10 // first
	codeCounterAnswered  = 11 // ledger_reply
)

// The codes of the actions. Each comment is the action's name in the protocol's specification.
const (
	codeSend             = 65 // assign
	codeReject           = 66 // push_back
	codeFail             = 67 // lose
	codeSetTimer         = 69 // set_alarm
	codeHealthCheck      = 70 // sound_out
	codeSendGossip       = 72 // write_peer
	codeLog              = 73 // record
	codeInstanceFailed   = 74 // broken
	codeWatchEndpoints   = 75 // follow
	codeIncrementCounter = 77 // count
)

const (
	maxGossipSize = 256 // bytes; longer gossip messages are truncated
	endpointSize  = 22  // bytes; every entry of an endpoint list has this size
)

// resultByCode maps the protocol's codes of results to the results of the policy.
var resultByCode = map[uint8]policy.Result{
	1: policy.ResultOK,
	2: policy.ResultFailed,
	3: policy.ResultOverloaded,
	4: policy.ResultTimedOut,
	5: policy.ResultConnectFailed,
	6: policy.ResultReset,
	7: policy.ResultCancelled,
	8: policy.ResultNotSent,
}

// updateKindByCode maps the protocol's codes of list modes to the kinds of endpoint updates.
var updateKindByCode = map[uint8]policy.UpdateKind{
	0: policy.UpdateComplete,
	1: policy.UpdateStale,
	2: policy.UpdateIncremental,
	3: policy.UpdateUnavailable,
}

// endpointStateByCode maps the protocol's codes of readiness to the states of endpoints.
var endpointStateByCode = map[uint8]policy.EndpointState{
	0: policy.EndpointRemoved,
	1: policy.EndpointReady,
	2: policy.EndpointDraining,
}
