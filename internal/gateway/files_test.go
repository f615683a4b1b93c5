package gateway

import "testing"

// All that may be open at once fits, whatever the limit; where descriptors are not few, clients and
// backends get two in five each.
func TestDescriptorsFitTheLimit(t *testing.T) {
	for sockets := leastSockets; sockets <= 4096; sockets++ {
		for _, counter := range []bool{false, true} {
			f := shareOut(sockets, counter)
			// streams 3, poller 2, control group 2, listener, peers, door, who stands there, configuration,
			// discovery at two addresses, operators' listener and one more caller than there are places
			sum := f.room + f.share + 3 + 2 + 2 + 5 + 2 + 1 + f.callers + 1
			if counter {
				sum += 2 * countLines
			}
			if sum > sockets || f.share < 1 || f.callers < 2 {
				t.Fatalf("limit %d, counter %t: up to %d open, %+v", sockets, counter, sum, f)
			}
			if even := (sockets - 24) * 2 / 5; f.share != even && (sockets >= 64 || !counter) {
				t.Errorf("limit %d, counter %t: share %d, want %d", sockets, counter, f.share, even)
			}
		}
	}
	for sockets, want := range map[int]files{32: {3, 7, 2}, 64: {16, 20, 4}, 256: {92, 115, 12}, 1024: {400, 500, 12}} {
		if got := shareOut(sockets, false); got != want {
			t.Errorf("limit %d: %+v, want %+v", sockets, got, want)
		}
	}
}
