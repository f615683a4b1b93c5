package policy

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// The files in testdata were written by the program of commit d086cf6, with -update. They are what an older
// gateway sends and stores: a program that does not read them, or writes something else, does not
// work with an older one.
var update = flag.Bool("update", false, "write the recorded files anew: only where a form is meant to change")

// recorded compares with a recorded file, or writes it.
func recorded(t *testing.T, name string, got []byte) {
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
		t.Errorf("%s: wrote %d bytes that differ from the %d recorded ones", name, len(got), len(want))
	}
}

// recordedNotes are gossip messages of each kind.
var recordedNotes = []struct {
	name string
	note gossipMessage
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
	{"word", gossipMessage{incarnation: 9, faults: []faultReport{{backend: 0xa1b2c3d4, subject: 254}, {backend: 1, subject: 2}}}},
	{"all", gossipMessage{
		incarnation: 9, inFlight: 0.125, onTimeRate: 8191, sequence: 255, usage: []usageEntry{{customer: 1, replicas: 1, remaining: 1}, {customer: 2, replicas: 2}},
		grants: []grant{{customer: 3, fraction: 1, quotaRequest: 1}}, faults: []faultReport{{backend: 2, subject: 0}},
	}},
}

func writeNote(n gossipMessage) []byte {
	b := messageHeader(n.incarnation, n.inFlight, n.onTimeRate)
	if n.sequence != 0 {
		b = append(b, sequenceItem, n.sequence)
	}
	for i := range n.usage {
		b = n.usage[i].appendTo(b)
	}
	for _, g := range n.grants {
		b = g.appendTo(b)
	}
	for _, w := range n.faults {
		b = w.appendTo(b)
	}
	return b
}

func TestGossipMessagesAreWrittenAsRecorded(t *testing.T) {
	var file bytes.Buffer
	for _, c := range recordedNotes {
		fmt.Fprintf(&file, "%s %x\n", c.name, writeNote(c.note))
	}
	recorded(t, "gossip.txt", file.Bytes())
}

func TestRecordedGossipMessagesAreRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/gossip.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	if len(lines) != len(recordedNotes) {
		t.Fatalf("%d recorded messages, want %d", len(lines), len(recordedNotes))
	}
	for i, line := range lines {
		name, text, _ := strings.Cut(line, " ")
		b, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := decodeGossip(b); !ok || name != recordedNotes[i].name || !reflect.DeepEqual(got, recordedNotes[i].note) {
			t.Errorf("%s: read %+v (%t), want %+v", name, got, ok, recordedNotes[i].note)
		}
		for _, version := range []byte{0, 1, 2, 4} { // of other versions nothing is taken in
			b[0] = version
			if _, ok := decodeGossip(b); ok {
				t.Errorf("%s: a message of version %d was read", name, version)
			}
		}
	}
}

// recordedState brings a gateway to the state that testdata/snapshot.gob holds: customer 7 has used up its bank,
// customer 8 has an open request (40) at backend 1 and customer 9 is told of by a peer; backend 2 is
// down, backend 3 cold.
func recordedState(t *testing.T) *rig {
	t.Helper()
	set := namedSettings()
	set.SettlesCost = true
	r := newRig(t, set)
	peer := namedSettings()
	peer.Self = 1
	other := newRig(t, peer)
	list := members(4)
	list[2].StartedAt = r.at
	r.UpdateEndpoints(r.at, UpdateComplete, list)
	for range 3 {
		other.serve(0, 1, 9, 2)
	}
	tellAll(other, r)
	r.next = 20
	for r.serve(0, 0, 7, 1) { // until nothing is left
	}
	for !r.backendsByID[2].down {
		r.recordConnectionFailure(r.backendsByID[2], ResultConnectFailed)
	}
	r.next = 39
	id, sent := r.ask(1, 1, 8, 3)
	if !sent || id != 40 {
		t.Fatalf("request %d, sent %t", id, sent)
	}
	return r
}

// readSnapshot reads a snapshot in the form in which it is handed over.
func readSnapshot(t *testing.T, raw []byte) *Snapshot {
	t.Helper()
	s := &Snapshot{}
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(s); err != nil {
		t.Fatal(err)
	}
	return s
}

// writeSnapshot writes one.
func writeSnapshot(t *testing.T, s *Snapshot) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// recordedSnapshot reads a recorded snapshot; with -update it writes this one first. Its bytes hold the names of
// packages, which mean nothing to who reads them: what is compared is what they say.
func recordedSnapshot(t *testing.T, name string, now *Snapshot) *Snapshot {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, writeSnapshot(t, now), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return readSnapshot(t, raw)
}

