package policy

import (
	"fmt"
	"strconv"
	"testing"
)

// The benchmarks measure a controller without I/O as the fleet grows along one axis. docs/CAPACITY.md uses
// their results.

func newBenchController(b *testing.B, settings Settings) *Controller {
	b.Helper()
	controller, err := New(settings, 7, discardActions{&recorder{}})
	if err != nil {
		b.Fatal(err)
	}
	return controller
}

// newSizedController returns the controller of one gateway in a fleet of the given size.
func newSizedController(b *testing.B, gateways, backends int) *Controller {
	b.Helper()
	settings := testSettings()
	settings.Gateways, settings.Gossip, settings.GossipPerSecond = gateways, true, 40
	settings.HandshakePrice = 0.1
	settings.Plans[1].Rate, settings.Plans[1].Burst = 1e6, 1e6 // the quota is never exhausted
	controller := newBenchController(b, settings)
	controller.UpdateEndpoints(start, UpdateComplete, endpoints(backends))
	b.ReportAllocs()
	return controller
}

// serveOne handles a request and its answer.
func serveOne(b *testing.B, controller *Controller, now Time, id, customer uint64) {
	b.Helper()
	const replicas = 2
	controller.RequestReceived(now, Request{
		ID: id, Plan: 1, Customer: customer, Cost: 1, Timeout: second, Replicas: replicas,
	})
	request := controller.requests.byID[id]
	if request == nil {
		b.Fatal("request was not sent")
	}
	controller.AttemptEnded(now, Outcome{
		RequestID: id, Backend: request.attempts[0].backend.ID, Latency: 1000, ClientAnswered: true,
	})
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ gateways, backends, replicas int }{{2, 16, 2}, {360, 90, 150}} {
		b.Run(fmt.Sprintf("%dx%d", c.gateways, c.backends), func(b *testing.B) {
			settings := testSettings()
			settings.Gateways = c.gateways
			settings.Plans[1].Rate = 60 // too high for quota requests: each request is decided at once
			controller := newBenchController(b, settings)
			controller.UpdateEndpoints(start, UpdateStale, endpoints(c.backends))
			b.ReportAllocs()
			now := start
			for id := uint64(1); b.Loop(); id++ { // customer 0, coordinated by this gateway, is not the first
				now += 5000
				controller.RequestReceived(now, Request{
					ID: id, Plan: 1, Customer: id % 200, Cost: 1, Timeout: second, Replicas: c.replicas,
				})
				if request := controller.requests.byID[id]; request != nil {
					controller.AttemptEnded(now, Outcome{
						RequestID: id, Backend: request.attempts[0].backend.ID, Latency: 1000,
						ClientAnswered: true,
					})
				}
			}
		})
	}
}

func BenchmarkUpdateEndpoints(b *testing.B) {
	controller := newBenchController(b, testSettings())
	list := endpoints(32)
	b.ReportAllocs()
	for b.Loop() {
		controller.UpdateEndpoints(start, UpdateComplete, list)
	}
}

func BenchmarkRequestByBackends(b *testing.B) {
	for _, backends := range []int{46, 830, 8300, 83000} {
		b.Run(strconv.Itoa(backends), func(b *testing.B) {
			controller, now := newSizedController(b, 3, backends), start
			for id := uint64(0); b.Loop(); id++ {
				now += 12_000 // 86 requests a second
				serveOne(b, controller, now, id, id%200)
			}
		})
	}
}

func BenchmarkChangeByBackends(b *testing.B) {
	for _, backends := range []int{46, 830, 8300, 83000} {
		b.Run(strconv.Itoa(backends), func(b *testing.B) {
			controller := newSizedController(b, 3, backends)
			change := endpoints(1)
			for b.Loop() {
				change[0].State = EndpointDraining - change[0].State
				controller.UpdateEndpoints(start, UpdateIncremental, change)
			}
		})
	}
}

func BenchmarkTickByGateways(b *testing.B) {
	for _, gateways := range []int{30, 300, 1800, 6500} {
		b.Run(strconv.Itoa(gateways), func(b *testing.B) {
			controller, now := newSizedController(b, gateways, 46), start
			for b.Loop() {
				now += controller.sharing.gossipPeriod
				controller.TimerFired(now, gossipTimer)
			}
		})
	}
}

func BenchmarkRequestByGateways(b *testing.B) {
	for _, gateways := range []int{30, 300, 1800, 6500} {
		b.Run(strconv.Itoa(gateways), func(b *testing.B) {
			controller, now := newSizedController(b, gateways, 46), start
			for id := uint64(0); b.Loop(); id++ {
				now += 12_000
				serveOne(b, controller, now, id, id%200)
			}
		})
	}
}

// BenchmarkSecondByCustomers simulates a second of a gateway per iteration: one request of each active
// customer, and all gossip rounds.
func BenchmarkSecondByCustomers(b *testing.B) {
	for _, customers := range []uint64{60, 300, 1500, 6000} {
		b.Run(strconv.FormatUint(customers, 10), func(b *testing.B) {
			controller, now := newSizedController(b, 300, 46), start
			for id := uint64(0); b.Loop(); id += customers {
				for customer := range customers {
					at := now + Time(customer)*second/Time(customers)
					serveOne(b, controller, at, id+customer, customer)
				}
				for range second / controller.sharing.gossipPeriod {
					now += controller.sharing.gossipPeriod
					controller.TimerFired(now, gossipTimer)
				}
			}
			microseconds := float64(b.Elapsed().Microseconds())
			b.ReportMetric(microseconds/float64(b.N)/float64(customers), "us/customer")
		})
	}
}
