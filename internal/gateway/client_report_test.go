package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A client that disconnects while its request is open is counted, and its request is logged.
func TestDisconnectIsLogged(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		defer close(w.unblock)
		var log bytes.Buffer
		w.gateway.log = slog.New(slog.NewTextHandler(&log, nil))
		w.disconnect()
		w.handleDisconnect()
		w.gateway.clients.writeCounts(w.gateway)
		for _, want := range []string{
			"msg=cancelled id=00000000000000a1", "closed=by_client",
			"closed_by_client=1 left_with_open_request=1",
		} {
			if !strings.Contains(log.String(), want) {
				w.t.Errorf("log does not contain %q: %s", want, log.String())
			}
		}
	})
}
