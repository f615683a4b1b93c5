package settings

import (
	"errors"
	"fmt"
)

// ErrMissing is the cause where a key that is needed is absent.
var ErrMissing = errors.New("missing")

// What is wrong with a value.
var (
	errNotPositive  = errors.New("a number above 0 wanted")
	errUnknownValue = errors.New("unknown word")
	errInvalidCount = errors.New("is no count of items")
)

// KeyError says what is wrong with one key of a gateway's configuration or of the settings in it.
type KeyError struct {
	Key   string // its path in the file
	Value string // as it is written; empty if the key is absent
	Err   error  // what is wanted, or why the value can't be read; its text states the value
}

// Error names the key and what is wrong with it.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the value.
func (e *KeyError) Unwrap() error { return e.Err }

// MissingKey is the error of a key that is needed and absent.
func MissingKey(key string) error { return &KeyError{Key: key, Err: ErrMissing} }

// badValue is the error of a setting whose value can't be used.
func valueError(key, value string, err error) error {
	return &KeyError{Key: key, Value: value, Err: fmt.Errorf("value %q: %w", value, err)}
}
