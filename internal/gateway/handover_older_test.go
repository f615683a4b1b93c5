package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/handover"
	"sparspread/internal/handover/olderform"
	"sparspread/internal/porttest"
	"sparspread/policy"
)

// These tests hand over between this program and that of commit d086cf6. The older process is played by the
// test: testdata/session.json has what the older program sent in the situation that olderSituation brings
// about, and handovertest its forms.

const sessionFile = "../handover/testdata/session.json"

// The customers, backends and ids of requests in the recorded session.
const (
	warmBackend    = 1
	ejectedBackend = 2
	coldBackend    = 3
	retryBackend   = 4
	openRequestID  = 3
	spentCustomer  = 'i' // as sendOnce numbers the customers of plan tiny
)

// recordedEndpoints lists the backends of the recorded session: one that is warm, one where nothing listens,
// one that has just started, and another warm one.
func recordedEndpoints(t *testing.T, b *fakeBackend, startedAt policy.Time) []string {
	t.Helper()
	cold := strings.Replace(b.listEntry("s-00000003", "Ready"), `"up_since_ms":0`,
		fmt.Sprintf(`"up_since_ms":%d`, startedAt/1000), 1)
	refusing := listEntry("s-00000002", porttest.Reserve(t), "Ready")
	return []string{b.listEntry("s-00000001", "Ready"), b.listEntry("s-00000004", "Ready"), refusing, cold}
}

// configureRecorded returns the configuration of the recorded session, with another address for clients.
func configureRecorded(t *testing.T, d *fakeDiscovery, listen string) config.Config {
	t.Helper()
	text := strings.Replace(settingsText, `"rate":0.1,`, `"rate":0.0001,`, 1)
	text = strings.Replace(text, `"settles":false`, `"settles":true,"max-units":8`, 1)
	return newConfig(t, d, func(f map[string]any) {
		withOps(f)
		f["listen"] = listen
		f["settings"] = json.RawMessage(text)
	})
}

// inspectLoop returns what a function sees in the loop's goroutine.
func inspectLoop[T any](t *testing.T, r *rig, look func(l *Loop) T) T {
	t.Helper()
	seen := make(chan T, 1)
	r.loop.events.Post(inspect(func(l *Loop) { seen <- look(l) }))
	return wait(t, seen, "the loop")
}

// exportedState returns the state of a gateway as the older program reads it.
func exportedState(t *testing.T, r *rig) olderform.Snapshot {
	t.Helper()
	encoded := inspectLoop(t, r, func(l *Loop) []byte {
		encoded, err := handover.EncodeState(&handover.State{Policy: l.controller.Export(l.events.Now())})
		if err != nil {
			t.Error(err)
		}
		return encoded
	})
	return *decodeOlderState(t, encoded).Module
}

func decodeOlderState(t *testing.T, encoded []byte) olderform.State {
	t.Helper()
	state, err := olderform.DecodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func findBackend(t *testing.T, s olderform.Snapshot, number uint32) olderform.BackendState {
	t.Helper()
	return find(t, s.Backends, func(b olderform.BackendState) bool { return b.Backend == number })
}

func findCustomer(t *testing.T, s olderform.Snapshot, id uint64) olderform.CustomerState {
	t.Helper()
	return find(t, s.Customers, func(c olderform.CustomerState) bool { return c.ID == id })
}

func find[T any](t *testing.T, items []T, matches func(T) bool) T {
	t.Helper()
	i := slices.IndexFunc(items, matches)
	if i < 0 {
		t.Fatalf("none of %+v is the one wanted", items)
	}
	return items[i]
}

// olderPredecessor is the recorded process.
type olderPredecessor struct {
	t         *testing.T
	recording olderRecording
	listener  *net.TCPListener
	link      *olderConn
	clients   []*testClient // whose connections were handed over, in this order
}

// play sends recorded messages up to the next one of a kind, and that.
func (p *olderPredecessor) play(upTo byte) {
	p.t.Helper()
	for len(p.recording.Messages) > 0 {
		m := p.recording.Messages[0]
		p.recording.Messages = p.recording.Messages[1:]
		var sockets []*os.File
		switch m.Kind {
		case olderSockets:
			sockets = append(sockets, socketFile(p.t, p.listener))
		case olderClient:
			sockets = append(sockets, p.newClient())
		}
		p.link.Send(m.Kind, m.Body, sockets...)
		if m.Kind == upTo {
			return
		}
	}
	p.t.Fatalf("no further message %q in the recording", upTo)
}

// newClient connects a client to the older process and returns that side's socket.
func (p *olderPredecessor) newClient() *os.File {
	p.t.Helper()
	side, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = side.Close() }()
	p.clients = append(p.clients, dialClient(p.t, side.Addr().String()))
	conn, err := side.AcceptTCP()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	return socketFile(p.t, conn)
}

func socketFile(t *testing.T, socket interface{ File() (*os.File, error) }) *os.File {
	t.Helper()
	file, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return file
}

