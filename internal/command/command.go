// Package command parses the commands that clients send, and encodes them for backends.
package command

import (
	"bytes"
	"fmt"
	"strconv"

	"sparspread/internal/config"
	"sparspread/policy"
)

// The names of the commands; any case is accepted.
var (
	apiRead  = []byte("API.READ")
	apiWrite = []byte("API.WRITE")
	ping     = []byte("PING")
)

// The arguments of a request by position. The body may be missing.
const (
	NameArg = iota
	CustomerArg
	ClientIDArg
	FieldsArg
	BodyArg
	maxArgs

	minArgs = BodyArg
)

// IsRequest reports whether a command's name is that of a request to a backend.
func IsRequest(name []byte) bool {
	return bytes.EqualFold(name, apiRead) || bytes.EqualFold(name, apiWrite)
}

// IsPing reports whether a command's name is PING.
func IsPing(name []byte) bool { return bytes.EqualFold(name, ping) }

const (
	customerLimit = 1 << 33
	// idDigits is the number of hexadecimal digits of a customer and of an id.
	idDigits = 16
	// timeoutSlack is by how much a timeout may exceed the limit of its class.
	timeoutSlack = 1000 * microsecondsPerMS
)

// Span is a range of bytes, its end excluded.
type Span struct{ Start, End int }

// Request is a parsed API.READ or API.WRITE.
type Request struct {
	Args        [][]byte
	ClientID    uint64         // the id that the client gave
	TimeoutSpan Span           // of the value of d in Args[FieldsArg]
	Details     policy.Request // without its ID
}

// Parse parses API.READ or API.WRITE. Every field must be known and valid: what is not understood reaches no
// backend. The text of an error is sent to the client; one that concerns a field is a *FieldError.
func Parse(cfg *config.Config, args [][]byte) (Request, error) {
	if len(args) < minArgs || len(args) > maxArgs {
		return Request{}, errArgumentCount
	}
	r := Request{Args: args}
	customer, ok := parseHex64(args[CustomerArg])
	if !ok || customer >= customerLimit {
		return r, errInvalidCustomer
	}
	if r.ClientID, ok = parseHex64(args[ClientIDArg]); !ok {
		return r, errInvalidClientID
	}
	r.Details.Customer = customer
	present, err := r.parseFields(cfg)
	if err != nil {
		return r, err
	}
	return r, r.validate(cfg, present)
}

// validate checks the fields against each other and the class.
func (r *Request) validate(cfg *config.Config, present fieldSet) error {
	for field := range requiredFieldCount {
		if !present.has(field) {
			return newFieldError(field, errMissing)
		}
	}
	class := r.Details.Class
	if limit := cfg.Host.ClientTimeouts[class]; limit > 0 && r.Details.Timeout > limit+timeoutSlack {
		// Longer than any client waits: it would keep its timers and its memory.
		return newFieldError(timeoutField, errTimeoutTooLong)
	}
	idempotency := cfg.Settings.Classes[class].Idempotency
	if idempotency == policy.IdempotentWithKey && !present.has(keyField) {
		return newFieldError(keyField, errMissing)
	}
	isRead := bytes.EqualFold(r.Args[NameArg], apiRead)
	if isRead != (idempotency == policy.Idempotent) {
		return fmt.Errorf("class %s %w", cfg.Host.Classes[class], errWrongCommand)
	}
	return nil
}

// parseHex64 parses a number of idDigits hexadecimal digits.
func parseHex64(b []byte) (n uint64, ok bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == idDigits
}
