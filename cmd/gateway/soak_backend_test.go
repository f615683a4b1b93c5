package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sparspread/internal/sockstate"
)

// soakBackendMode determines how a soakBackend handles connections and commands.
type soakBackendMode int

// The modes of a soakBackend.
const (
	soakServes      soakBackendMode = iota // answers each command after its work
	soakUnreachable                        // dials get no answer; open connections continue
	soakStalls                             // reads commands, and answers them with BUSY when the mode changes
	soakRejects                            // answers each command with BUSY
	soakFails                              // answers each command with an error
	soakResets                             // reads commands, and resets their connections
	soakReadsSlowly                        // reads 64 KiB in a second, and then answers
)

// soakOutcome is what a backend did with a command.
type soakOutcome int

// The outcomes of a command.
const (
	soakIncomplete soakOutcome = iota // its last byte has not arrived
	soakRan                           // it may have run
	soakNeverRan                      // it was answered with BUSY
)

// soakCall is a command that a backend has received at least in part.
type soakCall struct {
	id          string
	firstByteAt time.Time
	wholeAt     time.Time     // zero if the last byte did not arrive
	timeout     time.Duration // how long the gateway says that it will wait
	outcome     soakOutcome
}

// soakHistory records the calls of all backends. It is safe for concurrent use.
type soakHistory struct {
	mu    sync.Mutex
	calls []*soakCall
}

// begin records a call.
func (h *soakHistory) begin(call *soakCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
}

// end records the outcome of a call.
func (h *soakHistory) end(call *soakCall, wholeAt time.Time, outcome soakOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	call.wholeAt, call.outcome = wholeAt, outcome
}

// byID returns the calls of each request, in the order in which they began.
func (h *soakHistory) byID() map[string][]soakCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls := map[string][]soakCall{}
	for _, call := range h.calls {
		calls[call.id] = append(calls[call.id], *call)
	}
	return calls
}

// soakBackend is a fake backend that records its calls. Its address is its own until the test ends.
type soakBackend struct {
	tb       testing.TB
	number   int
	address  string
	work     time.Duration
	history  *soakHistory
	listener *net.TCPListener

	mu       sync.Mutex // guards the fields below
	mode     soakBackendMode
	modeEnds chan struct{} // closed when the mode changes
}

// newSoakBackend starts a backend that is closed when the test ends.
func newSoakBackend(tb testing.TB, number int, work time.Duration, history *soakHistory) *soakBackend {
	tb.Helper()
	b := &soakBackend{
		tb: tb, number: number, address: uniqueHost() + ownPort, work: work, history: history,
		modeEnds: make(chan struct{}),
	}
	b.listener = listenUntilEnd(tb, b.address)
	go acceptEach(b.listener, func(conn *net.TCPConn) { go b.serve(conn) })
	return b
}

// entry returns the entry of the backend in discovery's list.
func (b *soakBackend) entry(phase string) string {
	return fmt.Sprintf(
		`{"id":"s-%08x","host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":0}`,
		b.number+1, b.address, phase,
	)
}

// setMode changes the mode. Commands that the previous mode holds back are answered.
func (b *soakBackend) setMode(mode soakBackendMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if (mode == soakUnreachable) != (b.mode == soakUnreachable) {
		b.dropDials(mode == soakUnreachable)
	}
	b.mode = mode
	close(b.modeEnds)
	b.modeEnds = make(chan struct{})
}

