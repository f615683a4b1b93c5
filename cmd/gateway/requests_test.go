package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"
)

// backendAnswer is the first line of the answer that backends give.
const backendAnswer = "$2"

// requestOutcome is how a request of a client ended.
type requestOutcome struct {
	answer     string // its first line
	sent       int    // how often the request was sent since the last rejection
	rejections int    // how often the client came again after a rejection
	err        error
}

// String describes the outcome for a test's message.
func (o requestOutcome) String() string {
	return fmt.Sprintf("answer %q, error %v, sent %d times, rejected %d times",
		o.answer, o.err, o.sent, o.rejections)
}

// request sends a request on a connection of its own, as a client does: where the connection ends without an
// answer, the request may have crossed its closing and is sent once more; where it is rejected, the client
// comes again.
func (p *gatewayProcess) request() requestOutcome {
	var o requestOutcome
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); o.rejections++ {
		for o.sent = 1; o.sent <= 2; o.sent++ {
			if o.answer, o.err = p.requestOnce(); o.err == nil {
				break
			}
		}
		o.sent = min(o.sent, 2)
		if o.err != nil || !strings.HasPrefix(o.answer, "-BUSY") {
			return o
		}
	}
	return o
}

// requestOnce sends a request on a connection of its own and returns the first line of the answer.
func (p *gatewayProcess) requestOnce() (string, error) {
	conn, err := dial("tcp", p.host+clientPort, waitTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, readCommand()); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

// lastRequestID is the ID of the request that was sent last.
var lastRequestID atomic.Int64

// readCommand returns a read command with a request ID of its own.
func readCommand() string {
	id := fmt.Sprintf("%016x", lastRequestID.Add(1))
	args := []string{"API.READ", "0000000000000007", id, "c=lookup,t=team,d=60000,units=1,spread=1,first=0"}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}
