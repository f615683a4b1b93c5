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

func (r *Reader) readCommand(streamLast bool) ([][]byte, int, error) {
	for {
		head, err := r.readLine()
		if err != nil {
			return nil, 0, err
		}
		if len(head) == 0 || head[0] != typeArray {
			return nil, 0, malformed("expected an array")
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

// readArgs reads the bulk strings of a command into one buffer, except for a large last one if streamLast.
func (r *Reader) readArgs(count int, streamLast bool) (args [][]byte, streamedSize int, err error) {
	tooLarge := count > MaxArgs
	var ends [MaxArgs]int // of the values, in buf
	buf := make([]byte, 0, initialCommandSize)
	for i := range count {
		mayStream := streamLast && !tooLarge && i > 0 && i == count-1
		maxSize := maxDiscardedValue
		if mayStream {
			maxSize = MaxStreamedValue
		}
		size, err := r.readBulkHead(maxSize)
		if err != nil {
			return nil, 0, unexpectedEOF(err)
		}
		if mayStream && size > MaxValue {
			return splitArgs(buf, ends[:i]), size, nil
		}
		tooLarge = tooLarge || size > MaxValue || len(buf)+size > MaxCommand
		if tooLarge {
			buf = nil
			_, err = r.in.Discard(size)
		} else {
			ends[i] = len(buf) + size
			buf, err = r.appendValue(buf, size)
		}
		if err == nil {
			err = r.readLineEnd()
		}
		if err != nil {
			return nil, 0, unexpectedEOF(err)
		}
	}
	if tooLarge {
		return nil, 0, ErrTooLarge
	}
	return splitArgs(buf, ends[:count]), 0, nil
}

// readBulkHead reads the first line of a bulk string and returns the string's size.
func (r *Reader) readBulkHead(maxSize int) (int, error) {
	head, err := r.readLine()
	if err != nil {
		return 0, err
	}
	if len(head) == 0 || head[0] != typeBulkString {
		return 0, malformed("expected a bulk string")
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
