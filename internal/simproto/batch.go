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
	// A body is read in chunks of bodyChunkSize bytes, so that memory is allocated only for bytes that are
	// received, and not for a large announced length.
	bodyChunkSize = 1 << 20
)

// Batch is one frame of events that happened at the same time.
type Batch struct {
	Index uint32 // identifies the batch; the reply contains it
	Count uint32 // the number of records in Body
	Now   policy.Time
	Body  []byte
}

// ReadBatch reads the next frame. It overwrites buffer with the body, and allocates memory only if buffer is
// too small. It returns io.EOF if the input ends after a complete frame, and ErrTruncated if it ends within
// one.
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

// readBody reads size bytes and appends them to the body.
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

// Decode calls handle for each event of the batch, in order, with the instance that the event is for. If a
// record is malformed, Decode returns an error after it has called handle for the events before that record.
// If bytes follow the last record, it returns an error after it has called handle for all events.
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