func TestSnapshotIsWrittenAsRecorded(t *testing.T) {
	r := recordedState(t)
	now := r.Export(r.at)
	want := recordedSnapshot(t, "snapshot.gob", now)
	if got := readSnapshot(t, writeSnapshot(t, now)); !reflect.DeepEqual(got, want) {
		t.Errorf("wrote\n%+v, want\n%+v", got, want)
	}
}

// What the program of before has handed over goes on here: nothing is granted twice, a cold backend
// stays cold, one that is left out stays so, and an open request is counted until it ends.
func TestRecordedSnapshotIsTakenOver(t *testing.T) {
	was := recordedState(t)
	s := recordedSnapshot(t, "snapshot.gob", was.Export(was.at))
	set := namedSettings()
	set.SettlesCost = true
	r := newRig(t, set)
	r.at, r.next = was.at, 100
	if err := r.Import(r.at, s); err != nil {
		t.Fatal(err)
	}
	if r.serve(0, 0, 7, 1) {
		t.Error("a burst was granted again")
	}
	near(t, "bank of an open request's customer", r.customers[8].bucket.level, was.customers[8].bucket.level)
	near(t, "bank that a peer has told of", r.customers[9].bucket.level, was.customers[9].bucket.level)
	if !r.backendsByID[2].down || !r.unhealthy(r.backendsByID[2]) {
		t.Error("a backend that is down came back")
	}
	if share := r.slowStartShare(r.backendsByID[3]); share == 1 || share != was.slowStartShare(was.backendsByID[3]) {
		t.Errorf("the cold backend has a share of %g, want %g", share, was.slowStartShare(was.backendsByID[3]))
	}
	if r.backendsByID[3].slowStartBucket != was.backendsByID[3].slowStartBucket {
		t.Errorf("cold backend may be sent %+v, want %+v", r.backendsByID[3].slowStartBucket, was.backendsByID[3].slowStartBucket)
	}
	open := was.requests[40].attempts[0].backend.ID
	if r.backendsByID[open].inFlight != 1 || r.customers[8].inFlight != 1 {
		t.Errorf("out %d, open %d; want 1 of each", r.backendsByID[open].inFlight, r.customers[8].inFlight)
	}
	before := r.customers[8].bucket.level
	r.PredecessorAttemptEnded(r.at, Outcome{RequestID: 40, Backend: open, Result: ResultOK, Latency: second / 10, Answered: true, ActualCost: 5})
	near(t, "bank after the true units", r.customers[8].bucket.level, before-2)
	if r.backendsByID[open].inFlight != 0 || r.customers[8].inFlight != 0 {
		t.Errorf("out %d, open %d after the end", r.backendsByID[open].inFlight, r.customers[8].inFlight)
	}
}

// fillNumbered gives every field a value of its own, in the order of declaration.
func fillNumbered(v reflect.Value, n *int) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillNumbered(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillNumbered(v.Index(0), n)
		fillNumbered(v.Index(1), n)
	case reflect.Array:
		for i := range v.Len() {
			fillNumbered(v.Index(i), n)
		}
	default:
		*n++
		switch v.Kind() {
		case reflect.Bool:
			v.SetBool(true)
		case reflect.String:
			v.SetString(fmt.Sprint("name ", *n))
		case reflect.Float64:
			v.SetFloat(float64(*n) + 0.5)
		case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
			v.SetUint(uint64(*n % 251))
		default:
			v.SetInt(int64(*n))
		}
	}
}

// Every field of a snapshot has its name and its place: a renamed one would be lost without an error.
func TestEveryFieldOfASnapshotIsReadAndWritten(t *testing.T) {
	want, n := Snapshot{}, 0
	fillNumbered(reflect.ValueOf(&want).Elem(), &n)
	got := *recordedSnapshot(t, "snapshot-fields.gob", &want)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v, want\n%+v", got, want)
	}
}

// tokenFake records timers with their tokens.
type tokenFake struct{ *fake }

func (f tokenFake) SetTimer(at Time, token uint32) { f.note("timer %d %d", at, token) }

