package policy

import (
	"bytes"
	"encoding/gob"
	"math"
	"os"
	"path/filepath"
	"testing"
)

// gossipSeeds returns messages with each kind of item.
func gossipSeeds() [][]byte {
	usage := &usageEntry{
		customer: 9, replicas: 3, consumed: 8, requested: 16, newlyRequested: 4, wantedHalves: 3,
	}
	message := usage.appendTo(messageHeader(1, 2, 3))
	message = grant{customer: 9, fraction: 0.5, quotaRequest: 1, approved: true}.appendTo(message)
	message = faultReport{backend: 1}.appendTo(message)
	return [][]byte{append(message, sequenceItem, 1), messageHeader(0, 0, 0), {gossipVersion}, nil}
}

// A gateway decides on requests whatever bytes its peers send.
func FuzzGossipReceived(f *testing.F) {
	for _, message := range gossipSeeds() {
		f.Add(message, message)
	}
	f.Fuzz(func(t *testing.T, message, further []byte) {
		for _, gateways := range []int{3, 40} {
			settings := testSettings()
			settings.Gateways, settings.GossipPerSecond = gateways, 60
			h := newHarness(t, settings)
			for i, content := range [][]byte{message, further, message} {
				h.GossipReceived(h.at, 1+i%2, content)
				h.receiveRequest(Request{Customer: 9, Plan: 2, Cost: 1, Timeout: second, Replicas: gateways})
				h.at += second / 10
				h.TimerFired(h.at, gossipTimer)
			}
			for _, customer := range h.customers.inOrder {
				h.refillBuckets(customer) // as before each decision
				if level := customer.bucket.level; math.IsNaN(level) || level > customer.bucket.capacity {
					t.Errorf("customer %d: bucket %v of %v", customer.id, level, customer.bucket.capacity)
				}
			}
		}
	})
}

// A gateway decides on requests whatever state it continues from.
func FuzzImport(f *testing.F) {
	raw, err := os.ReadFile(filepath.Join("testdata", "snapshot.gob"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var snapshot Snapshot
		if gob.NewDecoder(bytes.NewReader(raw)).Decode(&snapshot) != nil {
			return
		}
		h := newHarness(t, testSettings())
		if h.Import(h.at, &snapshot) != nil {
			return
		}
		for range 3 {
			h.receiveRequest(Request{Customer: 9, Plan: 2, Cost: 1, Timeout: second, Replicas: 2})
			h.at += second / 10
			h.TimerFired(h.at, gossipTimer)
		}
	})
}
