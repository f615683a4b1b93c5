package gateway

import (
	"slices"

	"sparspread/policy"
)

const (
	minInputChunk = 4 << 10  // size of the first chunk of an inputBuffer in bytes
	maxInputChunk = 64 << 10 // size of its largest chunks

	// Input that arrives within arrivalResolution counts as having arrived at once.
	arrivalResolution = 20 * millisecond
)

// arrivedInput is a part of a client's input.
type arrivedInput struct {
	bytes     []byte
	arrivedAt policy.Time // the earliest time at which any of it may have arrived
}

// inputArrival is the number of consecutive bytes that arrived at a time.
type inputArrival struct {
	size      int
	arrivedAt policy.Time
}

// inputBuffer holds input that was read ahead, in the order of its arrival. It frees its memory chunk by
// chunk as the input is taken. The zero value is empty.
type inputBuffer struct {
	chunks   [][]byte
	arrivals []inputArrival // the bytes of all chunks by their arrival, oldest first
	size     int            // number of bytes in all chunks
}

// readFunc reads input to a buffer, and returns the number of bytes and the earliest time at which they may
// have arrived.
type readFunc func([]byte) (n int, arrivedAt policy.Time, err error)

// fillOnce appends the result of one call of read, which gets a buffer of at most limit bytes.
func (b *inputBuffer) fillOnce(read readFunc, limit int) (int, error) {
	last := len(b.chunks) - 1
	if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
		b.chunks = append(b.chunks, make([]byte, 0, min(max(b.size, minInputChunk), maxInputChunk)))
		last++
	}
	chunk := b.chunks[last]
	free := chunk[len(chunk):cap(chunk)]
	n, arrivedAt, err := read(free[:min(len(free), limit)])
	b.chunks[last] = chunk[:len(chunk)+n]
	b.size += n
	b.recordArrival(n, arrivedAt)
	return n, err
}

func (b *inputBuffer) recordArrival(size int, arrivedAt policy.Time) {
	last := len(b.arrivals) - 1
	switch {
	case size == 0:
	case last >= 0 && arrivedAt-b.arrivals[last].arrivedAt < arrivalResolution:
		b.arrivals[last].size += size
	default:
		b.arrivals = append(b.arrivals, inputArrival{size, arrivedAt})
	}
}

// take moves the oldest input to dst, and returns the number of bytes and when they arrived. It returns only
// bytes that arrived at once.
func (b *inputBuffer) take(dst []byte) (n int, arrivedAt policy.Time) {
	if len(b.arrivals) == 0 {
		return 0, 0
	}
	oldest := &b.arrivals[0]
	arrivedAt = oldest.arrivedAt
	n = b.takeBytes(dst[:min(len(dst), oldest.size)])
	if oldest.size -= n; oldest.size == 0 {
		b.arrivals = slices.Delete(b.arrivals, 0, 1)
	}
	return n, arrivedAt
}

// takeBytes moves the oldest input to dst and returns the number of bytes.
func (b *inputBuffer) takeBytes(dst []byte) (n int) {
	for n < len(dst) && len(b.chunks) > 0 {
		copied := copy(dst[n:], b.chunks[0])
		n += copied
		if b.chunks[0] = b.chunks[0][copied:]; len(b.chunks[0]) == 0 {
			b.chunks = slices.Delete(b.chunks, 0, 1)
		}
	}
	b.size -= n
	return n
}

// takeAll removes and returns all input.
func (b *inputBuffer) takeAll() []byte {
	all := slices.Concat(b.chunks...)
	*b = inputBuffer{}
	return all
}

// oldestArrival returns when the oldest input arrived, or the given time if there is none.
func (b *inputBuffer) oldestArrival(otherwise policy.Time) policy.Time {
	if len(b.arrivals) == 0 {
		return otherwise
	}
	return b.arrivals[0].arrivedAt
}
