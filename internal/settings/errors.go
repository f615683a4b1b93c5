package settings

import (
	"errors"
	"fmt"
)

// ErrMissing is the cause of a KeyError for a required key that is absent.
var ErrMissing = errors.New("missing")

// The causes of a KeyError for an invalid value.
var (
	errNotPositive  = errors.New("expected a number above 0")
	errUnknownValue = errors.New("expected one of the allowed values")
	errInvalidCount = errors.New("expected the number of items in the list")
)

// KeyError reports that a key of a gateway's configuration, or of the settings in it, is missing or invalid.
type KeyError struct {
	Key   string // the path of the key in the file
	Value string // the value as written; empty if the key is absent
	Err   error  // the cause; its text contains the invalid value
}

// Error returns the key and the text of the cause.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// MissingKey returns the error for a required key that is absent.
func MissingKey(key string) error { return &KeyError{Key: key, Err: ErrMissing} }

// valueError returns the error for a setting with an invalid value.
func valueError(key, value string, err error) error {
	return &KeyError{Key: key, Value: value, Err: fmt.Errorf("%q: %w", value, err)}
}
