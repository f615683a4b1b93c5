package resp

import "bytes"

// Reply is a server's answer to a command.
type Reply struct {
	Kind  byte    // '+', '-', ':', '$' or '*'
	Null  bool    // a null string or array
	Text  []byte  // the value, except of arrays
	Items []Reply // the values of an array
	// StreamedSize is the size in bytes of the first value of an array where the caller has to read it: with
	// ReadValueBytes until it is complete, then ReadValueEnd, then ReadRemainingItems. It is 0 where all was
	// read.
	StreamedSize int

	unreadItems int // values behind the one of size StreamedSize
}

// ReadReply reads one reply, which may be an array but no array of arrays. With an error it returns the
// values of an array that were read before it. Where the first value of an array exceeds MaxValue it is left
// to the caller.
func (r *Reader) ReadReply() (Reply, error) { return r.readReply(true) }

// ReadRemainingItems reads the values of an array that follow a streamed one.
func (r *Reader) ReadRemainingItems(reply Reply) (Reply, error) {
	for range reply.unreadItems {
		item, err := r.readReply(false)
		if err != nil {
			return reply, unexpectedEOF(err)
		}
		reply.Items = append(reply.Items, item)
	}
	return reply, nil
}

// readReply reads a reply where topLevel, else a value of an array.
func (r *Reader) readReply(topLevel bool) (Reply, error) {
	head, err := r.readLine()
	if err != nil {
		return Reply{}, err
	}
	if len(head) == 0 {
		return Reply{}, protocolError("empty line")
	}
	kind, rest := head[0], head[1:]
	switch kind {
	case typeSimpleString, typeError, typeInteger:
		return Reply{Kind: kind, Text: bytes.Clone(rest)}, nil
	case typeBulkString:
		maxSize := MaxStreamedValue
		if topLevel {
			maxSize = MaxValue // only an array's value may be streamed
		}
		return r.readBulkReply(rest, maxSize)
	case typeArray:
		count, err := parseLength(rest, -1, MaxArgs)
		if err != nil || !topLevel {
			return Reply{Kind: kind}, protocolError("unexpected array")
		}
		return r.readArrayReply(count)
	}
	return Reply{Kind: kind}, protocolError("unknown kind of reply")
}

// readBulkReply reads a bulk string whose first line announced the given length. It leaves the value of one
// that exceeds MaxValue.
func (r *Reader) readBulkReply(length []byte, maxSize int) (Reply, error) {
	reply := Reply{Kind: typeBulkString}
	size, err := parseLength(length, -1, maxSize)
	if err != nil {
		return reply, err
	}
	if size < 0 {
		reply.Null = true
		return reply, nil
	}
	if size > MaxValue {
		reply.StreamedSize = size
		return reply, nil
	}
	if reply.Text, err = r.appendValue(nil, size); err == nil {
		err = r.readLineEnd()
	}
	return reply, unexpectedEOF(err)
}

// readArrayReply reads the values of an array; a negative count is that of a null array.
func (r *Reader) readArrayReply(count int) (Reply, error) {
	reply := Reply{Kind: typeArray, Null: count < 0}
	for i := range count {
		item, err := r.readReply(false)
		if err != nil {
			return reply, unexpectedEOF(err)
		}
		reply.Items = append(reply.Items, item)
		if i == 0 && item.StreamedSize > 0 {
			reply.StreamedSize, reply.unreadItems = item.StreamedSize, count-1
			return reply, nil
		}
	}
	return reply, nil
}
