// Package simproto speaks the dune-e1ca dialect of the simulator: frames and records. Every code of the dialect
// stands in this package; the keys of its settings are in package settings.
package simproto

import "sparspread/policy"

// Kind is the kind of an event.
type Kind uint8

// The events, by their codes.
const (
	Heard     Kind = 1
	Sampled   Kind = 2
	Ingress   Kind = 3
	Wake      Kind = 4
	Provision Kind = 5
	CrashNow  Kind = 6
	Done      Kind = 7
	Backends  Kind = 8
	Dropped   Kind = 9
	First     Kind = 10
	Ledger    Kind = 11
)

// The actions, by their codes.
const (
	actAssign   = 65
	actPushBack = 66
	actLose     = 67
	actSetAlarm = 69
	actSoundOut = 70
	actWrite    = 72
	actRecord   = 73
	actBroken   = 74
	actFollow   = 75
	actCount    = 77
)

const (
	noteLimit = 256
	entrySize = 22
)

var results = map[uint8]policy.Result{
	1: policy.ResultOK, 2: policy.ResultFailed, 3: policy.ResultOverloaded, 4: policy.ResultTimedOut,
	5: policy.ResultConnectFailed, 6: policy.ResultReset, 7: policy.ResultCancelled, 8: policy.ResultNotSent,
}

var news = map[uint8]policy.UpdateKind{
	0: policy.UpdateComplete, 1: policy.UpdateStale, 2: policy.UpdateIncremental, 3: policy.UpdateUnavailable,
}

var states = map[uint8]policy.EndpointState{0: policy.EndpointRemoved, 1: policy.EndpointReady, 2: policy.EndpointDraining}