// startFromOlder starts a gateway that takes over from a recorded process, up to its request for the state.
// Its clock stands at the time of the recording.
func startFromOlder(t *testing.T) (*olderPredecessor, *rig, *fakeBackend) {
	t.Helper()
	useShortTempDir(t)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	old := &olderPredecessor{t: t, recording: readOlderRecording(t, sessionFile), listener: listener}

	b := newBackend(t)
	d := newFakeDiscovery(t, recordedEndpoints(t, b, old.recording.At)...)
	cfg := configureRecorded(t, d, listener.Addr().String())
	successors := listenAsOlder(t, handover.SocketPath(cfg.Listen))
	started := make(chan *Loop, 1)
	go func() {
		l, err := newLoop(cfg, discardLog(), newFakeClock())
		if err != nil {
			t.Error(err)
		}
		started <- l
	}()
	old.link = acceptAsOlder(t, successors)
	old.link.Expect(olderHello)
	old.play(olderSockets)
	l := wait(t, started, "the gateway")
	if l == nil {
		t.FailNow()
	}
	l.backends.dial.Timeout = testTimeout
	useFakeClock(t, l).shown.Store(old.recording.At)
	r := serveLoop(t, l)
	old.link.Expect(olderTakeover)
	return old, r, b
}

func TestOlderPredecessorHandsOver(t *testing.T) {
	old, r, b := startFromOlder(t)
	recorded := *decodeOlderState(t, old.recording.Messages[0].Body).Module
	old.play(olderStateEnd)
	old.link.Expect(olderAccepted)
	old.play(olderGo)
	waitForReadiness(t, r, 200)

	state := exportedState(t, r)
	if !reflect.DeepEqual(state.Customers, recorded.Customers) {
		t.Errorf("customers\n%+v, want\n%+v", state.Customers, recorded.Customers)
	}
	for _, number := range []uint32{warmBackend, ejectedBackend, coldBackend} {
		got, want := findBackend(t, state, number), findBackend(t, recorded, number)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("backend %d\n%+v, want\n%+v", number, got, want)
		}
	}
	if len(recorded.Open) != 1 || recorded.Open[0].ID != openRequestID {
		t.Fatalf("recorded open requests %+v, want request %d", recorded.Open, openRequestID)
	}
	if n := inspectLoop(t, r, func(l *Loop) int { return l.controller.UnavailableBackends() }); n != 1 {
		t.Errorf("%d backends unavailable, want the ejected one", n)
	}

	old.play(olderClient) // with a command that the older process has read
	b.nextCall(t).replyValue(t, "from its input")
	old.clients[0].wantValue("from its input")
	old.play(olderClient)
	spent := old.clients[1]
	spent.sendOnce(5, "tiny")
	if got := spent.readLine(); got != "-BUSY 2000" {
		t.Errorf("answer %q of a customer whose bucket the older process has emptied, want -BUSY 2000", got)
	}

	old.play(olderAttemptAgain)
	old.play(olderAttemptOver)
	old.link.Close()
	for inspectLoop(t, r, func(l *Loop) bool { return l.takeover.predecessorRuns() }) {
		r.sync(t)
	}
	got, want := findCustomer(t, exportedState(t, r), 7), findCustomer(t, recorded, 7)
	if cost := want.Store[0] - got.Store[0]; cost != 0.5 {
		t.Errorf("the open request's answer cost %g more than its estimate, want 0.5", cost)
	}
	old.clients[2].sendLookup(6, "60000") // the connection came after its answer
	b.nextCall(t).replyValue(t, "ok")
	old.clients[2].wantValue("ok")
}

// recordedSituation is a gateway as the older one was when it was asked to hand over.
type recordedSituation struct {
	rig               *rig
	cfg               config.Config
	backend           *fakeBackend
	idle, spent, open *testClient
	openCall          *backendCall // the open request at its backend
	admitted          int          // requests of customer 7, of one unit each
}

// bringAboutRecorded brings a gateway to that situation: a customer has emptied its bucket, one backend is
// ejected, one is cold, and a request is open.
func bringAboutRecorded(t *testing.T) *recordedSituation {
	t.Helper()
	useShortTempDir(t)
	b := newBackend(t)
	d := newFakeDiscovery(t, b.listEntry("s-00000001", "Ready"))
	s := &recordedSituation{cfg: configureRecorded(t, d, porttest.Reserve(t)), backend: b}
	s.rig = startGateway(t, s.cfg)
	s.idle, s.spent, s.open = s.rig.client(t), s.rig.client(t), s.rig.client(t)
	s.spent.sendOnce(1, "tiny")
	b.nextCall(t).replyValue(t, "one")
	s.spent.wantValue("one")
	s.idle.sendOnce(2, "team")
	b.nextCall(t).replyValue(t, "two")
	s.idle.wantValue("two")
	s.open.sendLookup(3, "60000")
	s.openCall = b.nextCall(t)
	s.admitted = 1

	now := inspectLoop(t, s.rig, func(l *Loop) policy.Time { return l.events.Now() })
	d.setEntries(recordedEndpoints(t, b, now)...)
	d.awaitWatch(t)
	unavailable := func(l *Loop) int { return l.controller.UnavailableBackends() }
	for id := 100; inspectLoop(t, s.rig, unavailable) == 0; id++ {
		c := s.rig.client(t)
		c.sendLookup(id, "60000")
		b.nextCall(t).replyValue(t, "ok")
		c.wantValue("ok")
		closeConn(t, c.conn)
		s.admitted++
	}
	return s
}

