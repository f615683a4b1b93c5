package policy

import (
	"math/rand/v2"
	"testing"
)

// testTable returns a table with the given backends, its random source, and slow start parameters.
func testTable(list []Endpoint) (*backendTable, *rand.Rand, *slowStartParameters) {
	settings := testSettings()
	parameters := settings.slowStartParameters()
	table, random := newBackendTable(1, 1), rand.New(rand.NewPCG(1, 2))
	for _, endpoint := range list {
		table.findOrAdd(endpoint, start, random).update(endpoint)
	}
	return &table, random, &parameters
}

func TestCompleteListUnlistsMissingBackends(t *testing.T) {
	for _, c := range []struct {
		kind UpdateKind
		want bool
	}{{UpdateComplete, false}, {UpdateStale, false}, {UpdateIncremental, true}} {
		table, _, _ := testTable(endpoints(2))
		table.beginUpdate(c.kind)
		table.byID[1].update(Endpoint{ID: 1})
		if got := table.byID[2].listed; got != c.want || !table.byID[1].listed {
			t.Errorf("kind %d: missing backend listed %t, want %t", c.kind, got, c.want)
		}
	}
}

func TestBackendUpdateReportsEachStartOnce(t *testing.T) {
	table, _, _ := testTable(endpoints(1))
	backend := table.byID[1]
	for i, c := range []struct {
		stamp Time
		want  bool
	}{{0, false}, {5, true}, {5, false}, {9, true}, {5, false}} {
		backend.health.errorRate, backend.latency.ratio = 0.5, 2
		if got := backend.update(Endpoint{ID: 1, StartedAt: c.stamp}); got != c.want {
			t.Errorf("update %d: started %t, want %t", i, got, c.want)
		}
		if isReset := backend.health.errorRate == 0 && backend.latency.ratio == 0; isReset != c.want {
			t.Errorf("update %d: error rate and latency reset %t, want %t", i, isReset, c.want)
		}
	}
}

func TestPruneRemovesUnusedBackends(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*backend)
		want   bool
	}{
		{name: "listed", change: func(b *backend) { b.listed = true }, want: true},
		{name: "in flight", change: func(b *backend) { b.load.inFlight = 1 }, want: true},
		{name: "in slow start", change: func(b *backend) { b.slowStart.startedAt = start }, want: true},
		{name: "not in use", change: func(*backend) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, _, parameters := testTable(endpoints(2))
			table.byID[1].listed = false
			c.change(table.byID[1])
			table.prune(start, parameters)
			_, removed := table.removed[1]
			if got := table.byID[1] != nil; got != c.want || removed == c.want {
				t.Errorf("kept %t, in removed %t; want kept %t, and in removed if not", got, removed, c.want)
			}
			if want := 1 + int(indicator(c.want)); len(table.inOrder) != want || len(table.byID) != want {
				t.Errorf("%d in order, %d by ID, want %d", len(table.inOrder), len(table.byID), want)
			}
		})
	}
}

func TestRemovedBackendKeepsStartForRetentionTime(t *testing.T) {
	for _, c := range []struct {
		after Time
		want  bool // whether it has a new start when it is listed again
	}{{removedRetention, false}, {removedRetention + 1, true}} {
		endpoint := Endpoint{ID: 1, StartedAt: 5}
		table, random, parameters := testTable([]Endpoint{endpoint})
		table.byID[1].listed, table.byID[1].slowStart.startedAt = false, 1
		table.prune(start, parameters)
		table.sweepRemoved(start + c.after)
		readded := table.findOrAdd(endpoint, start+c.after, random)
		if got := readded.update(endpoint); got != c.want || readded.slowStart.startedAt == 1 == c.want {
			t.Errorf("after %d: new start %t, started at %d", c.after, got, readded.slowStart.startedAt)
		}
	}
}

func TestKnowsMostStarts(t *testing.T) {
	stamped := func(stamps ...Time) []Endpoint {
		list := endpoints(len(stamps))
		for i := range list {
			list[i].StartedAt = stamps[i]
		}
		return list
	}
	for _, c := range []struct {
		name         string
		before, list []Endpoint
		want         bool
	}{
		{name: "empty table", list: stamped(0, 0)},
		{name: "no new start", before: stamped(1, 1), list: stamped(1, 1), want: true},
		{name: "half of the starts new", before: stamped(1, 1), list: stamped(1, 2), want: true},
		{name: "most starts new", before: stamped(1, 1, 1), list: stamped(1, 2, 2)},
		{name: "list without stamps", before: stamped(1, 1), list: stamped(0, 0, 0, 0, 0), want: true},
		{name: "most backends new", before: stamped(1), list: stamped(1, 2, 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, _, _ := testTable(c.before)
			if got := table.knowsMostStarts(c.list); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

func TestCountBackendsUnavailableAndInSlowStart(t *testing.T) {
	table, random, parameters := testTable(endpoints(4))
	table.byID[1].update(Endpoint{ID: 1, State: EndpointDraining})
	table.byID[2].health.isDown = true
	table.findOrAddUnlisted(9, start, random)
	if got := table.countUnavailable(); got != 2 {
		t.Errorf("%d unavailable, want 2: the draining one and the one that is down", got)
	}
	table.byID[1].slowStart.startedAt, table.byID[3].slowStart.startedAt = start, start
	if got := table.countInSlowStart(start, parameters); got != 1 {
		t.Errorf("%d in slow start, want 1: the ready one", got)
	}
}
