// Package testfill fills values for tests of encodings: it gives each field a distinct value, so that tests
// detect fields that are not encoded or decoded. Only tests import it.
package testfill

import (
	"fmt"
	"reflect"
)

// fraction is added to floating-point values, so that tests detect a conversion to an integer.
const fraction = 0.5

// itemCount is the length of a filled slice: enough to distinguish one item from the next.
const itemCount = 2

// Style determines how the number of a field is converted to a string or an unsigned integer. A recorded file
// must be compared with values of the style that it was recorded with.
type Style struct {
	Text    func(n int) string // returns the value of a string
	Modulus uint64             // modulus of unsigned integers; if zero, they wrap at the size of their type
}

// Letters is the style whose strings end in two letters.
var Letters = Style{Text: letterText}

// letterText returns a text that differs for consecutive numbers.
func letterText(n int) string {
	const letters = 26
	return fmt.Sprintf("text-%c%c", 'a'+n%letters, 'a'+n/letters%letters)
}

// Numbered returns a value whose scalar fields, at any depth, are numbered in the order of their declaration.
func Numbered[T any](style Style) T {
	var filled T
	f := filler{style: style}
	f.fill(reflect.ValueOf(&filled).Elem())
	return filled
}

// filler numbers the scalar values that it fills.
type filler struct {
	style  Style
	number int // the number of the last value
}

// fill fills a value recursively.
func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), itemCount, itemCount))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	default:
		f.number++
		f.setScalar(v)
	}
}

// setScalar sets a scalar value according to the current number.
func (f *filler) setScalar(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(f.style.Text(f.number))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.number) + fraction)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(f.unsigned(v.Type().Bits()))
	default:
		v.SetInt(int64(f.number))
	}
}

// unsigned returns the current number as an unsigned integer of the given size.
func (f *filler) unsigned(bits int) uint64 {
	n := uint64(f.number)
	if f.style.Modulus > 0 {
		return n % f.style.Modulus
	}
	return n & (1<<bits - 1) // for 64 bits the mask has all bits set, as the shift yields 0
}
