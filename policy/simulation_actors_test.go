package policy

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
)

// simulatedBackend serves requests and records them.
type simulatedBackend struct {
	freeAt    [simulatedCores]Time // the time at which each core becomes free
	endsAt    []Time               // the end times of the requests in service or in the queue
	startedAt Time                 // zero if the backend started before the simulation
	isRemoved bool                 // removed, so connections are refused
	cutOff    bool                 // requests to it are lost
	fault     Result               // the immediate result of all attempts; zero if the backend works
	received  []receivedRequest
}

type receivedRequest struct {
	at       Time
	informed bool // whether the gateway that sent the request knew of the start
}

// serve returns the result and the end time of a request that arrives now.
func (b *simulatedBackend) serve(now Time, settings *Settings, random *rand.Rand) (Result, Time) {
	if b.isRemoved {
		return ResultConnectFailed, now
	}
	if b.cutOff {
		return ResultTimedOut, math.MaxInt64
	}
	if b.fault != 0 {
		return b.fault, now
	}
	b.endsAt = slices.DeleteFunc(b.endsAt, func(at Time) bool { return at <= now })
	if len(b.endsAt) >= simulatedCores+simulatedQueue {
		return ResultOverloaded, now
	}
	core := 0
	for i := range b.freeAt {
		if b.freeAt[i] < b.freeAt[core] {
			core = i
		}
	}
	took := float64(simulatedServiceTime) * (0.5 + random.Float64()) / b.capacityShare(now, settings)
	b.freeAt[core] = max(now, b.freeAt[core]) + Time(took)
	b.endsAt = append(b.endsAt, b.freeAt[core])
	return ResultOK, b.freeAt[core]
}

// capacityShare returns the share of its capacity that the backend has.
func (b *simulatedBackend) capacityShare(now Time, settings *Settings) float64 {
	if b.startedAt == 0 {
		return 1
	}
	age := float64(max(0, now-b.startedAt)) / float64(settings.SlowStartTime)
	return math.Min(1, settings.SlowStartFloor+(1-settings.SlowStartFloor)*age)
}

// simulatedGateway is a process of a gateway, and the Actions of its controller.
type simulatedGateway struct {
	*Controller
	simulation *simulation
	self       int
	informed   bool           // whether it has received an update with the start
	decided    bool           // the last request was sent, or rejected with a time to retry after
	attempts   map[uint64]int // by request
	deadlines  map[uint64]Time
}

// schedule schedules an event of the gateway. It is dropped if the process has ended before the event is
// due.
func (n *simulatedGateway) schedule(at Time, do func()) {
	n.simulation.schedule(at, func() {
		if n.simulation.gateways[n.self] == n {
			do()
		}
	})
}

func (n *simulatedGateway) Send(id uint64, backend uint32, deadline Time) (waiting bool) {
	s := n.simulation
	n.decided = true
	if deadline == 0 || deadline > n.deadlines[id] {
		deadline = n.deadlines[id]
	}
	b, number, sentAt := s.backends[backend-1], n.attempts[id], s.now
	n.attempts[id]++
	if !b.cutOff {
		b.received = append(b.received, receivedRequest{sentAt, n.informed})
	}
	result, endsAt := b.serve(sentAt, &s.settings, s.random)
	if endsAt > deadline {
		result, endsAt = ResultTimedOut, deadline
	}
	n.schedule(endsAt+simulatedDelay, func() {
		if result == ResultOK {
			s.served++
		}
		n.AttemptEnded(s.now, Outcome{
			RequestID: id, Attempt: number, Backend: backend, Result: result, Latency: s.now - sentAt,
			ClientAnswered: result == ResultOK || s.now >= n.deadlines[id],
		})
	})
	return false
}

func (n *simulatedGateway) Reject(_ uint64, retryAfter Time)       { n.decided = n.decided || retryAfter > 0 }
func (n *simulatedGateway) Fail(uint64)                            {}
func (n *simulatedGateway) IncrementCounter(uint64, float64, Time) {}
func (n *simulatedGateway) WatchEndpoints()                        {}
func (n *simulatedGateway) Log(string, ...slog.Attr)               {}

func (n *simulatedGateway) SetTimer(at Time, timerID uint32) {
	n.schedule(at, func() { n.TimerFired(n.simulation.now, timerID) })
}

func (n *simulatedGateway) HealthCheck(backend uint32) {
	s := n.simulation
	n.schedule(s.now+simulatedDelay, func() {
		result := ResultOK
		if s.backends[backend-1].isRemoved {
			result = ResultConnectFailed
		} else if s.backends[backend-1].cutOff {
			result = ResultTimedOut
		}
		n.HealthCheckEnded(s.now, backend, result, nil)
	})
}

func (n *simulatedGateway) SendGossip(peer int, message []byte) {
	s := n.simulation
	message = slices.Clone(message)
	s.schedule(s.now+simulatedDelay, func() { s.gateways[peer].GossipReceived(s.now, n.self, message) })
}
