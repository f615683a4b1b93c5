package command

import (
	"strconv"

	"sparspread/internal/resp"
	"sparspread/policy"
)

const (
	// The RESP encoding adds at most maxEncodingOverhead bytes to the arguments.
	maxEncodingOverhead = 72
	// Replacing the timeout lengthens the fields by at most maxTimeoutGrowth bytes.
	maxTimeoutGrowth = 8
	decimal          = 10
)

// EncodeForBackend encodes a request for a backend. It replaces the timeout by the given one, rounded down to
// whole milliseconds but at least 1 ms, and keeps the other arguments as received. If bodySize is not 0, the
// request has a large body of that size, of which only the head is encoded; the caller sends the body itself.
func EncodeForBackend(args [][]byte, timeoutSpan Span, timeout policy.Time, bodySize int) []byte {
	fields := args[FieldsArg]
	newFields := make([]byte, 0, len(fields)+maxTimeoutGrowth)
	newFields = append(newFields, fields[:timeoutSpan.Start]...)
	newFields = strconv.AppendInt(newFields, max(1, timeout/microsecondsPerMS), decimal)
	newFields = append(newFields, fields[timeoutSpan.End:]...)

	count := len(args)
	if bodySize > 0 {
		count++
	}
	b := resp.AppendArray(make([]byte, 0, Size(args)+maxEncodingOverhead), count)
	for i, arg := range args {
		if i == FieldsArg {
			arg = newFields
		}
		b = resp.AppendBulk(b, arg)
	}
	if bodySize > 0 {
		b = resp.AppendBulkHead(b, bodySize)
	}
	return b
}

// Size returns the total number of bytes in the arguments of a command.
func Size(args [][]byte) int {
	n := 0
	for _, arg := range args {
		n += len(arg)
	}
	return n
}
