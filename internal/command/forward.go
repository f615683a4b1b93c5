package command

import (
	"strconv"

	"sparspread/internal/resp"
	"sparspread/policy"
)

const (
	// forwardedOverhead is how many bytes a forwarded command takes at most beside those of its arguments.
	maxEncodingOverhead = 72
	// timeoutDigits is how many bytes a new timeout may take beside the old one.
	maxTimeoutGrowth = 8
	decimal          = 10
)

// Forwarded is a request as a backend gets it: as received, but with the timeout that is left. Of a large
// body, whose size is given (0: none), it has only the head.
func Forwarded(args [][]byte, timeoutSpan Span, timeout policy.Time, bodySize int) []byte {
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

// Size is the number of bytes that the arguments of a command hold.
func Size(args [][]byte) int {
	n := 0
	for _, arg := range args {
		n += len(arg)
	}
	return n
}
