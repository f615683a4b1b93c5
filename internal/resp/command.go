package resp

// initialCommandSize is the capacity in bytes that the buffer of a command begins with.
const initialCommandSize = 192

// ReadCommand reads an array of bulk strings and returns their values, which the caller owns. Empty arrays
// are skipped.
func (r *Reader) ReadCommand() ([][]byte, error) {
	args, _, err := r.readCommand(false)
	return args, err
}

// ReadCommandHead reads a command like ReadCommand, except for a last value of more than MaxValue bytes:
// streamedSize is that value's size, 0 where there is none, and the caller reads it with ReadValueBytes and
// ReadValueEnd.
func (r *Reader) ReadCommandHead() (args [][]byte, streamedSize int, err error) {
	return r.readCommand(true)
}

// readCommand reads a command, and with streamLast leaves a large last value to the caller.
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

// argBuffer has the values of a command one behind the other.
type argBuffer struct {
	values   []byte
	ends     [MaxArgs]int // of the values
	tooLarge bool         // the command exceeds a limit: none of its values is kept
}

// readArgs reads the bulk strings of a command into one buffer, except for a large last one if streamLast.
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

// maxArgSize is the largest size that is read, which is more than what is kept: a command with a value over
// MaxValue is discarded, or the value streamed.
func maxArgSize(mayStream bool) int {
	if mayStream {
		return MaxStreamedValue
	}
	return maxDiscardedValue
}

// readArg reads the value with the number i, and its line end, into the buffer, or discards it where the
// command exceeds a limit.
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

// readBulkHead reads the first line of a bulk string and returns the string's size.
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

// splitArgs returns the values that end at the given places of buf.
func splitArgs(buf []byte, ends []int) [][]byte {
	args := make([][]byte, len(ends))
	start := 0
	for i, end := range ends {
		args[i] = buf[start:end:end]
		start = end
	}
	return args
}
