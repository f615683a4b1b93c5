package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"
)

// backendAnswer is the first line that a client receives if a backend has answered its request.
const backendAnswer = "$2"

// requestOutcome is the outcome of a client's request.
type requestOutcome struct {
	answer     string // first line of the answer
	sent       int    // number of times that the request was sent after the last rejection
	rejections int    // number of times that the request was rejected and sent again
	err        error
}

// String returns the outcome as text for the message of a failed test.
func (o requestOutcome) String() string {
	return fmt.Sprintf("answer %q, error %v, sent %d times, rejected %d times",
		o.answer, o.err, o.sent, o.rejections)
}

// request sends a request on a new connection. Like a client, it sends the request a second time if the
// connection ends without an answer, because the gateway may have closed it while the request was on the way.
// After a rejection it starts over, until waitTimeout has passed.
func (p *gatewayProcess) request() requestOutcome {
	var o requestOutcome
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); o.rejections++ {
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

// requestOnce sends a request on a new connection and returns the first line of the answer.
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

// lastRequestID is the most recently assigned request ID.
var lastRequestID atomic.Int64

// readCommand returns a read command with a new request ID.
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
