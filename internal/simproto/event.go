package simproto

import (
	"fmt"

	"sparspread/policy"
)

// Event is an event of an instance, which is one controller of the simulation. Its type is one of the types
// below. Byte slices in an event refer to the memory of its batch and are valid as long as the batch.
type Event interface{ event() }

// InstanceStarted reports that an instance has started. It replaces a running instance of the same number.
type InstanceStarted struct {
	Seed     uint64 // the seed of the instance's random numbers
	Settings []byte // lines of key=value, to be parsed by settings.ParseText
}

// InstanceStopped reports that an instance has stopped.
type InstanceStopped struct{}

// EndpointsUpdated reports an update of the endpoint list.
type EndpointsUpdated struct {
	Kind      policy.UpdateKind
	Endpoints []policy.Endpoint
}

// RequestReceived reports a client's request.
type RequestReceived struct{ Request policy.Request }

// ResponseStarted reports that the first bytes of the response to an attempt have been received.
type ResponseStarted struct {
	RequestID uint64
	Backend   uint32
	Attempt   int
	Latency   policy.Time // time since the attempt was sent
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct{ Outcome policy.Outcome }

// RequestCancelled reports that the client no longer waits for the response.
type RequestCancelled struct{ RequestID uint64 }

// TimerFired reports that a timer has expired.
type TimerFired struct{ TimerID uint32 }

// HealthCheckEnded reports the outcome of a health check.
type HealthCheckEnded struct {
	Backend    uint32
	Result     policy.Result
	LoadReport []float32
}

// GossipReceived reports a gossip message from a peer.
type GossipReceived struct {
	Sender  int // the index of the peer
	Message []byte
}

// CounterAnswered reports the result of an increment of the shared counter.
type CounterAnswered struct {
	Name   uint64
	Result policy.Result
	Total  float64
}

func (InstanceStarted) event()  {}
func (InstanceStopped) event()  {}
func (EndpointsUpdated) event() {}
func (RequestReceived) event()  {}
func (ResponseStarted) event()  {}
func (AttemptEnded) event()     {}
func (RequestCancelled) event() {}
func (TimerFired) event()       {}
func (HealthCheckEnded) event() {}
func (GossipReceived) event()   {}
func (CounterAnswered) event()  {}

// eventReaders contains, by the code of an event, the function that reads the event's fields.
var eventReaders = [...]func(r *recordReader) Event{
	codeInstanceStarted:  (*recordReader).readInstanceStarted,
	codeInstanceStopped:  func(*recordReader) Event { return InstanceStopped{} }, // no fields
	codeEndpointsUpdated: (*recordReader).readEndpointsUpdated,
	codeRequestReceived:  (*recordReader).readRequestReceived,
	codeResponseStarted:  (*recordReader).readResponseStarted,
	codeAttemptEnded:     (*recordReader).readAttemptEnded,
	codeRequestCancelled: func(r *recordReader) Event { return RequestCancelled{RequestID: r.uint64()} },
	codeTimerFired:       func(r *recordReader) Event { return TimerFired{TimerID: r.uint32()} },
	codeHealthCheckEnded: (*recordReader).readHealthCheckEnded,
	codeGossipReceived:   (*recordReader).readGossipReceived,
	codeCounterAnswered:  (*recordReader).readCounterAnswered,
}

// readEvent reads the fields of an event whose code has been read.
func (r *recordReader) readEvent(code uint8) Event {
	if int(code) >= len(eventReaders) || eventReaders[code] == nil {
		r.setError(fmt.Errorf("%w: event %d", ErrUnknownCode, code))
		return nil
	}
	return eventReaders[code](r)
}

// readInstanceStarted reads the seed and the settings of a new instance.
func (r *recordReader) readInstanceStarted() Event {
	var e InstanceStarted
	e.Seed = r.uint64()
	e.Settings = r.bytes(int(r.uint32()))
	return e
}

// readEndpointsUpdated reads an update of the endpoint list.
func (r *recordReader) readEndpointsUpdated() Event {
	var e EndpointsUpdated
	e.Kind = readCode(r, updateKindByCode, "update kind")
	r.uint64() // the version of the list, which is not used
	count := int(r.uint32())
	if count > r.remaining()/endpointSize {
		r.setError(fmt.Errorf("%w list: %d endpoints in %d bytes", ErrTruncated, count, r.remaining()))
	}
	for i := 0; i < count && r.err == nil; i++ {
		e.Endpoints = append(e.Endpoints, r.readEndpoint())
	}
	return e
}

// readEndpoint reads one entry of an endpoint list.
func (r *recordReader) readEndpoint() policy.Endpoint {
	endpoint := policy.Endpoint{ID: r.uint32(), Zone: int(r.uint16())}
	r.uint8() // the kind of machine, which the policy does not use
	endpoint.Cell = int(r.uint16())
	endpoint.State = readCode(r, endpointStateByCode, "readiness")
	endpoint.CapacityHint = r.float32()
	endpoint.StartedAt = policy.Time(r.uint64())
	return endpoint
}

// readRequestReceived reads a client's request.
func (r *recordReader) readRequestReceived() Event {
	var request policy.Request
	request.ID = r.uint64()
	r.uint8() // flags for a client's retry and for a write, which the policy does not use
	request.Cost = r.float32()
	request.Timeout = policy.Time(r.uint32())
	request.Plan = int(r.uint16())
	request.Replicas = int(r.float32()) // the protocol encodes this integer as a float
	request.Class = int(r.uint16())
	request.FirstReplica = int(r.float32()) // likewise encoded as a float
	request.Customer = r.uint64()
	return RequestReceived{Request: request}
}

// readResponseStarted reads the attempt that is being answered and its latency.
func (r *recordReader) readResponseStarted() Event {
	var e ResponseStarted
	e.RequestID = r.uint64()
	e.Backend = r.uint32()
	e.Attempt = int(r.uint16())
	e.Latency = policy.Time(r.uint32())
	return e
}

// readAttemptEnded reads the outcome of an attempt.
func (r *recordReader) readAttemptEnded() Event {
	var outcome policy.Outcome
	outcome.RequestID = r.uint64()
	outcome.Attempt = int(r.uint16())
	outcome.Backend = r.uint32()
	outcome.Result = r.readResult()
	outcome.Latency = policy.Time(r.uint32())
	outcome.ClientAnswered = r.uint8() != 0
	outcome.MeterReading = int(r.uint16())
	outcome.ActualCost = float64(r.uint16())
	outcome.LoadReport = r.readLoadReport()
	return AttemptEnded{Outcome: outcome}
}

// readHealthCheckEnded reads the outcome of a health check.
func (r *recordReader) readHealthCheckEnded() Event {
	var e HealthCheckEnded
	e.Backend = r.uint32()
	e.Result = r.readResult()
	r.uint32() // the latency, which the policy does not use
	e.LoadReport = r.readLoadReport()
	return e
}

// readGossipReceived reads a gossip message from a peer.
func (r *recordReader) readGossipReceived() Event {
	var e GossipReceived
	e.Sender = int(r.uint16())
	e.Message = r.bytes(int(r.uint16()))
	return e
}

// readCounterAnswered reads the result of an increment of the shared counter.
func (r *recordReader) readCounterAnswered() Event {
	var e CounterAnswered
	e.Total = r.float32()
	e.Result = r.readResult()
	e.Name = r.uint64()
	r.uint32() // the latency, which the policy does not use
	return e
}
