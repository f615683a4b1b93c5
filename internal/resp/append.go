package resp

import "strconv"

// decimal is the base of the numbers in messages.
const decimal = 10

// AppendArray appends the head of an array of n values, which the caller appends next.
func AppendArray(b []byte, n int) []byte { return appendHead(b, typeArray, n) }

// AppendBulk appends a bulk string.
func AppendBulk(b, value []byte) []byte {
	b = append(appendHead(b, typeBulkString, len(value)), value...)
	return append(b, '\r', '\n')
}

// AppendBulkHead appends the head of a bulk string of n bytes; the caller sends the value and its CRLF.
func AppendBulkHead(b []byte, n int) []byte { return appendHead(b, typeBulkString, n) }

// appendHead appends the first line of a value: its type and a length.
func appendHead(b []byte, kind byte, n int) []byte {
	b = strconv.AppendInt(append(b, kind), int64(n), decimal)
	return append(b, '\r', '\n')
}
