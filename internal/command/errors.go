package command

import "errors"

// Errors returned by Parse. Their texts are sent to clients as part of the protocol.
var (
	// ErrUnknownClass reports that the current settings have no class of that name. A reload may have removed
	// it.
	ErrUnknownClass = errors.New("unknown class")

	errArgumentCount    = errors.New("wrong number of arguments")
	errInvalidCustomer  = errors.New("customer: expected 16 hexadecimal digits, and a value below 2^33")
	errInvalidRequestID = errors.New("id: expected 16 hexadecimal digits")
	errFieldSyntax      = errors.New("fields: expected a list of name=value, with each name once")
	errWrongCommand     = errors.New("expected API.READ if it is idempotent, API.WRITE otherwise")
)

// The causes of a FieldError.
var (
	errUnknownField   = errors.New("unknown")
	errMissing        = errors.New("missing")
	errInvalidValue   = errors.New("invalid value")
	errTimeoutTooLong = errors.New("longer than the limit of the class")
)

// FieldError reports that a field of a request is unknown, missing or invalid.
type FieldError struct {
	Field string // the field's name in the protocol, or the quoted name of an unknown field
	Value string // the invalid value as received; empty if the error does not concern the value
	Err   error  // the cause; its text contains the invalid value
}

// Error returns the field's name and the text of the cause.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// newFieldError returns an error of a field that does not concern the field's value.
func newFieldError(field int, err error) error {
	return &FieldError{Field: fieldNames[field], Err: err}
}
