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

// readEvent reads the fields of an event whose kind and instance are set.
func (r *recordReader) readEvent(e *Event) {
	switch e.Kind {
	case InstanceStarted:
		e.Seed = r.uint64()
		e.Settings = r.bytes(int(r.uint32()))
	case InstanceStopped: // has no fields
	case EndpointsUpdated:
		r.readEndpointsUpdated(e)
	case RequestReceived:
		r.readRequest(&e.Request)
	case ResponseStarted:
		r.readResponseStarted(&e.Outcome)
	case AttemptEnded:
		r.readAttemptEnded(&e.Outcome)
	case RequestCancelled:
		e.Outcome.RequestID = r.uint64()
	case TimerFired:
		e.TimerToken = r.uint32()
	case HealthCheckEnded:
		r.readHealthCheckEnded(e)
	case GossipReceived:
		e.Sender = int(r.uint16())
		e.Gossip = r.bytes(int(r.uint16()))
	case CounterAnswered:
		r.readCounterAnswered(e)
	default:
		r.fail(fmt.Errorf("%w: event %d", ErrUnknownCode, e.Kind))
	}
}

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

func (r *recordReader) readEndpoint() policy.Endpoint {
	endpoint := policy.Endpoint{ID: r.uint32(), Zone: int(r.uint16())}
	r.uint8() // kind of machine: no decision depends on it
	endpoint.Cell = int(r.uint16())
	endpoint.State = readCode(r, endpointStateByCode, "readiness")
	endpoint.CapacityHint = r.float32()
	endpoint.StartedAt = policy.Time(r.uint64())
	return endpoint
}

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

func (r *recordReader) readResponseStarted(outcome *policy.Outcome) {
	outcome.RequestID = r.uint64()
	outcome.Backend = r.uint32()
	outcome.Attempt = int(r.uint16())
	outcome.Latency = policy.Time(r.uint32())
}

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

func (r *recordReader) readHealthCheckEnded(e *Event) {
	e.Backend = r.uint32()
	e.Result = r.result()
	r.uint32() // latency: no decision depends on it
	e.LoadReport = r.loadReport()
}

func (r *recordReader) readCounterAnswered(e *Event) {
	e.CounterTotal = r.float32()
	e.Result = r.result()
	e.CounterName = r.uint64()
	r.uint32() // latency: no decision depends on it
}