// acceptStateAsOlder takes the state as an older successor does, after the gateway has held a command.
func (s *recordedSituation) acceptStateAsOlder(t *testing.T, link *olderConn) olderform.Snapshot {
	t.Helper()
	link.Send(olderHello, nil)
	if sockets := link.Expect(olderSockets); len(sockets.Files) != 1 {
		t.Fatalf("%d sockets, want the listener", len(sockets.Files))
	}
	link.Send(olderTakeover, nil)
	state := decodeOlderState(t, link.ExpectState())
	if state.Version != 1 || len(state.Members) != 4 || state.Module == nil {
		t.Fatalf("version %d with %d endpoints and state %v", state.Version, len(state.Members), state.Module)
	}
	s.idle.sendOnce(4, "team")
	for inspectLoop(t, s.rig, func(l *Loop) int { return len(l.handover.queuedCommands) }) == 0 {
		s.rig.sync(t)
	}
	link.Send(olderAccepted, nil)
	link.Expect(olderGo)
	return *state.Module
}

func TestOlderSuccessorTakesOver(t *testing.T) {
	recording := readOlderRecording(t, sessionFile)
	recorded := *decodeOlderState(t, recording.Messages[1].Body).Module
	s := bringAboutRecorded(t)
	link := dialHandover(t, s.cfg)
	state := s.acceptStateAsOlder(t, link)
	wantRecordedState(t, state, recorded, s.admitted)

	// Both idle connections follow, in any order; one with the command that was held.
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
			t.Fatalf("message %q, want a client", m.Kind)
		}
	}
	isInput := func(m recordedMessage) bool { return m.Kind == olderInput }
	recordedInput := recording.Messages[slices.IndexFunc(recording.Messages, isInput)].Body
	if string(input) != string(recordedInput) {
		t.Errorf("input %q, want %q", input, recordedInput)
	}

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

// wantRecordedState compares what does not depend on the time and on random numbers. Chance is also how many
// requests of customer 7 were admitted until one met the backend that is ejected.
func wantRecordedState(t *testing.T, got, want olderform.Snapshot, admitted int) {
	t.Helper()
	for _, id := range []uint64{spentCustomer, 7} {
		got, want := findCustomer(t, got, id), findCustomer(t, want, id)
		if id == 7 {
			want.Store[0] += want.Taken - float64(admitted)
		}
		if got.Store[0] != want.Store[0] || got.Plan != want.Plan || got.Spread != want.Spread {
			t.Errorf("customer %x\n%+v, want\n%+v", id, got, want)
		}
	}
	if ejected := findBackend(t, got, ejectedBackend); !ejected.Down || ejected.Left == 0 {
		t.Errorf("ejected backend %+v", ejected)
	}
	if cold := findBackend(t, got, coldBackend); cold.Started == 0 || cold.Cold[0] == 0 {
		t.Errorf("cold backend %+v", cold)
	}
	if len(got.Open) != 1 || len(got.Open[0].Attempts) != 1 {
		t.Fatalf("open requests %+v, want one with one attempt", got.Open)
	}
	wantOpen := want.Open[0]
	wantOpen.Attempts[0].At = got.Open[0].Attempts[0].At
	if !reflect.DeepEqual(got.Open[0], wantOpen) {
		t.Errorf("open request %+v, want %+v", got.Open[0], wantOpen)
	}
}

func wantClient(t *testing.T, m olderMessage) {
	t.Helper()
	client, err := olderform.DecodeMessage[olderform.ClientConnection](m.Body)
	if err != nil {
		t.Fatal(err)
	}
	if client.Asked != 1 || client.Opened == 0 || len(m.Files) != 1 {
		t.Errorf("client %+v with %d sockets, want one that asked once", client, len(m.Files))
	}
}

// wantOlderMessage compares a message in its older form; how long an attempt took is not compared.
func wantOlderMessage[T any](t *testing.T, link *olderConn, kind byte, want T) {
	t.Helper()
	got, err := olderform.DecodeMessage[T](link.Expect(kind).Body)
	if err != nil {
		t.Fatal(err)
	}
	if ended, ok := any(&got).(*olderform.AttemptEnded); ok {
		ended.Took = 0
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("message %q with %+v, want %+v", kind, got, want)
	}
}
