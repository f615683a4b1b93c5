package resp

import "bytes"

// Reply is a server's answer to a command.
type Reply struct {
	Kind  byte    // the type: '+', '-', ':', '$' or '*'
	Null  bool    // whether it is a null string or a null array
	Text  []byte  // the value, unless it is an array
	Items []Reply // the values of an array
	// StreamedSize is the size in bytes of an array's first value if it is left to the caller, who reads it
	// with ReadValueBytes until it is complete, and then calls ReadValueEnd and ReadRemainingItems. It is 0
	// if the reply was read completely.
	StreamedSize int

	unreadItems int // the number of values after the streamed one
}

// ReadReply reads one reply, which may be an array but not an array of arrays. If it fails within an array,
// it returns the values that it read before the error. If the first value of an array exceeds MaxValue,
// ReadReply leaves it to the caller.
func (r *Reader) ReadReply() (Reply, error) { return r.readReply(true) }

// ReadRemainingItems reads the values of an array that follow its streamed value, and returns the reply with
// these values appended to Items.
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

// readReply reads a reply if topLevel is true, otherwise a value of an array.
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
			maxSize = MaxValue // only a value of an array may be streamed
		}
		return r.readBulkReply(rest, maxSize)
	case typeArray:
		count, err := parseLength(rest, -1, MaxArgs)
		if err != nil || !topLevel {
			return Reply{Kind: kind}, protocolError("unexpected array")
		}
		return r.readArrayReply(count)
	}
	return Reply{Kind: kind}, protocolError("unknown reply type")
}

// readBulkReply reads the value of a bulk string whose first line contained the given length. If the value
// exceeds MaxValue, readBulkReply does not read it and sets StreamedSize.
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

// readArrayReply reads the values of an array. If count is negative, it is a null array.
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
