package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"sparspread/policy"
)

const (
	batchHeaderSize = 20
	// bodyChunkSize is how many bytes of a body are read at a time, so that a large announced length alone
	// allocates little.
	bodyChunkSize = 1 << 20
)

// Batch is one frame of events that share a time.
type Batch struct {
	Index uint32 // repeated in the reply
	Count uint32 // records in Body
	Now   policy.Time
	Body  []byte
}

// ReadBatch reads the next frame. It reuses the memory of buffer for the body, and returns io.EOF at the end
// of the input between two frames.
func ReadBatch(r io.Reader, buffer []byte) (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("reading a batch header: %w: %w", ErrTruncated, err)
	}
	batch := Batch{
		Index: binary.LittleEndian.Uint32(header[0:]),
		Count: binary.LittleEndian.Uint32(header[4:]),
		Now:   policy.Time(binary.LittleEndian.Uint64(header[12:])),
		Body:  buffer[:0],
	}
	size := int(binary.LittleEndian.Uint32(header[8:]))
	if err := batch.readBody(r, size); err != nil {
		return Batch{}, fmt.Errorf("reading batch %d: %w: %w", batch.Index, ErrTruncated, err)
	}
	return batch, nil
}

// readBody appends size bytes to the body.
func (b *Batch) readBody(r io.Reader, size int) error {
	for remaining := size; remaining > 0; {
		n, start := min(remaining, bodyChunkSize), len(b.Body)
		for cap(b.Body) < start+n {
			b.Body = append(b.Body[:cap(b.Body)], 0)
		}
		b.Body = b.Body[:start+n]
		if _, err := io.ReadFull(r, b.Body[start:]); err != nil {
			return err
		}
		remaining -= n
	}
	return nil
}

// Decode calls handle with each event of the batch, in order, and the instance that it happened to. The
// events before a malformed record have been handled when Decode returns its error.
func (b *Batch) Decode(handle func(instance uint16, event Event)) error {
	r := recordReader{data: b.Body}
	for i := uint32(0); i < b.Count; i++ {
		code, instance := r.uint8(), r.uint16()
		event := r.readEvent(code)
		if r.err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Index, i, r.err)
		}
		handle(instance, event)
	}
	if remaining := r.remaining(); remaining > 0 {
		return fmt.Errorf("batch %d: %w: %d after the last record", b.Index, ErrTrailingBytes, remaining)
	}
	return nil
}
