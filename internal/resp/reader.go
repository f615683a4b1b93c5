package resp

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"strconv"
)

const (
	readBufferSize = 2048
	growthStep     = 4096 // bytes by which a value's buffer may be ahead of what has been received
)

// Reader reads commands or replies from a connection. It is not safe for concurrent use.
type Reader struct {
	in *bufio.Reader
}

// NewReader returns a reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{bufio.NewReaderSize(in, readBufferSize)} }

// Await waits for the first byte of the next message.
func (r *Reader) Await() error {
	_, err := r.in.Peek(1)
	return err
}

// Buffered returns how many bytes were received behind the messages that were read.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// ReadValueBytes reads what has been received of a streamed value, at most len(b) bytes.
func (r *Reader) ReadValueBytes(b []byte) (int, error) {
	n, err := r.in.Read(b)
	return n, unexpectedEOF(err)
}

// ReadValueEnd reads the line end behind a streamed value.
func (r *Reader) ReadValueEnd() error { return unexpectedEOF(r.readLineEnd()) }

// readLine reads a line and returns it without its end. It is valid until the next read.
func (r *Reader) readLine() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, protocolError("line too long")
	case err != nil:
		return nil, err
	case len(b) < 2 || b[len(b)-2] != '\r':
		return nil, protocolError("line does not end in CRLF")
	}
	return b[:len(b)-2], nil
}

// readLineEnd reads the CRLF behind a value.
func (r *Reader) readLineEnd() error {
	var end [2]byte
	for i := range end {
		c, err := r.in.ReadByte()
		if err != nil {
			return err
		}
		end[i] = c
	}
	if end != [2]byte{'\r', '\n'} {
		return protocolError("value does not end in CRLF")
	}
	return nil
}

// appendValue reads size bytes more and appends them to buf. The buffer grows as the bytes are received: many
// peers that announce much and send little must not cost what they announce.
func (r *Reader) appendValue(buf []byte, size int) ([]byte, error) {
	for size > 0 {
		n := min(size, max(growthStep, len(buf)))
		start := len(buf)
		buf = slices.Grow(buf, n)[:start+n]
		if _, err := io.ReadFull(r.in, buf[start:]); err != nil {
			return buf, err
		}
		size -= n
	}
	return buf, nil
}

// parseLength parses the length that follows a message's type.
func parseLength(digits []byte, least, most int) (int, error) {
	n, err := strconv.Atoi(string(digits))
	if err != nil || n < least || n > most {
		return 0, protocolError("invalid length")
	}
	return n, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for the end of the input, which came within a message here, and
// any other error as it is.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
