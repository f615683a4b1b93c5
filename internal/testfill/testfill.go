// Package testfill fills values for tests of recorded forms: every field gets a value of its own, so that one
// that is not read or written shows.
package testfill

import (
	"fmt"
	"reflect"
)

// fraction is what floating-point numbers have beyond theirs, so that a conversion to an integer shows.
const fraction = 0.5

// itemCount is how many items a filled slice has: enough to tell one item from the next.
const itemCount = 2

// Style is how the number of a field is turned into a value that is no signed number. A recorded file was
// written in one style and is compared in the same one.
type Style struct {
	Text    func(n int) string // the value of a string
	Modulus uint64             // of unsigned numbers; 0: what their type can hold
}

// Letters is the style with two letters in each string.
var Letters = Style{Text: letterText}

// letterText returns a text that differs for neighbouring numbers.
func letterText(n int) string {
	const letters = 26
	return fmt.Sprintf("text-%c%c", 'a'+n%letters, 'a'+n/letters%letters)
}

// Numbered returns a value whose plain fields, however deep, are numbered in the order of their declaration.
func Numbered[T any](style Style) T {
	var filled T
	f := filler{style: style}
	f.fill(reflect.ValueOf(&filled).Elem())
	return filled
}

// filler numbers the plain values that it meets.
type filler struct {
	style  Style
	number int // of the last value
}

// fill fills a value and all below it.
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

// setPlain sets a value that has no parts to the current number.
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

// unsigned is the current number as an unsigned one of some bits.
func (f *filler) unsigned(bits int) uint64 {
	n := uint64(f.number)
	if f.style.Modulus > 0 {
		return n % f.style.Modulus
	}
	return n & (1<<bits - 1) // all ones for 64 bits, as the shift leaves 0
}
