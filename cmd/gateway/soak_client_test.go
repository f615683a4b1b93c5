package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"sparspread/internal/sockstate"
)

// The classes of the requests of a soak.
const (
	soakClassSafe   = "track" // may run several times
	soakClassUnsafe = "book"  // must not run twice
)

// soakRequest is a request and what its client has seen of it.
type soakRequest struct {
	id       string
	class    string
	bodySize int           // zero for a class that is safe
	timeout  time.Duration // how long the client waits
	repeated bool          // its ID was sent before
	client   *soakClient

	// Set by the client.
	sentAt     time.Time // when the last byte was written; zero if it was not
	answer     string    // the first line of the answer, or the value; empty if there is none
	answeredAt time.Time
	beganAt    time.Time // when the first line of the answer arrived
}

// isServed reports whether the answer is a value.
func (r *soakRequest) isServed() bool { return r.answer == servedValue(r.id) }

// isRejected reports whether the answer says that the request did not run.
func (r *soakRequest) isRejected() bool { return strings.HasPrefix(r.answer, "-BUSY") }

// encode returns the command of the request.
func (r *soakRequest) encode() string {
	fields := fmt.Sprintf("c=%s,t=business,d=%d,units=1,spread=1,first=0", r.class, r.timeout.Milliseconds())
	args := []string{"API.READ", "0000000000000007", r.id, fields}
	if r.class == soakClassUnsafe {
		args = append(args, strings.Repeat("b", r.bodySize))
		args[0] = "API.WRITE"
	}
	return encodeCommand(args...)
}

// encodeCommand returns the encoding of a command.
func encodeCommand(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

// soakClient is the connection of a client.
type soakClient struct {
	conn *net.TCPConn

	mu       sync.Mutex // guards the fields below, and the requests
	requests []*soakRequest
	pausedTo time.Time // until when the client does not read; it may be in the past
	closedAt time.Time // when the client closed the connection; zero if it did not
	endedAt  time.Time // when the client saw that the gateway has closed the connection; zero if it did not
	closeAt  time.Time // when the close arrived while the client did not read; zero if it did not
}

// dialSoakClient connects a client.
func dialSoakClient(address string) (*soakClient, error) {
	conn, err := dial("tcp", address, waitTimeout)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, net.UnknownNetworkError("connection is not TCP")
	}
	return &soakClient{conn: tcp}, nil
}

// write writes requests behind each other in one piece, and then further input.
func (c *soakClient) write(requests []*soakRequest, behind string) {
	c.append(requests)
	text := encodeAll(requests) + behind
	_ = c.writePieces(text, requests, len(text), 0) // the caller sees what is answered
}

// append records requests that are about to be written.
func (c *soakClient) append(requests []*soakRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range requests {
		r.client = c
		c.requests = append(c.requests, r)
	}
}

// encodeAll returns the commands of requests behind each other.
func encodeAll(requests []*soakRequest) string {
	var text strings.Builder
	for _, r := range requests {
		text.WriteString(r.encode())
	}
	return text.String()
}

// hasEnded reports whether the gateway has closed the connection.
func (c *soakClient) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.endedAt.IsZero()
}

// hasAllAnswers reports whether each request has an answer.
func (c *soakClient) hasAllAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests) == 0 || c.requests[len(c.requests)-1].answer != ""
}

// awaitAnswers waits until each request has an answer or the connection has ended, at the longest for the
// longest timeout and some more time.
func (c *soakClient) awaitAnswers() {
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if c.hasAllAnswers() || c.hasEnded() {
			return
		}
	}
}

// leaveAnswered closes the connection, without leaving requests.
func (c *soakClient) leaveAnswered() {
	time.Sleep(10 * time.Millisecond)
	_ = c.conn.Close()
}

// writePieces writes text in pieces with a pause after each, and records that the requests were sent.
func (c *soakClient) writePieces(
	text string, requests []*soakRequest, size int, pause time.Duration,
) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(c.conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(pause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range requests {
		r.sentAt = time.Now()
	}
	return nil
}

// readAnswers reads an answer for each request, in their order, until the connection ends.
func (c *soakClient) readAnswers() {
	in := bufio.NewReader(c.conn)
	for next := 0; ; {
		c.awaitPauseEnd()
		answer, beganAt, err := c.readAnswer(in)
		arrivedAt := arrivalTime(c.conn)
		c.mu.Lock()
		switch {
		case err != nil:
			if !errors.Is(err, net.ErrClosed) {
				c.endedAt = time.Now()
			}
			c.mu.Unlock()
			return
		case answer == strings.TrimSpace(pongReply):
		case next < len(c.requests):
			r := c.requests[next]
			r.answer, r.beganAt, r.answeredAt = answer, beganAt, arrivedAt
			next++
		}
		c.mu.Unlock()
	}
}

// pauseReading makes the client read no further answer for a time.
func (c *soakClient) pauseReading(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedTo = time.Now().Add(pause)
}

// awaitPauseEnd waits until the client reads again. It records when the gateway closes the connection.
func (c *soakClient) awaitPauseEnd() {
	for {
		c.mu.Lock()
		paused := time.Now().Before(c.pausedTo)
		if paused && c.closeAt.IsZero() && c.hasCloseArrived() {
			c.closeAt = time.Now()
		}
		c.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// hasCloseArrived reports whether the gateway has closed the connection, also behind unread answers.
func (c *soakClient) hasCloseArrived() bool {
	raw, err := c.conn.SyscallConn()
	return err == nil && sockstate.Receive(raw) == sockstate.Closed
}

// sawCloseAfter returns how long after a time the gateway closed the connection.
func (c *soakClient) sawCloseAfter(at time.Time) time.Duration {
	if !c.closeAt.IsZero() {
		return c.closeAt.Sub(at)
	}
	return c.endedAt.Sub(at)
}

// readAnswer reads a line or a value, and returns when its first line arrived.
func (c *soakClient) readAnswer(in *bufio.Reader) (answer string, beganAt time.Time, err error) {
	line, err := in.ReadString('\n')
	beganAt = arrivalTime(c.conn)
	if err != nil {
		return "", beganAt, err
	}
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "$") {
		return line, beganAt, nil
	}
	var size int
	if _, err := fmt.Sscanf(line, "$%d", &size); err != nil {
		return "", beganAt, err
	}
	value := make([]byte, size+len("\r\n"))
	_, err = io.ReadFull(in, value)
	return string(value[:size]), beganAt, err
}

// departure is how a client leaves.
type departure int

// The departures.
const (
	departClose  departure = iota // closes the connection
	departReset                   // resets the connection
	departShut                    // closes its sending side
	departNumber                  // the number of departures
)

// String returns the name of the departure.
func (d departure) String() string { return [departNumber]string{"close", "reset", "shut"}[d] }

// leave ends the connection and records when.
func (c *soakClient) leave(how departure) {
	switch how {
	case departReset:
		_ = c.conn.SetLinger(0)
		_ = c.conn.Close()
	case departShut:
		_ = c.conn.CloseWrite()
	default:
		_ = c.conn.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedAt = time.Now()
}
