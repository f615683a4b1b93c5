package policy

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"sparspread/internal/testfill"
)

// The files in testdata were written with -update by the gateway of commit d086cf6. They hold what an
// older gateway sends and stores: a gateway that can't read them, or writes something else, is
// incompatible with an older one. The names in them are those of the older gateway.
var update = flag.Bool("update", false, "rewrite the recorded files: only for an intended change of a format")

// assertRecorded compares the bytes with a recorded file. With -update it writes the file first.
func assertRecorded(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the %d bytes differ from the %d recorded ones", name, len(got), len(want))
	}
}

// recordedMessages are gossip messages that together have each kind of item.
var recordedMessages = []struct {
	name    string
	message gossipMessage
}{
	{"head", gossipMessage{incarnation: 0x01020304, inFlight: 2.5, onTimeRate: 40.125}},
	{"turn", gossipMessage{incarnation: 0x01020304, inFlight: 2.5, onTimeRate: 40.125, sequence: 77}},
	{"entry", gossipMessage{incarnation: 9, usage: []usageEntry{{
		customer: 0x1234567890, plan: 3, firstReplica: 258, replicas: 40, consumed: 65000,
		requested: 515, newlyRequested: 200, wantedHalves: 7, quotaRequest: 8, remaining: unpackFraction(181),
	}}}},
	{"grant", gossipMessage{incarnation: 9, grants: []grant{
		{customer: 0x1234567890, fraction: unpackFraction(90), quotaRequest: 5, approved: true},
		{customer: 2, fraction: unpackFraction(1)},
	}}},
	{"word", gossipMessage{incarnation: 9, faults: []faultReport{
		{backend: 0xa1b2c3d4, subject: 254}, {backend: 1, subject: 2},
	}}},
	{"all", gossipMessage{
		incarnation: 9, inFlight: 0.125, onTimeRate: 8191, sequence: 255,
		usage:  []usageEntry{{customer: 1, replicas: 1, remaining: 1}, {customer: 2, replicas: 2}},
		grants: []grant{{customer: 3, fraction: 1, quotaRequest: 1}},
		faults: []faultReport{{backend: 2, subject: 0}},
	}},
}

func encodeMessage(message gossipMessage) []byte {
	b := messageHeader(message.incarnation, message.inFlight, message.onTimeRate)
	if message.sequence != 0 {
		b = append(b, sequenceItem, message.sequence)
	}
	for i := range message.usage {
		b = message.usage[i].appendTo(b)
	}
	for _, g := range message.grants {
		b = g.appendTo(b)
	}
	for _, f := range message.faults {
		b = f.appendTo(b)
	}
	return b
}

func TestGossipEncodingMatchesRecording(t *testing.T) {
	var file bytes.Buffer
	for _, c := range recordedMessages {
		fmt.Fprintf(&file, "%s %x\n", c.name, encodeMessage(c.message))
	}
	assertRecorded(t, "gossip.txt", file.Bytes())
}

func TestDecodeGossipReadsRecording(t *testing.T) {
	raw, err := os.ReadFile("testdata/gossip.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	if len(lines) != len(recordedMessages) {
		t.Fatalf("got %d recorded messages, want %d", len(lines), len(recordedMessages))
	}
	for i, line := range lines {
		want := recordedMessages[i]
		name, text, _ := strings.Cut(line, " ")
		b, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := decodeGossip(b); !ok || name != want.name || !reflect.DeepEqual(got, want.message) {
			t.Errorf("%s: decoded %+v (ok %t), want %+v", name, got, ok, want.message)
		}
		for _, otherVersion := range []byte{0, 1, 2, 4} {
			b[0] = otherVersion
			if _, ok := decodeGossip(b); ok {
				t.Errorf("%s: a message of version %d was decoded", name, otherVersion)
			}
		}
	}
}

// recordedState returns a gateway in the state that testdata/snapshot.gob holds: customer 7 has used
// up its bucket, customer 8 has an open request (40) at backend 1 and customer 9 was reported by a
// peer; backend 2 is down, backend 3 in slow start.
func recordedState(t *testing.T) *harness {
	t.Helper()
	settings := namedSettings()
	settings.SettlesCost = true
	h := newHarness(t, settings)
	peerSettings := namedSettings()
	peerSettings.Self = 1
	peer := newHarness(t, peerSettings)
	list := endpoints(4)
	list[2].StartedAt = h.at
	h.UpdateEndpoints(h.at, UpdateComplete, list)
	for range 3 {
		peer.serve(1, 9, 2)
	}
	gossipRound(peer, h)
	h.nextID = 20
	for h.serve(0, 7, 1) { // until the quota is used up
		continue
	}
	for !h.backends.byID[2].health.isDown {
		h.failConnection(h.backends.byID[2], false)
	}
	h.nextID = 39
	id, sent := h.request(1, 1, 8, 3)
	if !sent || id != 40 {
		t.Fatalf("got request %d, sent %t; want request 40, sent", id, sent)
	}
	return h
}

