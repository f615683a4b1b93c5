package discovery

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sparspread/internal/waittest"
)

// An agent that left a watch unanswered may have changes already, so the next call does not wait for further
// ones.
func TestWatchCallsUnresponsiveAgentAgainWithoutWait(t *testing.T) {
	config := agentConfigWithGrace()
	synctest.Test(t, func(t *testing.T) {
		var queries []string
		var unresponsiveFrom, calledAgain time.Time
		ctx, cancel := context.WithCancel(t.Context())
		timeOfUpdate(ctx, config, nil, roundTripFunc(func(r *http.Request) (*http.Response, error) {
			queries = append(queries, r.URL.RawQuery)
			switch len(queries) {
			case 1:
				const empty = `{"revision":1,"complete":true,"members":[]}`
				return respond(r, http.StatusOK, strings.NewReader(empty))
			case 2:
				unresponsiveFrom = time.Now()
				return waitForCancellation(r)
			}
			calledAgain = time.Now()
			cancel()
			return waitForCancellation(r)
		}))
		if want := []string{"", "index=1&wait=2000", "index=1&wait=0"}; !slices.Equal(queries, want) {
			t.Errorf("got queries %q, want %q", queries, want)
		}
		limit := config.DrainGrace * 4 / 5
		if got := calledAgain.Sub(unresponsiveFrom.Add(watchWait)); got > limit {
			t.Errorf("called again %v after the watch should have ended, want within %v", got, limit)
		}
	})
}

// The watch is cancelled, as it is when the address changes, before an update is read. The update is reported
// nevertheless.
func TestWatchReportsUpdateReadBeforeCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	client, events := newTestClient(agentConfig(), respondWith(func(*http.Request) io.Reader {
		cancel()
		return strings.NewReader(oneEndpoint)
	}))
	client.watchURL(ctx, context.Background(), testURL, nil)
	if len(events) != 1 || (<-events).Update.Revision != testRevision {
		t.Error("an update that was read was not reported")
	}
}

func TestWatchReportsUpdateBeforeEndOfResponse(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	responseEnd := make(chan struct{})
	client, events := newTestClient(agentConfig(), respondWith(func(r *http.Request) io.Reader {
		if r.Context().Err() != nil {
			return strings.NewReader("")
		}
		return io.MultiReader(strings.NewReader(oneEndpoint), callbackAtEOF(func() { <-responseEnd }))
	}))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.watchURL(ctx, context.Background(), testURL, nil)
	}()
	defer func() {
		cancel()
		close(responseEnd)
		<-ended
	}()
	waittest.Receive(t, events, "the update before the end of its response")
}
