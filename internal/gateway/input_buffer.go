package gateway

import "slices"

const (
	minInputChunk = 4 << 10  // size of the first chunk of an inputBuffer in bytes
	maxInputChunk = 64 << 10 // size of its largest chunks
)

// inputBuffer holds input that was read ahead, in the order of its arrival. It frees its memory chunk by
// chunk as the input is taken. The zero value is empty.
type inputBuffer struct {
	chunks [][]byte
	size   int // number of bytes in all chunks
}

// fillOnce appends the result of one call of read, which gets a buffer of at most max bytes.
func (b *inputBuffer) fillOnce(read func([]byte) (int, error), limit int) (int, error) {
	last := len(b.chunks) - 1
	if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
		b.chunks = append(b.chunks, make([]byte, 0, min(max(b.size, minInputChunk), maxInputChunk)))
		last++
	}
	chunk := b.chunks[last]
	free := chunk[len(chunk):cap(chunk)]
	n, err := read(free[:min(len(free), limit)])
	b.chunks[last] = chunk[:len(chunk)+n]
	b.size += n
	return n, err
}

// take moves the oldest input to dst and returns the number of bytes.
func (b *inputBuffer) take(dst []byte) (n int) {
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
