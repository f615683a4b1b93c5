package gateway

import (
	"bytes"
	"fmt"
	"strings"

	"sparspread/internal/metrics"
	"sparspread/policy"
)

// Replies of the gateway itself.
var (
	pongReply   = []byte("+PONG\r\n")
	failedReply = []byte("-ERR failed\r\n")
)

// busyReply returns the reply that rejects a request. If after is positive, the reply advises the client to
// retry after that time, in whole milliseconds.
func busyReply(after policy.Time) []byte {
	if after <= 0 {
		return []byte("-BUSY\r\n")
	}
	return fmt.Appendf(nil, "-BUSY %d\r\n", (after+millisecond-1)/millisecond)
}

// isBusyReply reports whether a reply to a client is a rejection.
func isBusyReply(reply []byte) bool { return bytes.HasPrefix(reply, []byte("-BUSY")) }

// countReply counts a request by the outcome in its final reply.
func countReply(class *metrics.Class, reply []byte) {
	switch {
	case reply[0] == '$':
		class.Served.Add(1)
	case isBusyReply(reply):
		class.Throttled.Add(1)
	default:
		class.Failed.Add(1)
	}
}

// errorReply returns the reply for an error. Characters other than printable ASCII are replaced.
func errorReply(err error) []byte {
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(replaceUnprintable, err.Error()))
}

// replaceUnprintable returns the character, or '?' if it is not printable ASCII, such as a line end.
func replaceUnprintable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}
