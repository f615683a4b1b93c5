package policy

import (
	"bytes"
	"encoding/gob"
	"errors"
	"slices"
	"testing"
)

// encodeSnapshot encodes a snapshot as a handover does.
func encodeSnapshot(t *testing.T, snapshot *Snapshot) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(snapshot); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func decodeSnapshot(t *testing.T, raw []byte) *Snapshot {
	t.Helper()
	snapshot := &Snapshot{}
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(snapshot); err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// successor returns a harness that has imported the exported snapshot of this one.
func (h *harness) successor(t *testing.T, settings Settings) *harness {
	t.Helper()
	snapshot := decodeSnapshot(t, encodeSnapshot(t, h.Export(h.at)))
	next := newHarness(t, settings)
	next.at, next.nextID = max(next.at, h.at), h.nextID
	if err := next.Import(next.at, snapshot); err != nil {
		t.Fatal(err)
	}
	return next
}

// An ejected backend stays ejected, and latencies follow the names of their classes.
func TestHandoverKeepsBackendHealthAndLatency(t *testing.T) {
	h := newHarness(t, namedSettings())
	h.backends.byID[2].health.isDown, h.backends.byID[2].health.nextProbeAt = true, h.at+second
	h.latency.byClass[0] = movingAverage{value: 1000, samples: 5}
	settings := namedSettings()
	settings.Classes[0], settings.Classes[2] = settings.Classes[2], settings.Classes[0]
	next := h.successor(t, settings)
	if !next.backends.byID[2].health.isDown || !next.unhealthy(next.backends.byID[2]) {
		t.Error("a backend that is down was reinstated by the handover")
	}
	assertNear(t, "latency of the class", next.latency.byClass[2].value, 1000)
	assertNear(t, "latency of another class", next.latency.byClass[0].value, 0)
}

func TestImportRejectsIndexOutOfRange(t *testing.T) {
	for name, snapshot := range map[string]*Snapshot{
		"customer": {Customers: []CustomerState{{Plan: 1}}},
		"open":     {Plans: []string{"p"}, Open: []OpenState{{Class: 0}}},
		"base":     {Base: [][2]float64{{1, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, namedSettings())
			if err := h.Import(h.at, snapshot); !errors.Is(err, ErrSnapshotIndex) {
				t.Errorf("got error %v, want ErrSnapshotIndex", err)
			}
		})
	}
}

// Guards against units that are reported to a coordinator twice or never after a handover. A participant's
// usage is handed over by coordinator. An older version has one coordinator, to which it reported all usage.
func TestHandoverKeepsUsageByCoordinator(t *testing.T) {
	settings := namedSettings()
	settings.Gateways, settings.MaxCost = 12, 1
	settings.Plans[0].Rate, settings.Plans[0].Burst = 60, 60
	h := newHarness(t, settings)
	first := 0
	for !h.sharing.grantsQuota(&account{id: 9, firstReplica: first, replicas: 12}) {
		first++
	}
	customer := h.customerRecord(h.sharing.newAccount(9, 0, first, 12))
	if n := h.sharing.coordinatorCount(&customer.account); n < 2 {
		t.Fatalf("got %d coordinators, want at least 2", n)
	}
	*customer.usage.forCoordinator(1) = customerUsage{consumed: 5, requested: 8, requestedReported: 7}
	*customer.usage.forCoordinator(0) = customerUsage{consumed: 2, requested: 3, requestedReported: 3}
	customer.usage.customerUsage = customerUsage{consumed: 7, requested: 11, requestedReported: 10}
	got := h.successor(t, settings).customers.byID[9].usage.byCoordinator
	if !slices.Equal(got, customer.usage.byCoordinator) {
		t.Errorf("usage by coordinator: got %v, want %v", got, customer.usage.byCoordinator)
	}
	snapshot := h.Export(h.at)
	full := tokenBucket{level: 60, rate: 60, capacity: 60, updatedAt: h.at}
	for i := range snapshot.Customers {
		snapshot.Customers[i].Tallies, snapshot.Customers[i].Store = nil, encodeBucket(full)
	}
	next := newHarness(t, settings)
	if err := next.Import(next.at, snapshot); err != nil {
		t.Fatal(err)
	}
	imported := next.customers.byID[9]
	want := []customerUsage{customer.usage.customerUsage}
	if !slices.Equal(imported.usage.byCoordinator, want) {
		t.Errorf("usage by coordinator from an older version: got %v, want %v",
			imported.usage.byCoordinator, want)
	}
	if part := 60 / float64(next.sharing.coordinatorCount(&imported.account)); imported.bucket.level > part {
		t.Errorf("bucket level at a coordinator: got %g, want at most its part %g of the burst",
			imported.bucket.level, part)
	}
}
