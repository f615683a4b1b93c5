package discovery

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"
)

// An agent with a pushed list does not respond while its own source is down. However long that lasts, the
// client calls it again well within the drain grace.
func TestBackoffWithAgentEndsWithinDrainGrace(t *testing.T) {
	config := agentConfigWithGrace()
	client, _ := newTestClient(config, nil)
	limit := config.DrainGrace * 4 / 5
	for _, failures := range []int{0, 1, 5, 60} {
		for _, err := range []error{errRefused, io.ErrUnexpectedEOF} {
			for range 100 {
				if got := client.responseTimeout + client.backoff(failures, err); got > limit {
					t.Fatalf("after %d failures (%v): called again after %v, want within %v",
						failures, err, got, limit)
				}
			}
		}
	}
}

// The backoff after a refused call, plus the wait and the response timeout of the next call, does not exceed
// the delivery limit. Gateways whose calls are refused at the same moment spread over the backoff and stay
// spread. The test draws no other random numbers from the clients, because a client draws none while a
// service refuses its calls.
func TestBackoffAfterRefusalSpreadsGateways(t *testing.T) {
	const (
		gateways = 80
		longest  = deliveryLimit - watchWait - maxResponseTimeout
	)
	clients, nextCall := make([]*Client, gateways), make([]time.Duration, gateways)
	for i := range clients {
		config := serviceConfig()
		config.Seed = uint64(i)<<32 + 7
		clients[i], _ = newTestClient(config, nil)
	}
	for refusals := range 60 {
		perQuarter := [4]int{}
		for i, client := range clients {
			delay := client.backoff(refusals, fmt.Errorf("%w: status 503", errRefused))
			if delay <= 0 || delay > longest {
				t.Fatalf("after %d refusals: backoff %v, want at most %v", refusals, delay, longest)
			}
			nextCall[i] += delay
			perQuarter[int(4*(nextCall[i]%longest)/longest)]++
		}
		if slices.Min(perQuarter[:]) < 8 || slices.Max(perQuarter[:]) > 32 {
			t.Errorf("after %d refusals: %v of %d gateways call in the quarters of %v, want 8 to 32 in each",
				refusals, perQuarter, gateways, longest)
		}
	}
}

// Unanswered calls, unlike refused ones, are repeated within maxUnansweredBackoff.
func TestBackoffAfterUnansweredCallIsLimited(t *testing.T) {
	const limit = maxUnansweredBackoff + time.Millisecond
	for gateway := range uint64(80) {
		config := serviceConfig()
		config.Seed = gateway<<32 + 7
		client, _ := newTestClient(config, nil)
		for failures := range 60 {
			if delay := client.backoff(failures, io.ErrUnexpectedEOF); delay <= 0 || delay > limit {
				t.Fatalf("after %d unanswered calls: backoff %v, want at most %v", failures, delay, limit)
			}
		}
	}
}
