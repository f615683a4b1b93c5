package simproto

import (
	"fmt"

	"sparspread/policy"
)

// Event is one record of a batch. Only the fields of its kind are set.
type Event struct {
	Kind     Kind
	Instance uint16 // the gateway that it happened to

	// InstanceStarted.
	Seed     uint64
	Settings []byte // lines of key=value, for settings.ParseText

	// EndpointsUpdated.
	UpdateKind policy.UpdateKind
	Endpoints  []policy.Endpoint

	// RequestReceived.
	Request policy.Request

	// AttemptEnded. ResponseStarted and RequestCancelled set the request's ID only.
	Outcome policy.Outcome

	// TimerFired.
	TimerToken uint32

	// HealthCheckEnded. CounterAnswered sets Result too.
	Backend    uint32
	Result     policy.Result
	LoadReport []float32

	// GossipReceived.
	Sender int
	Gossip []byte

	// CounterAnswered.
	CounterName  uint64
	CounterTotal float64
}

// fieldReaders read the fields of an event, by its kind.
var fieldReaders = [...]func(r *recordReader, e *Event){
	InstanceStarted: func(r *recordReader, e *Event) {
		e.Seed = r.uint64()
		e.Settings = r.bytes(int(r.uint32()))
	},
	InstanceStopped:  func(*recordReader, *Event) {}, // has no fields
	EndpointsUpdated: (*recordReader).readEndpointsUpdated,
	RequestReceived:  func(r *recordReader, e *Event) { r.readRequest(&e.Request) },
	ResponseStarted:  func(r *recordReader, e *Event) { r.readResponseStarted(&e.Outcome) },
	AttemptEnded:     func(r *recordReader, e *Event) { r.readAttemptEnded(&e.Outcome) },
	RequestCancelled: func(r *recordReader, e *Event) { e.Outcome.RequestID = r.uint64() },
	TimerFired:       func(r *recordReader, e *Event) { e.TimerToken = r.uint32() },
	HealthCheckEnded: (*recordReader).readHealthCheckEnded,
	GossipReceived: func(r *recordReader, e *Event) {
		e.Sender = int(r.uint16())
		e.Gossip = r.bytes(int(r.uint16()))
	},
	CounterAnswered: (*recordReader).readCounterAnswered,
}

// readEvent reads the fields of an event whose kind and instance are set.
func (r *recordReader) readEvent(e *Event) {
	if int(e.Kind) >= len(fieldReaders) || fieldReaders[e.Kind] == nil {
		r.fail(fmt.Errorf("%w: event %d", ErrUnknownCode, e.Kind))
		return
	}
	fieldReaders[e.Kind](r, e)
}

// readEndpointsUpdated reads an update of the endpoint list.
func (r *recordReader) readEndpointsUpdated(e *Event) {
	e.UpdateKind = readCode(r, updateKindByCode, "list mode")
	r.uint64() // version of the list
	count := int(r.uint32())
	if count > r.remaining()/endpointSize {
		r.fail(fmt.Errorf("%w list: %d endpoints in %d bytes", ErrTruncated, count, r.remaining()))
	}
	for i := 0; i < count && r.err == nil; i++ {
		e.Endpoints = append(e.Endpoints, r.readEndpoint())
	}
}

// readEndpoint reads one entry of an endpoint list.
func (r *recordReader) readEndpoint() policy.Endpoint {
	endpoint := policy.Endpoint{ID: r.uint32(), Zone: int(r.uint16())}
	r.uint8() // kind of machine: no decision depends on it
	endpoint.Cell = int(r.uint16())
	endpoint.State = readCode(r, endpointStateByCode, "readiness")
	endpoint.CapacityHint = r.float32()
	endpoint.StartedAt = policy.Time(r.uint64())
	return endpoint
}

// readRequest reads a request as it was received.
func (r *recordReader) readRequest(request *policy.Request) {
	request.ID = r.uint64()
	r.uint8() // flags for a client's retry and for a write: no decision depends on them
	request.Cost = r.float32()
	request.Timeout = policy.Time(r.uint32())
	request.Plan = int(r.uint16())
	request.Replicas = int(r.float32())
	request.Class = int(r.uint16())
	request.FirstReplica = int(r.float32())
	request.Customer = r.uint64()
}

// readResponseStarted reads which attempt of a request is being answered.
func (r *recordReader) readResponseStarted(outcome *policy.Outcome) {
	outcome.RequestID = r.uint64()
	outcome.Backend = r.uint32()
	outcome.Attempt = int(r.uint16())
	outcome.Latency = policy.Time(r.uint32())
}

// readAttemptEnded reads the outcome of an attempt.
func (r *recordReader) readAttemptEnded(outcome *policy.Outcome) {
	outcome.RequestID = r.uint64()
	outcome.Attempt = int(r.uint16())
	outcome.Backend = r.uint32()
	outcome.Result = r.result()
	outcome.Latency = policy.Time(r.uint32())
	outcome.Answered = r.uint8() != 0
	outcome.MeterReading = int(r.uint16())
	outcome.ActualCost = float64(r.uint16())
	outcome.LoadReport = r.loadReport()
}

// readHealthCheckEnded reads the outcome of a health check.
func (r *recordReader) readHealthCheckEnded(e *Event) {
	e.Backend = r.uint32()
	e.Result = r.result()
	r.uint32() // latency: no decision depends on it
	e.LoadReport = r.loadReport()
}

// readCounterAnswered reads the answer to a call of the shared counter.
func (r *recordReader) readCounterAnswered(e *Event) {
	e.CounterTotal = r.float32()
	e.Result = r.result()
	e.CounterName = r.uint64()
	r.uint32() // latency: no decision depends on it
}
