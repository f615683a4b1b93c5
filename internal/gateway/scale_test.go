package gateway

import (
	"fmt"
	"strconv"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/internal/eventloop"
	"sparspread/policy"
)

// endpoints returns a list of n endpoints.
func endpoints(n int) []discovery.Endpoint {
	list := make([]discovery.Endpoint, 0, n)
	for i := range n {
		list = append(list, discovery.Endpoint{
			ID:      fmt.Sprintf("s-%08x", i+1),
			Address: fmt.Sprintf("127.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255),
			Zone:    "a", Cell: i % 7, Phase: "Ready", CapacityHint: 1,
		})
	}
	return list
}

// BenchmarkChangeByMembers measures an update of one endpoint on the event loop, including the policy, for
// endpoint lists of several lengths. docs/CAPACITY.md uses its figures.
func BenchmarkChangeByMembers(b *testing.B) {
	for _, n := range []int{46, 830, 8300, 83000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cfg := newConfig(b, newFakeDiscovery(b), nil)
			g, err := newGateway(cfg, discardLog(), eventloop.SystemClock())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = g.listening.listener.Close() }()
			list := endpoints(n)
			endpointAdapter{g}.updateEndpoints(policy.UpdateComplete, list)
			one := list[:1]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				one[0].Phase = [...]string{"Ready", "Terminating"}[i%2]
				endpointAdapter{g}.updateEndpoints(policy.UpdateIncremental, one)
			}
		})
	}
}
