package simproto

import (
	"encoding/binary"
	"fmt"
	"math"

	"sparspread/policy"
)

// The sizes of numbers in bytes.
const (
	uint16Size  = 2
	uint32Size  = 4
	uint64Size  = 8
	float32Size = 4
)

// recordReader reads fields from the records of a batch. Its methods return zero values from the first error
// on, which stays in err.
type recordReader struct {
	data   []byte
	offset int
	err    error
}

// remaining is how many bytes are left to read.
func (r *recordReader) remaining() int { return len(r.data) - r.offset }

// fail keeps the first error.
func (r *recordReader) setError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// bytes returns the next n bytes, which are shared with the batch, or nil where fewer are left.
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

// uint8 reads an integer, like the methods below.
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

// float32 reads a number of four bytes.
func (r *recordReader) float32() float64 { return float64(math.Float32frombits(r.uint32())) }

// loadReport reads a list of numbers behind its length; nil is an empty one.
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

// result reads the code of an attempt's or a call's result.
func (r *recordReader) readResult() policy.Result { return readCode(r, resultByCode, "result") }

// readCode reads a code and returns what it stands for; name says what it is a code of, for the error.
func readCode[V any](r *recordReader, byCode map[uint8]V, name string) V {
	code := r.uint8()
	value, ok := byCode[code]
	if !ok {
		r.setError(fmt.Errorf("%w: %s %d", ErrUnknownCode, name, code))
	}
	return value
}
