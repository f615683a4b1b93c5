package metrics

import (
	"bytes"
	"os"
	"testing"
)

// The page was recorded with the program of commit d086cf6. Operators' tools depend on its names.
func TestPageMatchesRecordedPage(t *testing.T) {
	want, err := os.ReadFile("testdata/stats.txt")
	if err != nil {
		t.Fatal(err)
	}
	var m Metrics
	for i, class := range m.Classes([]string{"read", "once"}) {
		class.Served.Add(int64(10*i + 1))
		class.Throttled.Add(int64(10*i + 2))
		class.Failed.Add(int64(10*i + 3))
		class.Attempts.Add(int64(10*i + 4))
	}
	m.OpenRequests.Store(31)
	m.Endpoints.Store(32)
	m.UnavailableEndpoints.Store(33)
	m.ConfigsAccepted.Store(34)
	m.ConfigsRejected.Store(35)
	if got := m.Page(); !bytes.Equal(got, want) {
		t.Errorf("got page\n%s, want\n%s", got, want)
	}
}

// A class that one reload removes and a later one adds again continues from its old totals.
func TestClassesKeepTotalsAcrossReloads(t *testing.T) {
	var m Metrics
	before := m.Classes([]string{"read", "once"})
	m.Classes([]string{"strict"})
	after := m.Classes([]string{"once", "read"})
	if after[0] != before[1] || after[1] != before[0] {
		t.Error("a class that was added again got new counters")
	}
}
