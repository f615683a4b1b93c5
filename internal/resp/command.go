package resp

// initialCommandSize is the initial capacity of a command's buffer, in bytes.
const initialCommandSize = 192

// ReadCommand reads an array of bulk strings and returns their values, which the caller owns. It skips empty
// arrays. If the command exceeds a limit, it is discarded and the error is ErrTooLarge.
func (r *Reader) ReadCommand() ([][]byte, error) {
	args, _, err := r.readCommand(false)
	return args, err
}

// ReadCommandHead reads a command like ReadCommand, but does not read a last value of more than MaxValue
// bytes. It returns that value's size as streamedSize, and the caller reads the value with ReadValueBytes and
// ReadValueEnd. If there is no such value, streamedSize is 0.
func (r *Reader) ReadCommandHead() (args [][]byte, streamedSize int, err error) {
	return r.readCommand(true)
}

// readCommand reads a command. If streamLast is true, it leaves a large last value to the caller.
func (r *Reader) readCommand(streamLast bool) ([][]byte, int, error) {
	for {
		head, err := r.readLine()
		if err != nil {
			return nil, 0, err
		}
		if len(head) == 0 || head[0] != typeArray {
			return nil, 0, protocolError("expected an array")
		}
		count, err := parseLength(head[1:], 0, maxDiscardedArgs)
		if err != nil {
			return nil, 0, err
		}
		if count > 0 {
			return r.readArgs(count, streamLast)
		}
	}
}

// argBuffer holds the concatenated values of a command.
type argBuffer struct {
	values   []byte
	ends     [MaxArgs]int // the offset in values at which each value ends
	tooLarge bool         // the command exceeds a limit, and its values are discarded
}

// readArgs reads the bulk strings of a command. If streamLast is true, it does not read a large last value.
func (r *Reader) readArgs(count int, streamLast bool) (args [][]byte, streamedSize int, err error) {
	b := argBuffer{values: make([]byte, 0, initialCommandSize), tooLarge: count > MaxArgs}
	for i := range count {
		mayStream := streamLast && !b.tooLarge && i > 0 && i == count-1
		size, err := r.readBulkHead(maxArgSize(mayStream))
		if err != nil {
			return nil, 0, unexpectedEOF(err)
		}
		if mayStream && size > MaxValue {
			return splitArgs(b.values, b.ends[:i]), size, nil
		}
		if err := r.readArg(&b, i, size); err != nil {
			return nil, 0, unexpectedEOF(err)
		}
	}
	if b.tooLarge {
		return nil, 0, ErrTooLarge
	}
	return splitArgs(b.values, b.ends[:count]), 0, nil
}

// maxArgSize returns the maximum size of a value. A larger one is a protocol error. It is above MaxValue
// because values over MaxValue are discarded with their command, or streamed.
func maxArgSize(mayStream bool) int {
	if mayStream {
		return MaxStreamedValue
	}
	return maxDiscardedValue
}

// readArg reads the value with index i and the line end after it. It appends the value to the buffer, or
// discards it if the command exceeds a limit.
func (r *Reader) readArg(b *argBuffer, i, size int) (err error) {
	b.tooLarge = b.tooLarge || size > MaxValue || len(b.values)+size > MaxCommand
	if b.tooLarge {
		b.values = nil
		_, err = r.in.Discard(size)
	} else {
		b.ends[i] = len(b.values) + size
		b.values, err = r.appendValue(b.values, size)
	}
	if err != nil {
		return err
	}
	return r.readLineEnd()
}

// readBulkHead reads the first line of a bulk string and returns the string's size. A size above maxSize is a
// protocol error.
func (r *Reader) readBulkHead(maxSize int) (int, error) {
	head, err := r.readLine()
	if err != nil {
		return 0, err
	}
	if len(head) == 0 || head[0] != typeBulkString {
		return 0, protocolError("expected a bulk string")
	}
	return parseLength(head[1:], 0, maxSize)
}

// splitArgs returns the values in buf, each of which ends at the given offset.
func splitArgs(buf []byte, ends []int) [][]byte {
	args := make([][]byte, len(ends))
	start := 0
	for i, end := range ends {
		args[i] = buf[start:end:end]
		start = end
	}
	return args
}