// recordedPlay has a fleet of gateways meet all kinds of events, drawn by a seed, and returns all that they do
// but what they log.
func recordedPlay(t *testing.T, set Settings, seed uint64) []string {
	t.Helper()
	draw := rand.New(rand.NewPCG(seed, 1))
	var rigs []*rig
	for i := range set.Gateways {
		set.Self = i
		f := &fake{}
		g, err := New(set, 7, tokenFake{f})
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateEndpoints(start, UpdateStale, members(4))
		rigs = append(rigs, &rig{Controller: g, fake: f, t: t, at: start})
	}
	var all []string
	type timer struct {
		at    Time
		token uint32
	}
	due := map[int][]timer{}
	collect := func() {
		for busy := true; busy; {
			busy = false
			for from, r := range rigs {
				done := r.done
				r.done = nil
				for _, line := range done {
					var to int
					var raw []byte
					if strings.HasPrefix(line, "log ") {
						continue
					}
					all = append(all, fmt.Sprintf("%d %s", from, line))
					if n, _ := fmt.Sscanf(line, "tell %d %x", &to, &raw); n == 2 && draw.IntN(20) > 0 {
						rigs[to].GossipReceived(max(r.at, rigs[to].at), from, raw)
						busy = true
					}
					var name uint64
					var add float64
					if n, _ := fmt.Sscanf(line, "count %d %g", &name, &add); n == 2 {
						r.CounterAnswered(r.at, name, Result(draw.IntN(5)/4), add*float64(1+draw.IntN(3)))
						busy = true
					}
					var set timer
					if n, _ := fmt.Sscanf(line, "timer %d %d", &set.at, &set.token); n == 2 {
						due[from] = append(due[from], set)
					}
					var backend uint32
					if n, _ := fmt.Sscanf(line, "probe %d", &backend); n == 1 {
						r.HealthCheckEnded(r.at, backend, Result(draw.IntN(5)), nil)
						busy = true
					}
				}
			}
		}
	}
	for step := range 500 {
		at := start + Time(step)*second/100
		i := draw.IntN(len(rigs))
		r := rigs[i]
		r.at = max(r.at, at)
		if step == 200 {
			r.at += second / 2 // this one stood still
		}
		r.next++
		customer := uint64(draw.IntN(6))
		r.RequestReceived(r.at, Request{
			ID: r.next, Class: draw.IntN(len(set.Classes)), Plan: int(customer) % len(set.Plans),
			Customer: customer, Cost: float64(1+draw.IntN(4)) / 2, Timeout: second * Time(1+draw.IntN(3)),
			FirstReplica: int(customer), Replicas: 1 + int(customer)*5%set.Gateways,
		})
		var open []uint64
		for id := range r.requests {
			open = append(open, id)
		}
		slices.Sort(open)
		for _, id := range open {
			q := r.requests[id]
			if q == nil || len(q.attempts) == 0 || draw.IntN(3) == 0 {
				continue
			}
			if draw.IntN(15) == 0 {
				r.RequestCancelled(r.at, id)
				continue
			}
			n := len(q.attempts) - 1
			all = append(all, fmt.Sprintf("%d holds %d %t", i, id, r.MaySend(r.at, id, n)))
			result := Result(max(0, draw.IntN(20)-12))
			r.AttemptEnded(r.at, Outcome{
				RequestID: id, Attempt: n, Backend: q.attempts[n].backend.ID, Result: result,
				Latency: Time(1+draw.IntN(60)) * second / 100, Answered: result == ResultOK, MeterReading: draw.IntN(150),
				ActualCost: float64(draw.IntN(5)) / 2,
			})
		}
		if step%90 == 50 {
			list := members(6)
			for n := range list {
				list[n].Zone = n % 3
				if draw.IntN(4) == 0 {
					list[n].State = EndpointState(draw.IntN(3))
				}
				if draw.IntN(3) == 0 {
					list[n].StartedAt = at - Time(draw.IntN(3))*second
				}
			}
			for _, r := range rigs {
				r.UpdateEndpoints(max(r.at, at), UpdateKind(draw.IntN(4)), list)
			}
		}
		for i, r := range rigs {
			waiting := due[i]
			due[i] = nil
			for _, when := range waiting {
				if when.at > max(at, r.at) {
					due[i] = append(due[i], when)
					continue
				}
				r.at = max(r.at, when.at, at)
				r.TimerFired(r.at, when.token)
			}
		}
		collect()
	}
	return all
}

// The decisions are the recorded ones, action by action and bit by bit: also in the order in which random
// numbers are drawn and sums are added up.
func TestDecisionsAreTheRecordedOnes(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*Settings)
	}{
		{"gossip-small", func(s *Settings) { s.Gateways, s.SettlesCost = 3, true }},
		{"gossip-wide", func(s *Settings) {
			s.Gateways, s.SettlesCost, s.GossipPerSecond, s.HandshakePrice, s.CrossZonePrice = 9, true, 200, 0.1, 0.2
			s.OverloadFactor, s.MaxCost = 2, 2
		}},
		{"counter", func(s *Settings) {
			s.Gateways, s.Gossip, s.SharedCounter, s.PollEndpoints, s.PollWithin = 2, false, true, true, second
		}},
		{"meter", func(s *Settings) {
			s.Gateways, s.Gossip, s.MeterPeriod, s.HealthChecks, s.Hedging, s.UseCapacityHints = 2, false, second, false, true, true
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := namedSettings()
			c.set(&set)
			text := strings.Join(recordedPlay(t, set, 11), "\n") + "\n"
			recorded(t, "decisions-"+c.name+".txt", []byte(text))
		})
	}
}
