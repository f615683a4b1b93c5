package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// The work of the network code alone as the list grows: docs/CAPACITY.md uses these figures.

// longList is a complete list of n endpoints in discovery's form.
func longList(n int) []byte {
	list := discovery.Update{Revision: 7, Complete: true}
	for i := range n {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			ID:      fmt.Sprintf("s-%08x", i+1),
			Address: fmt.Sprintf("127.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255),
			Zone:    "a", Cell: i % 7, Phase: "Ready", CapacityHint: 1,
		})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return text
}

// BenchmarkReadListByMembers measures the decoding of a complete list. docs/CAPACITY.md uses its figures.
func BenchmarkReadListByMembers(b *testing.B) {
	for _, n := range []int{46, 830, 8300, 83000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := longList(n)
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				var list discovery.Update
				if err := list.Read(json.NewDecoder(bytes.NewReader(text))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChangeByMembers measures the loop's work for one changed endpoint, the policy's included.
func BenchmarkChangeByMembers(b *testing.B) {
	for _, n := range []int{46, 830, 8300, 83000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := configure(b, newFakeDiscovery(b), nil)
			l, err := newLoop(cfg, quiet())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.clients.listener.Close() }()
			var list discovery.Update
			if err := json.Unmarshal(longList(n), &list); err != nil {
				b.Fatal(err)
			}
			l.backends.updateEndpoints(l, policy.UpdateComplete, list.Endpoints)
			one := list.Endpoints[:1]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				one[0].Phase = [...]string{"Ready", "Terminating"}[i%2]
				l.backends.updateEndpoints(l, policy.UpdateIncremental, one)
			}
		})
	}
}