// recordedSnapshot reads a recorded snapshot; with -update it writes the current one first. Tests compare
// the decoded snapshots, because the bytes include package names, which decoding ignores.
func recordedSnapshot(t *testing.T, name string, current *Snapshot) *Snapshot {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, encodeSnapshot(t, current), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return decodeSnapshot(t, raw)
}

func TestExportMatchesRecordedSnapshot(t *testing.T) {
	h := recordedState(t)
	current := h.Export(h.at)
	want := recordedSnapshot(t, "snapshot.gob", current)
	// Since the recording, this sum counts answers instead of attempts: 8 answers by 3 warm backends.
	want.Pace[0] = 8.0 / 3
	// These fields were added after the recording.
	want.Now, want.Stamps = h.at, [][]Time{nil, nil, {start + second}, nil}
	open := want.Open[0] // the only request that must not run again
	want.Ran, want.RanAt = []uint64{open.ID}, []Time{open.Attempts[0].At}
	if got := decodeSnapshot(t, encodeSnapshot(t, current)); !reflect.DeepEqual(got, want) {
		t.Errorf("exported\n%+v, want\n%+v", got, want)
	}
}

// Guards against an import from an older version that grants a burst again, reinstates an ejected backend,
// ends a slow start, or does not count an open request until it ends.
func TestImportOfRecordedSnapshot(t *testing.T) {
	before := recordedState(t)
	snapshot := recordedSnapshot(t, "snapshot.gob", before.Export(before.at))
	settings := namedSettings()
	settings.SettlesCost = true
	h := newHarness(t, settings)
	h.at, h.nextID = before.at, 100
	if err := h.Import(h.at, snapshot); err != nil {
		t.Fatal(err)
	}
	if h.serve(0, 7, 1) {
		t.Error("a burst was granted again")
	}
	level := func(h *harness, customer uint64) float64 { return h.customers.byID[customer].bucket.level }
	assertNear(t, "bucket with an open request", level(h, 8), level(before, 8))
	assertNear(t, "bucket with usage reported by a peer", level(h, 9), level(before, 9))
	if !h.backends.byID[2].health.isDown || !h.unhealthy(h.backends.byID[2]) {
		t.Error("a backend that is down was reinstated")
	}
	starting, startingBefore := h.backends.byID[3], before.backends.byID[3]
	got, want := h.slowStartShare(starting), before.slowStartShare(startingBefore)
	if got == 1 || got != want {
		t.Errorf("share of the backend in slow start: got %g, want %g", got, want)
	}
	if got, want := starting.slowStart.bucket, startingBefore.slowStart.bucket; got != want {
		t.Errorf("slow start bucket: got %+v, want %+v", got, want)
	}
	assertOpenRequestImported(t, h, before.lastAttempt(40).backend.ID)
}

// assertOpenRequestImported checks that request 40 of customer 8 counts as load of the backend until it ends.
func assertOpenRequestImported(t *testing.T, h *harness, backendID uint32) {
	t.Helper()
	customer, backend := h.customers.byID[8], h.backends.byID[backendID]
	if backend.load.inFlight != 1 || customer.inFlight != 1 {
		t.Errorf("in flight: backend %d, customer %d; want 1 of each",
			backend.load.inFlight, customer.inFlight)
	}
	level := customer.bucket.level
	h.PredecessorAttemptEnded(h.at, Outcome{
		RequestID: 40, Backend: backendID, Result: ResultOK,
		Latency: second / 10, ClientAnswered: true, ActualCost: 5,
	})
	assertNear(t, "bucket after the actual cost", customer.bucket.level, level-2)
	if backend.load.inFlight != 0 || customer.inFlight != 0 {
		t.Errorf("in flight after the end: backend %d, customer %d; want none",
			backend.load.inFlight, customer.inFlight)
	}
}

// recordedStyle determines the values that fill the fields of the recorded snapshot.
var recordedStyle = testfill.Style{
	Text:    func(n int) string { return fmt.Sprint("name ", n) },
	Modulus: 251,
}

// Guards against renamed or moved fields of a snapshot, whose values gob would drop without an error.
func TestSnapshotEncodingKeepsEveryField(t *testing.T) {
	all := testfill.Numbered[Snapshot](recordedStyle)
	if got := decodeSnapshot(t, encodeSnapshot(t, &all)); !reflect.DeepEqual(*got, all) {
		t.Errorf("decoded\n%+v, want\n%+v", *got, all)
	}
	older := all
	// These fields were added after the recording, as the last ones.
	older.Now, older.Stamps, older.Ran, older.RanAt = 0, nil, nil, nil
	if got := *recordedSnapshot(t, "snapshot-fields.gob", &older); !reflect.DeepEqual(got, older) {
		t.Errorf("decoded\n%+v, want\n%+v", got, older)
	}
}
