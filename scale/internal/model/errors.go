package model

import (
	"cmp"
	"errors"
	"fmt"
)

// What is wrong with a key that has no value to state.
var (
	errMissing    = errors.New("missing")
	errUnknownKey = errors.New("no such key")
)

// KeyError says what is wrong with one key of an experiment, or of the command line that runs it.
type KeyError struct {
	Key      string
	Value    string // as it is written, or what it comes to
	Expected string // what would be right
}

// Error names the key, its value and what is wanted.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: %s, %s wanted", e.Key, e.Value, e.Expected)
}

// CheckRange returns a *KeyError unless a value is from lowest to highest.
func CheckRange[T cmp.Ordered](key string, value, lowest, highest T) error {
	if value >= lowest && value <= highest {
		return nil
	}
	return keyError(key, value, fmt.Sprintf("%v to %v", lowest, highest))
}

// checkPositive returns a *KeyError unless a value is above 0 and up to highest.
func checkPositive[T cmp.Ordered](key string, value, highest T) error {
	var zero T
	if value > zero && value <= highest {
		return nil
	}
	return keyError(key, value, fmt.Sprintf("above 0 and up to %v", highest))
}

// keyError is the error of a key whose value is a number or a time.
func keyError(key string, value any, wanted string) error {
	return &KeyError{Key: key, Value: fmt.Sprint(value), Expected: wanted}
}
