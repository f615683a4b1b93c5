package discovery

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// fetchList fetches the whole list with one call.
func fetchList(t *testing.T, config Config, service http.RoundTripper) (Update, error) {
	t.Helper()
	client, _ := newTestClient(config, service)
	update, finish, err := client.fetch(t.Context(), request{url: testURL})
	if finish != nil {
		finish()
	}
	return update, err
}

// On a busy network, or at a busy gateway, a long list may arrive slowly. It is read as long as data keeps
// arriving, up to the delivery limit.
func TestFetchReadsSlowUpdateUntilDeliveryLimit(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts int
		want  bool
	}{
		{"within the limit", 5, true},
		{"beyond the limit", 12, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				service := respondWith(func(r *http.Request) io.Reader {
					body := &slowBody{cancelled: r.Context().Done(), interval: maxResponseTimeout * 9 / 10}
					for i := range test.parts {
						from, to := i*len(oneEndpoint)/test.parts, (i+1)*len(oneEndpoint)/test.parts
						body.parts = append(body.parts, oneEndpoint[from:to])
					}
					return body
				})
				update, err := fetchList(t, agentConfigWithGrace(), service)
				if got := err == nil && len(update.Endpoints) == 1; got != test.want {
					t.Errorf("read: got %t, want %t; error %v", got, test.want, err)
				}
				if duration := time.Since(started); duration > deliveryLimit {
					t.Errorf("the call lasted %v, want at most %v", duration, deliveryLimit)
				}
			})
		})
	}
}

// An update that is too long for the memory limit is reported as errUpdateTooLarge, and is not fetched again
// in quick succession.
func TestClientLimitsUpdateSizeByMemory(t *testing.T) {
	text := string(listJSON(t, 12_000)) // somewhat over a megabyte
	for _, test := range []struct {
		name        string
		memoryBytes int64
		want        bool
	}{
		{"8 MB", 8 << 20, false},
		{"16 MB", 16 << 20, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := agentConfigWithGrace()
			config.MemoryBytes = test.memoryBytes
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				service := respondWith(func(*http.Request) io.Reader {
					calls++
					return strings.NewReader(text)
				})
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
				defer cancel()
				if got := !timeOfUpdate(ctx, config, nil, service).IsZero(); got != test.want {
					t.Errorf("reported: got %t, want %t", got, test.want)
				}
				if calls > 15 {
					t.Errorf("the update was fetched %d times in 6 s, want at most 15", calls)
				}
				_, err := fetchList(t, config, service)
				if !test.want && !errors.Is(err, errUpdateTooLarge) || test.want && err != nil {
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

// A list of 83,000 endpoints, which takes twelve megabytes, is read with the memory limit of a gateway in a
// fleet of that size.
func TestFetchReadsListOfLargestFleet(t *testing.T) {
	const endpoints = 83_000
	config := agentConfig()
	config.MemoryBytes = 256 << 20
	text := listJSON(t, endpoints)
	synctest.Test(t, func(t *testing.T) {
		service := respondWith(func(*http.Request) io.Reader { return bytes.NewReader(text) })
		update, err := fetchList(t, config, service)
		if err != nil || len(update.Endpoints) != endpoints {
			t.Fatalf("got %d endpoints, want %d; error %v", len(update.Endpoints), endpoints, err)
		}
	})
}