// dropDials makes the system drop or accept the packets of new dials.
func (b *soakBackend) dropDials(drop bool) {
	raw, err := b.listener.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	var optionErr error
	err = raw.Control(func(socket uintptr) {
		if drop {
			optionErr = attachDropFilter(int(socket))
			return
		}
		optionErr = unix.SetsockoptInt(int(socket), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	if err := errors.Join(err, optionErr); err != nil && !errors.Is(err, net.ErrClosed) {
		b.tb.Error("drop dials: ", err)
	}
}

// currentMode returns the mode, and a channel that is closed when it changes.
func (b *soakBackend) currentMode() (mode soakBackendMode, ends <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mode, b.modeEnds
}

// serve handles the commands of a connection.
func (b *soakBackend) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		call := &soakCall{firstByteAt: arrivalTime(conn)}
		if err := b.readCall(in, call); err != nil {
			return
		}
		mode, ends := b.currentMode()
		wholeAt := time.Now()
		if !b.answer(conn, call, mode, ends, wholeAt) {
			return
		}
	}
}

// arrivalTime returns when the input arrived that was last read from a connection, by the kernel's time: the
// goroutine of the test may be woken later.
func arrivalTime(conn *net.TCPConn) time.Time {
	now := time.Now()
	raw, err := conn.SyscallConn()
	if err != nil {
		return now // the connection is closed
	}
	since, _ := sockstate.SinceLastInput(raw) // zero if it is closed
	return now.Add(-since)
}

// answer answers a call as the mode says. It reports whether the connection can be used further.
func (b *soakBackend) answer(
	conn *net.TCPConn, call *soakCall, mode soakBackendMode, ends <-chan struct{}, wholeAt time.Time,
) bool {
	reply := servedReply(call.id)
	outcome := soakRan
	switch mode {
	case soakStalls:
		<-ends
		reply, outcome = rejectedAnswer, soakNeverRan
	case soakRejects:
		reply, outcome = rejectedAnswer, soakNeverRan
	case soakFails:
		reply = failedAnswer
	case soakResets:
		b.history.end(call, wholeAt, outcome)
		return conn.SetLinger(0) != nil // closed by the caller
	default:
		time.Sleep(b.work)
	}
	b.history.end(call, wholeAt, outcome)
	if mode == soakResets {
		return false
	}
	if strings.HasPrefix(call.id, slowValuePrefix) {
		return writeSlowly(conn, reply) == nil
	}
	_, err := io.WriteString(conn, reply)
	return err == nil
}

// writeSlowly writes 200 KiB in a second.
func writeSlowly(conn *net.TCPConn, text string) error {
	const step, pause = 8 << 10, 40 * time.Millisecond
	for len(text) > 0 {
		n := min(len(text), step)
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return nil
}

// readCall reads a command and records it once its ID has been read.
func (b *soakBackend) readCall(in *bufio.Reader, call *soakCall) error {
	count, err := readLength(in, '*')
	if err != nil {
		return err
	}
	for i := range count {
		size, err := readLength(in, '$')
		if err != nil {
			return err
		}
		if i == count-1 && i >= minBackendArgs {
			return b.skipBody(in, size)
		}
		arg := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(in, arg); err != nil {
			return err
		}
		switch text := string(arg[:size]); i {
		case minBackendArgs - 2:
			call.id = text
		case minBackendArgs - 1:
			call.timeout = timeoutField(text)
			b.history.begin(call)
		}
	}
	return nil
}

// skipBody reads the last value of a command and the line end after it.
func (b *soakBackend) skipBody(in *bufio.Reader, size int) error {
	const slowStep, slowPause = 4 << 10, 62 * time.Millisecond
	for remaining := size + len("\r\n"); remaining > 0; {
		step := min(remaining, slowStep)
		if _, err := io.CopyN(io.Discard, in, int64(step)); err != nil {
			return err
		}
		remaining -= step
		if mode, ends := b.currentMode(); mode == soakReadsSlowly {
			select {
			case <-ends:
			case <-time.After(slowPause):
			}
		}
	}
	return nil
}

// timeoutField returns the field d of a command.
func timeoutField(fields string) time.Duration {
	for _, field := range strings.Split(fields, ",") {
		if milliseconds, ok := strings.CutPrefix(field, "d="); ok {
			n, _ := strconv.Atoi(milliseconds) // the gateway is checked, and writes a number
			return time.Duration(n) * time.Millisecond
		}
	}
	return 0
}

var errSoakFraming = errors.New("soak: unexpected line")

// readLength reads a line that consists of a type and a length.
func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%w: %q", errSoakFraming, line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// The IDs of requests that are served with a large value begin with one of these.
const (
	largeValuePrefix = "ff" // the value has largeValueSize bytes
	slowValuePrefix  = "fe" // the value has slowValueSize bytes, and is written slowly

	largeValueSize = 60 << 10
	slowValueSize  = 120 << 10 // more than the gateway keeps in memory
)

// servedValue returns the value of a request.
func servedValue(id string) string {
	value := "value of " + id
	switch {
	case strings.HasPrefix(id, largeValuePrefix):
		value += strings.Repeat(".", largeValueSize-len(value))
	case strings.HasPrefix(id, slowValuePrefix):
		value += strings.Repeat(".", slowValueSize-len(value))
	}
	return value
}

// servedReply returns the answer of a backend that has served a request.
func servedReply(id string) string {
	value := servedValue(id)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
