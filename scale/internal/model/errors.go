package model

import (
	"cmp"
	"errors"
	"fmt"
)

// Errors of keys that have no value to report.
var (
	errMissing    = errors.New("missing")
	errUnknownKey = errors.New("unknown key")
)

// KeyError reports the invalid value of a key in an experiment file, or of a flag of the command line.
type KeyError struct {
	Key      string
	Value    string // the value as written in the file, or a value computed from it
	Expected string // the values that are allowed
}

// Error returns the key, its value and the values that are allowed.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: %s: expected %s", e.Key, e.Value, e.Expected)
}

// CheckRange returns a *KeyError unless lowest <= value <= highest.
func CheckRange[T cmp.Ordered](key string, value, lowest, highest T) error {
	if value >= lowest && value <= highest {
		return nil
	}
	return keyError(key, value, fmt.Sprintf("%v to %v", lowest, highest))
}

// checkPositive returns a *KeyError unless 0 < value <= highest.
func checkPositive[T cmp.Ordered](key string, value, highest T) error {
	var zero T
	if value > zero && value <= highest {
		return nil
	}
	return keyError(key, value, fmt.Sprintf("above 0 and at most %v", highest))
}

// keyError returns a *KeyError with the value in its default format.
func keyError(key string, value any, wanted string) error {
	return &KeyError{Key: key, Value: fmt.Sprint(value), Expected: wanted}
}
