package policy

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
)

// simulatedBackend serves requests and records them.
type simulatedBackend struct {
	freeAt    [simulatedCores]Time // when each core is free
	endsAt    []Time               // of the requests that it holds
	startedAt Time                 // 0: long ago
	gone      bool
	cutOff    bool   // requests are lost on the way
	fault     Result // how all its attempts end at once; 0: none
	received  []receivedRequest
}

type receivedRequest struct {
	at       Time
	informed bool // its gateway was informed of the start
}

// serve is how and when a request that arrives now ends.
func (b *simulatedBackend) serve(now Time, settings *Settings, random *rand.Rand) (Result, Time) {
	if b.gone {
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

// capacityShare is the part of its capacity that it has.
func (b *simulatedBackend) capacityShare(now Time, settings *Settings) float64 {
	if b.startedAt == 0 {
		return 1
	}
	age := float64(max(0, now-b.startedAt)) / float64(settings.SlowStartTime)
	return math.Min(1, settings.SlowStartFloor+(1-settings.SlowStartFloor)*age)
}

// simulatedGateway is a gateway's process and the Actions of its controller.
type simulatedGateway struct {
	*Controller
	simulation *simulation
	self       int
	informed   bool           // it has received the start
	decided    bool           // the last request was sent, or rejected with advice
	attempts   map[uint64]int // by request
	deadlines  map[uint64]Time
}

// schedule has something happen to the gateway unless its process has ended by then.
func (n *simulatedGateway) schedule(at Time, do func()) {
	n.simulation.schedule(at, func() {
		if n.simulation.gateways[n.self] == n {
			do()
		}
	})
}

func (n *simulatedGateway) Send(id uint64, backend uint32, until Time) (waiting bool) {
	s := n.simulation
	n.decided = true
	if until == 0 || until > n.deadlines[id] {
		until = n.deadlines[id]
	}
	b, number, sentAt := s.backends[backend-1], n.attempts[id], s.now
	n.attempts[id]++
	if !b.cutOff {
		b.received = append(b.received, receivedRequest{sentAt, n.informed})
	}
	result, endsAt := b.serve(sentAt, &s.settings, s.random)
	if endsAt > until {
		result, endsAt = ResultTimedOut, until
	}
	n.schedule(endsAt+simulatedDelay, func() {
		if result == ResultOK {
			s.served++
		}
		n.AttemptEnded(s.now, Outcome{
			RequestID: id, Attempt: number, Backend: backend, Result: result, Latency: s.now - sentAt,
			Answered: result == ResultOK || s.now >= n.deadlines[id],
		})
	})
	return false
}

func (n *simulatedGateway) Reject(_ uint64, after Time)            { n.decided = n.decided || after > 0 }
func (n *simulatedGateway) Fail(uint64)                            {}
func (n *simulatedGateway) IncrementCounter(uint64, float64, Time) {}
func (n *simulatedGateway) WatchEndpoints()                        {}
func (n *simulatedGateway) Log(string, ...slog.Attr)               {}

func (n *simulatedGateway) SetTimer(at Time, token uint32) {
	n.schedule(at, func() { n.TimerFired(n.simulation.now, token) })
}

func (n *simulatedGateway) HealthCheck(backend uint32) {
	s := n.simulation
	n.schedule(s.now+simulatedDelay, func() {
		result := ResultOK
		if s.backends[backend-1].gone {
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
