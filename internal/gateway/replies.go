package gateway

import (
	"bytes"
	"fmt"
	"strings"

	"sparspread/internal/metrics"
	"sparspread/policy"
)

// Replies that are the gateway's own.
var (
	pongReply   = []byte("+PONG\r\n")
	failedReply = []byte("-ERR failed\r\n")
)

// busyReply rejects a request. A positive after advises the client when to retry, in whole milliseconds.
func busyReply(after policy.Time) []byte {
	if after <= 0 {
		return []byte("-BUSY\r\n")
	}
	return fmt.Appendf(nil, "-BUSY %d\r\n", (after+millisecond-1)/millisecond)
}

func isBusyReply(reply []byte) bool { return bytes.HasPrefix(reply, []byte("-BUSY")) }

// countReply counts a request under what its final reply says.
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

// errorReply is an error as the client gets it, in printable ASCII.
func errorReply(err error) []byte {
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(replaceUnprintable, err.Error()))
}

func replaceUnprintable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}
