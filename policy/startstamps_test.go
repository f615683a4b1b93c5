package policy

import "testing"

func TestStartStampsRetainLastStarts(t *testing.T) {
	var stamps startStamps
	for stamp := Time(1); stamp <= maxKnownStamps+1; stamp++ {
		if !stamps.isNewStart(stamp) {
			t.Errorf("stamp %d known before it was added", stamp)
		}
		stamps.add(stamp)
	}
	if len(stamps.known) != maxKnownStamps || !stamps.isNewStart(1) || stamps.isNewStart(2) {
		t.Errorf("known stamps %v, want the last %d", stamps.known, maxKnownStamps)
	}
	if stamps.isNewStart(0) {
		t.Error("a stamp of zero is reported as a new start")
	}
}

func TestStartStampsIncludesOnlyKnownStamps(t *testing.T) {
	known := startStamps{known: []Time{1, 2}}
	for _, c := range []struct {
		other []Time
		want  bool
	}{{nil, true}, {[]Time{2}, true}, {[]Time{2, 1}, true}, {[]Time{2, 3}, false}} {
		if got := known.includesAll(&startStamps{known: c.other}); got != c.want {
			t.Errorf("%v: got %t, want %t", c.other, got, c.want)
		}
	}
}

func TestInferStartUsesClockIfAnnouncedElseStamp(t *testing.T) {
	for _, c := range []struct {
		name        string
		stamp       Time
		isAnnounced bool
		want        Time
		reason      slowStartReason
	}{
		{name: "announced", stamp: start - 9, isAnnounced: true, want: start, reason: startAnnounced},
		{name: "listed", stamp: start - 9, want: start - 9, reason: startListed},
		{name: "listed with a future stamp", stamp: start + 9, want: start, reason: startListed},
	} {
		if at, reason := inferStart(c.stamp, start, c.isAnnounced); at != c.want || reason != c.reason {
			t.Errorf("%s: got start at %d for reason %v", c.name, at, reason)
		}
	}
}
