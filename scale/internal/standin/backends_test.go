package standin

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"sparspread/internal/resp"
	"sparspread/scale/internal/model"
)

// shiftedCatalog is a catalog whose clock can be shifted, so that tests do not have to wait.
type shiftedCatalog struct {
	*model.Catalog
	shift atomic.Int64 // offset of the clock, a time.Duration
}

// NotReadyDuration returns the duration at the shifted time.
func (c *shiftedCatalog) NotReadyDuration(backend int, now time.Time) time.Duration {
	return c.Catalog.NotReadyDuration(backend, now.Add(time.Duration(c.shift.Load())))
}

// testCommand returns a command in the form that gateways send.
func testCommand() []byte {
	args := []string{
		"API.READ", "0000000000000007", "0000000000000001",
		"c=lookup,t=team,d=4000,units=1,spread=1,first=0",
	}
	command := resp.AppendArray(nil, len(args))
	for _, arg := range args {
		command = resp.AppendBulk(command, []byte(arg))
	}
	return command
}

// Guards against a check on drains that never finds a violation: commands to a draining backend must be
// counted, both within the grace and after it.
func TestBackendsCountCommandsToDrainingBackend(t *testing.T) {
	const drained = 299
	b, err := NewBackends(t.Context(), time.Millisecond, []int{1}, NewCeilingAudit())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	catalog := &shiftedCatalog{Catalog: model.NewCatalog(drained+1, b.Port())}
	go b.Serve(catalog)
	address := net.JoinHostPort(model.BackendAddress(drained), strconv.Itoa(b.Port()))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	in := resp.NewReader(conn)
	send := func(wantInGrace, wantAfterGrace int64) {
		t.Helper()
		if _, err := conn.Write(testCommand()); err != nil {
			t.Fatal(err)
		}
		if reply, err := in.ReadReply(); err != nil || reply.Kind != '*' {
			t.Fatalf("reply %+v, error %v", reply, err)
		}
		got := b.Counts()
		if got.DrainingInGrace != wantInGrace || got.DrainingAfterGrace != wantAfterGrace {
			t.Errorf("%d commands within the grace, %d after it, want %d and %d",
				got.DrainingInGrace, got.DrainingAfterGrace, wantInGrace, wantAfterGrace)
		}
	}
	catalog.SetPhase([]int{drained}, model.PhaseTerminating)
	catalog.shift.Store(int64(-time.Hour))
	send(1, 0)
	catalog.shift.Store(int64(model.DrainGrace + 2*socketSlack))
	send(1, 1)
	catalog.SetPhase([]int{drained}, model.PhaseReady)
	send(1, 1)
}
