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
	// minGrowth is the minimum number of bytes by which the buffer of a value grows. If the buffer already
	// holds more, it doubles.
	minGrowth = 4096
)

// Reader reads commands or replies from a connection. It is not safe for concurrent use.
type Reader struct {
	in *bufio.Reader
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{bufio.NewReaderSize(in, readBufferSize)} }

// AwaitMessage waits until the first byte of the next message has been received.
func (r *Reader) AwaitMessage() error {
	_, err := r.in.Peek(1)
	return err
}

// Buffered returns the number of bytes that were received but not yet read as part of a message.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// TakeBuffered removes and returns the bytes that were received but not yet read as part of a message.
func (r *Reader) TakeBuffered() []byte {
	buffered, _ := r.in.Peek(r.in.Buffered()) // cannot fail, because the bytes are buffered
	taken := slices.Clone(buffered)
	_, _ = r.in.Discard(len(taken))
	return taken
}

// ReadValueBytes reads the next bytes of a streamed value, at most len(b). It returns as soon as some are
// available.
func (r *Reader) ReadValueBytes(b []byte) (int, error) {
	n, err := r.in.Read(b)
	return n, unexpectedEOF(err)
}

// ReadValueEnd reads the line end after a streamed value.
func (r *Reader) ReadValueEnd() error { return unexpectedEOF(r.readLineEnd()) }

// StreamedValue reads a streamed value and the line end after it. A read that was interrupted by a deadline
// can be continued. It is not safe for concurrent use.
type StreamedValue struct {
	in        *Reader
	remaining int     // number of bytes of the value that were not read yet
	lineEnd   [2]byte // the line end after the value
	endBytes  int     // number of bytes of the line end that were read
}

// NewStreamedValue returns the next size bytes as a value with a line end after it.
func (r *Reader) NewStreamedValue(size int) *StreamedValue {
	return &StreamedValue{in: r, remaining: size}
}

// Remaining returns the number of bytes of the value that were not read yet, without the line end.
func (v *StreamedValue) Remaining() int { return v.remaining }

// Read implements io.Reader. After the last byte of the value it reads the line end, and returns io.EOF.
func (v *StreamedValue) Read(b []byte) (int, error) {
	if v.remaining > 0 {
		n, err := v.in.ReadValueBytes(b[:min(len(b), v.remaining)])
		v.remaining -= n
		return n, err
	}
	for v.endBytes < len(v.lineEnd) {
		c, err := v.in.in.ReadByte()
		if err != nil {
			return 0, unexpectedEOF(err)
		}
		v.lineEnd[v.endBytes] = c
		v.endBytes++
	}
	if err := checkLineEnd(v.lineEnd); err != nil {
		return 0, err
	}
	return 0, io.EOF
}

// readLine reads a line and returns it without its CRLF. The slice is valid until the next read.
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

// readLineEnd reads the CRLF after a value.
func (r *Reader) readLineEnd() error {
	var end [2]byte
	for i := range end {
		c, err := r.in.ReadByte()
		if err != nil {
			return err
		}
		end[i] = c
	}
	return checkLineEnd(end)
}

// checkLineEnd returns an error if the bytes after a value are no line end.
func checkLineEnd(end [2]byte) error {
	if end != [2]byte{'\r', '\n'} {
		return protocolError("value does not end in CRLF")
	}
	return nil
}

// appendValue reads size bytes and appends them to buf. The buffer grows only as bytes are received, so that
// peers that announce large values but send little do not make the reader allocate the announced sizes.
func (r *Reader) appendValue(buf []byte, size int) ([]byte, error) {
	for size > 0 {
		n := min(size, max(minGrowth, len(buf)))
		start := len(buf)
		buf = slices.Grow(buf, n)[:start+n]
		if _, err := io.ReadFull(r.in, buf[start:]); err != nil {
			return buf, err
		}
		size -= n
	}
	return buf, nil
}

// parseLength parses the length after a message's type, and checks that it is from lowest to highest.
func parseLength(digits []byte, lowest, highest int) (int, error) {
	n, err := strconv.Atoi(string(digits))
	if err != nil || n < lowest || n > highest {
		return 0, protocolError("invalid length")
	}
	return n, nil
}

// unexpectedEOF converts io.EOF, which here means that the input ended within a message, to
// io.ErrUnexpectedEOF. It returns other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
