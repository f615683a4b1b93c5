package command

import "errors"

// The errors of Parse. Their texts are sent to clients and belong to the protocol.
var (
	// ErrUnknownClass says that the settings in force have no class of that name: a reload may have removed
	// it.
	ErrUnknownClass = errors.New("unknown class")

	errArgumentCount   = errors.New("wrong number of arguments")
	errInvalidCustomer = errors.New("customer: 16 hex digits below 2^33 wanted")
	errInvalidClientID = errors.New("id: 16 hex digits wanted")
	errFieldSyntax     = errors.New("fields: name=value wanted, each once")
	errWrongCommand    = errors.New("does not go by this command")
)

// What is wrong with a field.
var (
	errUnknownField   = errors.New("unknown")
	errMissing        = errors.New("missing")
	errInvalidValue   = errors.New("bad value")
	errTimeoutTooLong = errors.New("longer than the class allows")
)

// FieldError says what is wrong with one field of a request.
type FieldError struct {
	Field string // its name in the protocol; quoted where it is none of the protocol's
	Value string // as received; empty where it is not what is wrong
	Err   error  // what is wrong; its text states the value
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError is the error of a field of which the value is not what is wrong.
func newFieldError(field int, err error) error {
	return &FieldError{Field: fieldNames[field], Err: err}
}
