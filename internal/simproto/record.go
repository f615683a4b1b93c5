package simproto

import (
	"encoding/binary"
	"fmt"
	"math"

	"sparspread/policy"
)

// The sizes of encoded numbers, in bytes.
const (
	uint16Size  = 2
	uint32Size  = 4
	uint64Size  = 8
	float32Size = 4
)

// recordReader reads fields from the records of a batch. After the first error, which is kept in err, its
// methods return zero values.
type recordReader struct {
	data   []byte
	offset int
	err    error
}

// remaining returns the number of unread bytes.
func (r *recordReader) remaining() int { return len(r.data) - r.offset }

// setError sets err unless an earlier error is set.
func (r *recordReader) setError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// bytes returns the next n bytes without copying them. If fewer than n bytes are left, it sets err and
// returns nil.
func (r *recordReader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || n > r.remaining() {
		r.setError(fmt.Errorf("%w record at byte %d", ErrTruncated, r.offset))
		return nil
	}
	b := r.data[r.offset : r.offset+n]
	r.offset += n
	return b
}

// uint8 reads an integer of one byte. The methods below read longer integers.
func (r *recordReader) uint8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *recordReader) uint16() uint16 {
	if b := r.bytes(uint16Size); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *recordReader) uint32() uint32 {
	if b := r.bytes(uint32Size); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *recordReader) uint64() uint64 {
	if b := r.bytes(uint64Size); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

// float32 reads a floating-point number of four bytes.
func (r *recordReader) float32() float64 { return float64(math.Float32frombits(r.uint32())) }

// readLoadReport reads a list of numbers that is preceded by its length. It returns nil for an empty list.
func (r *recordReader) readLoadReport() []float32 {
	b := r.bytes(float32Size * int(r.uint8()))
	if len(b) == 0 {
		return nil
	}
	report := make([]float32, len(b)/float32Size)
	for i := range report {
		report[i] = math.Float32frombits(binary.LittleEndian.Uint32(b[float32Size*i:]))
	}
	return report
}

// readResult reads the result of an attempt, a health check or an increment of the shared counter.
func (r *recordReader) readResult() policy.Result { return readCode(r, resultByCode, "result") }

// readCode reads a code and returns its value in byCode. If the code is unknown, it sets an error whose text
// contains name, and returns the zero value.
func readCode[V any](r *recordReader, byCode map[uint8]V, name string) V {
	code := r.uint8()
	value, ok := byCode[code]
	if !ok {
		r.setError(fmt.Errorf("%w: %s %d", ErrUnknownCode, name, code))
	}
	return value
}
