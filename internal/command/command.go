// Package command parses the commands that clients send, and encodes them for backends.
package command

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"sparspread/internal/config"
	"sparspread/internal/resp"
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

// The fields in the list of names and values. Those before requiredFieldCount are in every request.
const (
	classField = iota
	planField
	timeoutField
	costField
	replicasField
	firstReplicaField
	keyField
	retryFlagField

	requiredFieldCount = keyField
)

// fieldNames are the fields' names in the protocol.
var fieldNames = [...]string{"c", "t", "d", "units", "spread", "first", "k", "r"}

const (
	defaultMaxCost    = 1e6 // where the settings give none
	microsecondsPerMS = 1000
	maxTimeoutMS      = 24 * 3600 * 1000 // milliseconds
	customerLimit     = 1 << 33
	timeoutSlack      = 1000 * microsecondsPerMS // by which a timeout may exceed the limit of its class
	idDigits          = 16                       // hexadecimal digits of a customer and of an id

	// forwardedOverhead is what a forwarded command takes at most beside the bytes of its arguments.
	forwardedOverhead = 72
	// timeoutDigits is what a new timeout may take beside the old one.
	timeoutDigits = 8
)

// ErrUnknownClass says that the settings in force have no class of that name.
var ErrUnknownClass = errors.New("unknown class")

// Errors whose text is sent to the client, like that of ErrUnknownClass.
var (
	errArgumentCount = errors.New("wrong number of arguments")
	errBadCustomer   = errors.New("customer: 16 hex digits below 2^33 wanted")
	errBadClientID   = errors.New("id: 16 hex digits wanted")
	errTimeoutLimit  = errors.New("field d: longer than the class allows")
	errMissingKey    = errors.New("field k: missing")
	errFieldForm     = errors.New("fields: name=value wanted, each once")
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
// backend. The text of an error is meant for the client.
func Parse(cfg *config.Config, args [][]byte) (Request, error) {
	if len(args) < minArgs || len(args) > maxArgs {
		return Request{}, errArgumentCount
	}
	r := Request{Args: args}
	customer, ok := parseHex64(args[CustomerArg])
	if !ok || customer >= customerLimit {
		return r, errBadCustomer
	}
	if r.ClientID, ok = parseHex64(args[ClientIDArg]); !ok {
		return r, errBadClientID
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
	for field, name := range fieldNames[:requiredFieldCount] {
		if !present.has(field) {
			return fmt.Errorf("field %s: missing", name)
		}
	}
	class := r.Details.Class
	if limit := cfg.Host.ClientTimeouts[class]; limit > 0 && r.Details.Timeout > limit+timeoutSlack {
		// Longer than any client waits: it would keep its timers and its memory.
		return errTimeoutLimit
	}
	idempotency := cfg.Settings.Classes[class].Idempotency
	if idempotency == policy.IdempotentWithKey && !present.has(keyField) {
		return errMissingKey
	}
	isRead := bytes.EqualFold(r.Args[NameArg], apiRead)
	if isRead != (idempotency == policy.Idempotent) {
		return fmt.Errorf("class %s does not go by this command", cfg.Host.Classes[class])
	}
	return nil
}

// fieldSet is a set of fields: a bit for each.
type fieldSet uint

func (s fieldSet) has(field int) bool { return s&(1<<field) != 0 }

// parseFields parses the list of names and values and returns the fields in it.
func (r *Request) parseFields(cfg *config.Config) (present fieldSet, err error) {
	list := r.Args[FieldsArg]
	for start := 0; start <= len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[start:], ','); i >= 0 {
			end = start + i
		}
		name, value, ok := bytes.Cut(list[start:end], []byte{'='})
		field := slices.Index(fieldNames[:], string(name))
		switch {
		case field < 0:
			return present, fmt.Errorf("field %.32q: unknown", name)
		case !ok || present.has(field):
			return present, errFieldForm
		}
		if err := r.parseField(cfg, field, string(value)); err != nil {
			return present, err
		}
		if field == timeoutField {
			r.TimeoutSpan = Span{Start: end - len(value), End: end}
		}
		present |= 1 << field
		start = end + 1
	}
	return present, nil
}

// parseField parses the value of one field.
func (r *Request) parseField(cfg *config.Config, field int, value string) error {
	ok := false
	switch field {
	case classField:
		if r.Details.Class = slices.Index(cfg.Host.Classes, value); r.Details.Class < 0 {
			return fmt.Errorf("field c: %w %.64q", ErrUnknownClass, value)
		}
		ok = true
	case planField:
		r.Details.Plan = slices.Index(cfg.Host.Plans, value)
		ok = r.Details.Plan >= 0
	case timeoutField:
		ms, err := strconv.ParseInt(value, 10, 64)
		r.Details.Timeout = ms * microsecondsPerMS
		ok = err == nil && ms > 0 && ms <= maxTimeoutMS
	case keyField:
		ok = value != ""
	case retryFlagField:
		ok = value == "0" || value == "1"
	case costField:
		cost, err := strconv.ParseFloat(value, 64)
		r.Details.Cost = cost
		ok = err == nil && cost > 0 && cost <= MaxCost(cfg) // false for NaN
	case replicasField:
		n, err := strconv.Atoi(value)
		r.Details.Replicas = n
		ok = err == nil && n >= 1 && n <= cfg.Settings.Gateways
	case firstReplicaField:
		n, err := strconv.Atoi(value)
		r.Details.FirstReplica = n
		ok = err == nil && n >= 0 && n < cfg.Settings.Gateways
	}
	if !ok {
		return fmt.Errorf("field %s: bad value %.64q", fieldNames[field], value)
	}
	return nil
}

// MaxCost is the most that a request may cost.
func MaxCost(cfg *config.Config) float64 {
	if cfg.Settings.MaxCost > 0 {
		return cfg.Settings.MaxCost
	}
	return defaultMaxCost
}

// parseHex64 parses a number of idDigits hexadecimal digits.
func parseHex64(b []byte) (n uint64, ok bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == idDigits
}

// Forwarded is a request as a backend gets it: as received, but with the timeout that is left. Of a large
// body, whose size is given (0: none), it has only the head.
func Forwarded(args [][]byte, timeoutSpan Span, timeout policy.Time, bodySize int) []byte {
	fields := args[FieldsArg]
	newFields := make([]byte, 0, len(fields)+timeoutDigits)
	newFields = append(newFields, fields[:timeoutSpan.Start]...)
	newFields = strconv.AppendInt(newFields, max(1, timeout/microsecondsPerMS), 10)
	newFields = append(newFields, fields[timeoutSpan.End:]...)

	count := len(args)
	if bodySize > 0 {
		count++
	}
	b := resp.AppendArray(make([]byte, 0, Size(args)+forwardedOverhead), count)
	for i, arg := range args {
		if i == FieldsArg {
			arg = newFields
		}
		b = resp.AppendBulk(b, arg)
	}
	if bodySize > 0 {
		b = resp.AppendBulkHead(b, bodySize)
	}
	return b
}

// Size is the number of bytes that the arguments of a command hold.
func Size(args [][]byte) int {
	n := 0
	for _, arg := range args {
		n += len(arg)
	}
	return n
}
