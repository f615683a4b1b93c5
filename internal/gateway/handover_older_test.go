package gateway

import (
	"reflect"
	"slices"
	"testing"

	"sparspread/internal/handover/olderform"
	"sparspread/policy"
)

// These tests hand over between this version and that of commit d086cf6, whose process is simulated by the
// test: sessionFile contains the messages that it sent in the state that setUpRecordedScenario reproduces,
// and package olderform has the forms of its messages.

// The recorded process hands over to this version: the successor knows what the predecessor has granted and
// learned, receives its clients, and settles the attempts that it had sent.
func TestOlderPredecessorHandsOver(t *testing.T) {
	old, r, b := startAfterOlderPredecessor(t)
	recorded := *decodeOlderState(t, old.recording.Messages[0].Body).Module
	old.replayThrough(olderStateEnd)
	old.link.Expect(olderAccepted)
	old.replayThrough(olderGo)
	waitForReadiness(t, r, 200)

	state := exportedState(t, r)
	if !reflect.DeepEqual(state.Customers, recorded.Customers) {
		t.Errorf("customers: got\n%+v, want\n%+v", state.Customers, recorded.Customers)
	}
	for _, number := range []uint32{warmBackend, ejectedBackend, coldBackend} {
		got, want := findBackend(t, state, number), findBackend(t, recorded, number)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("backend %d: got\n%+v, want\n%+v", number, got, want)
		}
	}
	if len(recorded.Open) != 1 || recorded.Open[0].ID != openRequestID {
		t.Fatalf("got recorded open requests %+v, want only request %d", recorded.Open, openRequestID)
	}
	if n := inspectGateway(t, r, func(g *Gateway) int { return g.controller.UnavailableBackends() }); n != 1 {
		t.Errorf("got %d unavailable backends, want only the ejected one", n)
	}

	old.replayThrough(olderClient) // a client, with a command that the older process has read from it
	old.clients[0].wantServed(b, "from its input")
	old.replayThrough(olderClient)
	spent := old.clients[1]
	spent.sendOnce(5, "tiny")
	if got := spent.readLine(); got != "-BUSY 2000" {
		t.Errorf("customer whose bucket the older process has emptied: got reply %q, want -BUSY 2000", got)
	}

	old.replayThrough(olderAttemptAgain)
	old.replayThrough(olderAttemptOver)
	old.link.Close()
	for inspectGateway(t, r, func(g *Gateway) bool { return g.takeover.isPredecessorDraining() }) {
		r.sync(t)
	}
	got := findCustomer(t, exportedState(t, r), recordedCustomer)
	want := findCustomer(t, recorded, recordedCustomer)
	if cost := want.Store[0] - got.Store[0]; cost != 0.5 {
		t.Errorf("the open request cost %g more than its estimate, want 0.5", cost)
	}
	old.clients[2].sendLookup(6) // its connection was handed over after the reply
	old.clients[2].wantServed(b, "ok")
}

// The older version takes over from this one, which is in the recorded state: it receives the messages that
// the older version sent in this state, in the same forms and order.
func TestOlderSuccessorTakesOver(t *testing.T) {
	recording := readOlderRecording(t, sessionFile)
	recorded := *decodeOlderState(t, recording.Messages[1].Body).Module
	s := setUpRecordedScenario(t)
	link := dialHandover(t, s.cfg)
	state := s.acceptStateAsOlder(t, link)
	wantRecordedState(t, state, recorded, s.admitted)

	// Both idle connections are handed over in any order, one of them with the queued command.
	var input []byte
	for clients := 0; clients < 2; {
		m := link.Receive()
		switch m.Kind {
		case olderInput:
			input = append(input, m.Body...)
		case olderClient:
			wantClient(t, m)
			clients++
		default:
			t.Fatalf("got message %q, want a client", m.Kind)
		}
	}
	isInput := func(m recordedMessage) bool { return m.Kind == olderInput }
	recordedInput := recording.Messages[slices.IndexFunc(recording.Messages, isInput)].Body
	if string(input) != string(recordedInput) {
		t.Errorf("got input %q, want %q", input, recordedInput)
	}

	// Wait until all readers have stopped. Otherwise the last client might be handed over after the end of
	// its attempt was reported.
	s.rig.waitUntil(t, func(g *Gateway) bool {
		return !slices.ContainsFunc(clientList(g), func(c *client) bool { return !c.readerStopped })
	})
	s.rig.runClock()
	s.openCall.reply(t, "-ERR failed\r\n")
	wantOlderMessage(t, link, olderAttemptOver, olderform.AttemptEnded{
		ID: openRequestID, Backend: warmBackend, Result: uint8(policy.ResultFailed),
	})
	wantOlderMessage(t, link, olderAttemptAgain, olderform.AttemptSent{
		ID: openRequestID, Backend: retryBackend,
	})
	s.backend.nextCall(t).reply(t, "*3\r\n$2\r\nok\r\n$15\r\nused=3,cost=1.5\r\n$-1\r\n")
	s.open.wantValue("ok")
	wantClient(t, link.Expect(olderClient))
	wantOlderMessage(t, link, olderAttemptOver, olderform.AttemptEnded{
		ID: openRequestID, Attempt: 1, Backend: retryBackend, Result: uint8(policy.ResultOK),
		Over: true, TrueUnits: 1.5,
	})
}
