package gateway

import (
	"sparspread/internal/command"
	"sparspread/policy"
)

// loadReportPull is the setting by which health checks ask for a load report.
const loadReportPull = "pull"

// The commands of a health check.
var (
	pingCommand     = []byte("*1\r\n$4\r\nPING\r\n")
	infoLoadCommand = []byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
)

// write writes an attempt to an idle connection. It reports whether the attempt is on its way or ended; if
// not, the connection proved broken, nothing was sent, and the attempt may go on another one.
func (bs *backends) writeAttempt(c *backendConn, a *attempt) bool {
	if c.backend.state != policy.EndpointReady {
		// The backend began to drain while the attempt waited for its connection.
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
		c.writer.Send(command[n:], len(command))
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

// attemptCommand is what an attempt writes, but for a large body.
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

// forwarded is the request as a backend gets it; of a large body it has only the head.
func (r *request) forwardedCommand(timeout policy.Time) []byte {
	bodySize := 0
	if r.body != nil {
		bodySize = r.body.size
	}
	return command.Forwarded(r.args, r.timeoutSpan, timeout, bodySize)
}
