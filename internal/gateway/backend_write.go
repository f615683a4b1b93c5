package gateway

import (
	"sparspread/internal/command"
	"sparspread/policy"
)

// loadReportPull is the value of the setting report.via with which health checks request a load report.
const loadReportPull = "pull"

// Commands of health checks.
var (
	pingCommand     = []byte("*1\r\n$4\r\nPING\r\n")
	infoLoadCommand = []byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
)

// writeAttempt writes an attempt to an idle connection. It returns true if the attempt was written or has
// ended. Otherwise the connection was broken and is closed, nothing was sent, and the attempt can use
// another connection.
func (bs *backends) writeAttempt(c *backendConn, a *attempt) bool {
	if c.backend.state != policy.EndpointReady {
		// The backend started to drain while the attempt waited for the connection.
		bs.endAttempt(a, policy.ResultNotSent)
		bs.close(c, closeNotReady)
		return true
	}
	if c.hasUnsolicitedInput() {
		bs.close(c, closeUnsolicitedInput)
		return false
	}
	command := bs.attempts.attemptCommand(a)
	n, err := c.writer.TryWrite(command)
	if err != nil {
		bs.close(c, closeWriteFailed)
		return false
	}
	if n < len(command) {
		c.writer.Send(command[n:])
	} else if a.request != nil && a.request.body == nil {
		a.markFullyWritten()
	}
	c.attempt, a.conn = a, c
	if a.request != nil {
		a.request.waitingAttempt = nil
		a.request.body.assignConn(c)
	}
	return true
}

// attemptCommand returns the bytes to write for an attempt, without a large body.
func (g *Gateway) attemptCommand(a *attempt) []byte {
	switch {
	case a.request != nil:
		return a.request.forwardedCommand(a.expiresAt - g.events.Now())
	case g.config.Host.ReportVia == loadReportPull:
		return infoLoadCommand
	default:
		return pingCommand
	}
}

// forwardedCommand returns the request in the form for a backend. It includes the length of a large body,
// but not the body.
func (r *request) forwardedCommand(timeout policy.Time) []byte {
	bodySize := 0
	if r.body != nil {
		bodySize = r.body.size
	}
	return command.EncodeForBackend(r.args, r.timeoutSpan, timeout, bodySize)
}
