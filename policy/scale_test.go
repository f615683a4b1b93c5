package policy

import (
	"fmt"
	"testing"
)

// What the module does alone as the fleet grows along one axis, the others as in settings(): docs/CAPACITY.md
// works with these figures.

// sized is a gateway among so many, before so many backends.
func sized(b *testing.B, gateways, backends int) *Controller {
	b.Helper()
	set := settings()
	set.Gateways, set.Gossip, set.GossipPerSecond, set.HandshakePrice = gateways, true, 40, 0.1
	set.Plans[1].Rate, set.Plans[1].Burst = 1e6, 1e6 // no quota binds
	g, err := New(set, 7, quiet{&fake{}})
	if err != nil {
		b.Fatal(err)
	}
	g.UpdateEndpoints(start, UpdateComplete, members(backends))
	b.ReportAllocs()
	return g
}

// serveOne has a request sent and answered.
func serveOne(b *testing.B, g *Controller, now Time, id, customer uint64, spread int) {
	g.RequestReceived(now, Request{ID: id, Plan: 1, Customer: customer, Cost: 1, Timeout: second, Replicas: spread})
	r := g.requests[id]
	if r == nil {
		b.Fatal("a request was not sent on")
	}
	g.AttemptEnded(now, Outcome{RequestID: id, Backend: r.attempts[0].backend.ID, Latency: 1000, Answered: true})
}

func BenchmarkRequestByBackends(b *testing.B) {
	for _, n := range []int{46, 830, 8300, 83000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, now := sized(b, 3, n), start
			for i := uint64(0); b.Loop(); i++ {
				now += 12_000 // 86 requests a second
				serveOne(b, g, now, i, i%200, 2)
			}
		})
	}
}

func BenchmarkChangeByBackends(b *testing.B) {
	for _, n := range []int{46, 830, 8300, 83000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := sized(b, 3, n)
			m := members(1)
			for b.Loop() {
				m[0].State = EndpointDraining - m[0].State
				g.UpdateEndpoints(start, UpdateIncremental, m)
			}
		})
	}
}

func BenchmarkTickByGateways(b *testing.B) {
	for _, n := range []int{30, 300, 1800, 6500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, now := sized(b, n, 46), start
			for b.Loop() {
				now += g.gossip.period
				g.TimerFired(now, gossipTimer)
			}
		})
	}
}

// A request in sets of five and more asks a home, which these settings have on other gateways: what the
// gateway itself does for it, without the answer.
func BenchmarkRequestByGateways(b *testing.B) {
	for _, n := range []int{30, 300, 1800, 6500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, now := sized(b, n, 46), start
			for i := uint64(0); b.Loop(); i++ {
				now += 12_000
				serveOne(b, g, now, i, i%200, 2)
			}
		})
	}
}

// A second of a gateway at which so many customers are active: a request of each, and all its ticks.
func BenchmarkSecondByCustomers(b *testing.B) {
	for _, n := range []uint64{60, 300, 1500, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, now := sized(b, 300, 46), start
			for i := uint64(0); b.Loop(); i += n {
				for k := range n {
					serveOne(b, g, now+Time(k)*second/Time(n), i+k, k, 2)
				}
				for range second / g.gossip.period {
					now += g.gossip.period
					g.TimerFired(now, gossipTimer)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/customer")
		})
	}
}
