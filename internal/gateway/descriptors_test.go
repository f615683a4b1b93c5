package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"sparspread/internal/descriptors"
	"sparspread/internal/eventloop"
)

// The descriptor budget is computed from the lower one of the configured number and the limit of the
// process. If the limit of the process is lower, one log message reports it.
func TestDescriptorBudgetUsesLowerLimit(t *testing.T) {
	for _, test := range []struct{ configured, process, want, logged int }{
		{configured: 1024, process: 0, want: 1024},
		{configured: 1024, process: 1024, want: 1024},
		{configured: 256, process: 20000, want: 256},
		{configured: 1024, process: 256, want: 256, logged: 1},
	} {
		t.Run(fmt.Sprintf("%d configured, %d allowed", test.configured, test.process), func(t *testing.T) {
			var log bytes.Buffer
			cfg := newConfig(t, newFakeDiscovery(t), func(f map[string]any) {
				f["limits"] = map[string]any{"sockets": test.configured}
			})
			cfg.DescriptorLimit = test.process
			g, err := newGateway(cfg, slog.New(slog.NewTextHandler(&log, nil)), eventloop.SystemClock())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = g.listening.listener.Close() }()
			want := descriptors.NewBudget(test.want, false)
			got := descriptors.Budget{
				PerSide: g.clients.limit, ClientSlots: cap(g.clients.slots), Operators: want.Operators,
			}
			if got != want || g.backends.limit != want.PerSide {
				t.Errorf("got %+v and %d connections to backends, want %+v", got, g.backends.limit, want)
			}
			if got := strings.Count(log.String(), "fewer descriptors than configured"); got != test.logged {
				t.Errorf("got %d log messages about the lower limit, want %d", got, test.logged)
			}
		})
	}
}
