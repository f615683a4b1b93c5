package gateway

import (
	"bytes"
	"os"
	"testing"
)

// The page of /ops/stats was recorded from the program of commit d086cf6: operators' tools read it by these
// names.
func TestStatsPageIsWrittenAsRecorded(t *testing.T) {
	want, err := os.ReadFile("testdata/stats.txt")
	if err != nil {
		t.Fatal(err)
	}
	f := &metrics{}
	for i, c := range f.forClasses([]string{"read", "once"}) {
		c.fulfilled.Add(int64(10*i + 1))
		c.throttled.Add(int64(10*i + 2))
		c.faulted.Add(int64(10*i + 3))
		c.relayed.Add(int64(10*i + 4))
	}
	f.open.Store(31)
	f.listed.Store(32)
	f.outOfRotation.Store(33)
	f.configsAccepted.Store(34)
	f.configsRejected.Store(35)
	if got := f.page(); !bytes.Equal(got, want) {
		t.Errorf("page\n%s, want\n%s", got, want)
	}
}
