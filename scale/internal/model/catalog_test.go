package model

import (
	"net"
	"strings"
	"testing"
)

func TestCatalogListsLatestChangePerBackend(t *testing.T) {
	c := NewCatalog(3, 6379)
	list := string(c.CompleteList())
	ready := strings.Count(list, `"phase":"Ready"`)
	if ready != 3 || !strings.Contains(list, `"revision":1,"complete":true`) {
		t.Errorf("list %s, want 3 ready backends at revision 1", list)
	}
	if _, changed := c.ChangesAfter(1); changed == nil {
		t.Error("ChangesAfter(1) returned no channel, want one because no change follows revision 1")
	}
	c.SetPhase([]int{0, 1}, PhaseTerminating)
	c.SetPhase([]int{1}, PhaseGone)
	body, changed := c.ChangesAfter(1)
	entries, gone := strings.Count(string(body), `"id"`), strings.Count(string(body), string(PhaseGone))
	if changed != nil || entries != 2 || gone != 1 {
		t.Errorf("changes %s, want 2 entries, one of them gone", body)
	}
	if list := string(c.CompleteList()); strings.Count(list, `"id"`) != 2 {
		t.Errorf("list %s, want the 2 backends that are not gone", list)
	}
}

func TestBackendAtInvertsBackendAddress(t *testing.T) {
	for _, backend := range []int{0, 1, 255, 256, 65_535, 65_536, maxBackends - 1} {
		ip := net.ParseIP(BackendAddress(backend)).To4()
		if ip == nil || BackendAt(ip) != backend {
			t.Errorf("backend %d has the address %s", backend, BackendAddress(backend))
		}
	}
}
