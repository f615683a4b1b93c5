package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// faults contains a service for each way in which calls fail.
var faults = map[string]roundTripFunc{
	"refused": respondUnavailable,
	"refused after queueing": func(r *http.Request) (*http.Response, error) {
		time.Sleep(queueTimeout)
		return respondUnavailable(r)
	},
	"reset":  func(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF },
	"silent": waitForCancellation,
	"dial timeout": func(*http.Request) (*http.Response, error) {
		time.Sleep(maxResponseTimeout)
		return nil, context.DeadlineExceeded
	},
	"list truncated": func(r *http.Request) (*http.Response, error) {
		return respond(r, http.StatusOK, strings.NewReader(oneEndpoint[:40]))
	},
	"list stalls": func(r *http.Request) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader(oneEndpoint[:40]), hangingBody(r.Context().Done()))
		return respond(r, http.StatusOK, body)
	},
	"no response to watch": func(r *http.Request) (*http.Response, error) {
		if r.URL.Query().Get("index") == "" {
			return respond(r, http.StatusOK, strings.NewReader(`{"revision":6,"complete":true,"members":[]}`))
		}
		return waitForCancellation(r)
	},
}

// When a fault ends, whatever its kind and duration, the client reports a change within the delivery limit,
// both from a service for the fleet and from an agent, and also if the address changes at that moment.
func TestClientReportsChangeWithinDeliveryLimitAfterFault(t *testing.T) {
	configs := map[string]Config{"service": serviceConfig(), "agent": agentConfigWithGrace()}
	for name, fault := range faults {
		for mode, config := range configs {
			for _, addressChanges := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, new address %t", name, mode, addressChanges), func(t *testing.T) {
					longest := time.Duration(0)
					for d := 100 * time.Millisecond; d < 20*time.Second; d += 370 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							longest = max(longest, reportDelay(t, config, fault, d, addressChanges))
						})
					}
					if longest > deliveryLimit {
						t.Errorf("reported up to %v after the fault, want within %v", longest, deliveryLimit)
					}
				})
			}
		}
	}
}

// reportDelay returns the time from the end of a fault until the client reports a change. If addressChanges
// is set, the fault does not end at the old address, and the client gets another address at that time.
func reportDelay(
	t *testing.T, config Config, fault roundTripFunc, faultDuration time.Duration, addressChanges bool,
) time.Duration {
	t.Helper()
	config.Seed = uint64(faultDuration) << 20
	reachableAt := time.Now().Add(faultDuration)
	addresses := make(chan string, 1)
	if addressChanges {
		time.AfterFunc(faultDuration, func() { addresses <- "127.0.0.1:2" })
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	reported := timeOfUpdate(ctx, config, addresses,
		roundTripFunc(func(r *http.Request) (*http.Response, error) {
			if time.Now().Before(reachableAt) || addressChanges && r.URL.Host == testAddress {
				return fault(r)
			}
			return respond(r, http.StatusOK, strings.NewReader(oneEndpoint))
		}))
	if reported.IsZero() {
		t.Fatalf("reachable after %v: never reported", faultDuration)
	}
	return reported.Sub(reachableAt)
}

// An outage of the service refuses the calls of all gateways. After it, each gateway gets the change within
// the delivery limit if the service can serve one call of each gateway within the time of a backoff and of
// its queue. At most half of the gateways call within any one second.
func TestFleetGetsChangeWithinDeliveryLimitAfterOutage(t *testing.T) {
	for _, gateways := range []int{3, 300, 6500} {
		for _, secondsForAll := range []time.Duration{1, 2, 4} { // to serve one call of each gateway
			if gateways > 300 && secondsForAll < 4 {
				continue // only the hardest case: it takes seconds and a gigabyte under the race detector
			}
			name := fmt.Sprintf("%d gateways, all served in %d s", gateways, secondsForAll)
			t.Run(name, func(t *testing.T) {
				workPerCall := secondsForAll * time.Second / time.Duration(gateways)
				synctest.Test(t, func(t *testing.T) { testFleetAfterOutage(t, gateways, workPerCall) })
			})
		}
	}
}

// testFleetAfterOutage checks that each gateway gets the list within the delivery limit after an outage of
// the service.
func testFleetAfterOutage(t *testing.T, gateways int, workPerCall time.Duration) {
	t.Helper()
	service := &queueingService{
		workPerCall:    min(workPerCall, queueTimeout/4), // the calls of three gateways fit into its queue
		availableAt:    time.Now().Add(8 * time.Second),
		callsPerSecond: map[time.Duration]int{},
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	reports := make(chan time.Time, gateways)
	for i := range gateways {
		config := serviceConfig()
		config.Seed = uint64(i)<<32 + 7
		go func() { reports <- timeOfUpdate(ctx, config, nil, service) }()
	}
	maxDelay, lateReports, missingReports := time.Duration(0), 0, 0
	for range gateways {
		reported := <-reports
		delay := reported.Sub(service.availableAt)
		maxDelay = max(maxDelay, delay)
		switch {
		case reported.IsZero():
			missingReports++
		case delay > deliveryLimit:
			lateReports++
		}
	}
	maxCalls := service.maxCallsPerSecond()
	t.Logf("served %d, refused %d, last after %v, %d later than %v, %d missing, at most %d calls in a second",
		service.served, service.refused, maxDelay, lateReports, deliveryLimit, missingReports, maxCalls)
	if missingReports > 0 || lateReports > 0 {
		t.Errorf("%d gateways got the change after the delivery limit, %d never", lateReports, missingReports)
	}
	if gateways > 3 && maxCalls > gateways/2 {
		t.Errorf("%d calls within one second, want at most %d", maxCalls, gateways/2)
	}
}
