package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/counter"
)

// All that may be open at once fits, whatever the limit; where descriptors are not few, clients and
// backends get two in five each.
func TestDescriptorsFitTheLimit(t *testing.T) {
	for sockets := config.MinSockets; sockets <= 4096; sockets++ {
		for _, withCounter := range []bool{false, true} {
			f := budgetDescriptors(sockets, withCounter)
			// streams 3, poller 2, control group 2, listener, peers, door, who stands there, configuration,
			// discovery at two addresses, operators' listener and one more caller than there are places
			sum := f.clientSlots + f.perSide + 3 + 2 + 2 + 5 + 2 + 1 + f.operators + 1
			if withCounter {
				sum += 2 * counter.Connections
			}
			if sum > sockets || f.perSide < 1 || f.operators < 2 {
				t.Fatalf("limit %d, counter %t: up to %d open, %+v", sockets, withCounter, sum, f)
			}
			if even := (sockets - 24) * 2 / 5; f.perSide != even && (sockets >= 64 || !withCounter) {
				t.Errorf("limit %d, counter %t: share %d, want %d", sockets, withCounter, f.perSide, even)
			}
		}
	}
	for sockets, want := range map[int]descriptorBudget{32: {3, 7, 2}, 64: {16, 20, 4}, 256: {92, 115, 12}, 1024: {400, 500, 12}} {
		if got := budgetDescriptors(sockets, false); got != want {
			t.Errorf("limit %d: %+v, want %+v", sockets, got, want)
		}
	}
}

// The lower of two limits counts, and one line says so.
func TestLowerLimitCounts(t *testing.T) {
	for _, c := range []struct{ configured, process, want, lines int }{
		{1024, 0, 1024, 0}, {1024, 1024, 1024, 0}, {256, 20000, 256, 0}, {1024, 256, 256, 1},
	} {
		var log bytes.Buffer
		cfg := configure(t, newFakeDiscovery(t), func(f map[string]any) {
			f["limits"] = map[string]any{"sockets": c.configured}
		})
		cfg.DescriptorLimit = c.process
		l, err := newLoop(cfg, slog.New(slog.NewTextHandler(&log, nil)))
		if err != nil {
			t.Fatal(err)
		}
		l.clients.listener.Close()
		want := budgetDescriptors(c.want, false)
		if l.clients.limit != want.perSide || cap(l.clients.slots) != want.clientSlots || l.backends.limit != want.perSide {
			t.Errorf("%+v: %d clients, %d in all, %d to backends", c, l.clients.limit, cap(l.clients.slots), l.backends.limit)
		}
		if n := strings.Count(log.String(), "fewer descriptors than configured"); n != c.lines {
			t.Errorf("%+v: %d lines", c, n)
		}
	}
}
