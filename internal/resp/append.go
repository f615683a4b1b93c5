package resp

import "strconv"

// decimal is the base in which messages contain numbers.
const decimal = 10

// AppendArray appends the head of an array of n values. The caller appends the values after it.
func AppendArray(b []byte, n int) []byte { return appendHead(b, typeArray, n) }

// AppendBulk appends a complete bulk string.
func AppendBulk(b, value []byte) []byte {
	b = append(appendHead(b, typeBulkString, len(value)), value...)
	return append(b, '\r', '\n')
}

// AppendBulkHead appends the head of a bulk string of n bytes. The caller sends the value and its CRLF.
func AppendBulkHead(b []byte, n int) []byte { return appendHead(b, typeBulkString, n) }

// appendHead appends the first line of a value, which consists of its type and its length.
func appendHead(b []byte, kind byte, n int) []byte {
	b = strconv.AppendInt(append(b, kind), int64(n), decimal)
	return append(b, '\r', '\n')
}
