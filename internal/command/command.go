// Package command parses clients' commands and encodes them for backends.
package command

import (
	"bytes"
	"fmt"
	"strconv"

	"sparspread/internal/config"
	"sparspread/policy"
)

// The names of the commands. Their case is ignored.
var (
	apiRead  = []byte("API.READ")
	apiWrite = []byte("API.WRITE")
	ping     = []byte("PING")
)

// The positions of a request's arguments. The body is optional.
const (
	NameArg = iota
	CustomerArg
	RequestIDArg
	FieldsArg
	BodyArg
	maxArgs

	minArgs = BodyArg
)

// IsRequest reports whether name is that of a command for a backend, API.READ or API.WRITE.
func IsRequest(name []byte) bool {
	return bytes.EqualFold(name, apiRead) || bytes.EqualFold(name, apiWrite)
}

// IsPing reports whether name is PING.
func IsPing(name []byte) bool { return bytes.EqualFold(name, ping) }

const (
	customerLimit = 1 << 33 // every customer ID is below this limit
	// idDigits is the number of hexadecimal digits of a customer ID, and of the ID that a client chose for a
	// request.
	idDigits = 16
	// timeoutSlack is the time by which a timeout may exceed the limit of its class.
	timeoutSlack = 1000 * microsecondsPerMS
)

// Span is the range of bytes from Start up to but not including End.
type Span struct{ Start, End int }

// Request is a parsed API.READ or API.WRITE.
type Request struct {
	Args          [][]byte
	RequestID     uint64         // the ID that the client chose for the request
	TimeoutSpan   Span           // the range of the timeout's value in Args[FieldsArg]
	PolicyRequest policy.Request // the request in the policy's form; the ID is not set
}

// Parse parses API.READ or API.WRITE. It returns an error if a field is unknown or invalid, so that no such
// request reaches a backend. The error text is meant for the client. An error that concerns one field is a
// *FieldError.
func Parse(cfg *config.Config, args [][]byte) (Request, error) {
	if len(args) < minArgs || len(args) > maxArgs {
		return Request{}, errArgumentCount
	}
	r := Request{Args: args}
	customer, ok := parseHex64(args[CustomerArg])
	if !ok || customer >= customerLimit {
		return r, errInvalidCustomer
	}
	if r.RequestID, ok = parseHex64(args[RequestIDArg]); !ok {
		return r, errInvalidRequestID
	}
	r.PolicyRequest.Customer = customer
	present, err := r.parseFields(cfg)
	if err != nil {
		return r, err
	}
	return r, r.validate(cfg, present)
}

// validate checks that the required fields are present and that the fields are allowed for the class.
func (r *Request) validate(cfg *config.Config, present fieldSet) error {
	for field := range requiredFieldCount {
		if !present.has(field) {
			return newFieldError(field, errMissing)
		}
	}
	class := r.PolicyRequest.Class
	if limit := cfg.Host.ClientTimeouts[class]; limit > 0 && r.PolicyRequest.Timeout > limit+timeoutSlack {
		// No client waits this long, but the request would hold its timers and memory until the timeout.
		return newFieldError(timeoutField, errTimeoutTooLong)
	}
	idempotency := cfg.Settings.Classes[class].Idempotency
	if idempotency == policy.IdempotentWithKey && !present.has(keyField) {
		return newFieldError(keyField, errMissing)
	}
	isRead := bytes.EqualFold(r.Args[NameArg], apiRead)
	if isRead != (idempotency == policy.Idempotent) {
		return fmt.Errorf("class %s: %w", cfg.Host.Classes[class], errWrongCommand)
	}
	return nil
}

// parseHex64 parses a number that is written with exactly idDigits hexadecimal digits.
func parseHex64(b []byte) (n uint64, ok bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == idDigits
}
