package gateway

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

// The arguments of API.READ and API.WRITE by position. The body may be missing.
const (
	commandArg = iota
	customerArg
	clientIDArg
	fieldsArg
	bodyArg
	maxArgs

	minArgs = bodyArg
)

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
	defaultMaxCost = 1e6              // where the settings give none
	maxTimeoutMS   = 24 * 3600 * 1000 // milliseconds
	customerLimit  = 1 << 33
	timeoutSlack   = second // by which a timeout may exceed the limit of its class
	idDigits       = 16     // hexadecimal digits of a customer and of an id

	// forwardedOverhead is what a forwarded command takes at most beside the bytes of its arguments.
	forwardedOverhead = 72
	// timeoutDigits is what a new timeout may take beside the old one.
	timeoutDigits = 8
)

// Errors whose text is sent to the client.
var (
	errUnknownClass  = errors.New("unknown class")
	errArgumentCount = errors.New("wrong number of arguments")
	errBadCustomer   = errors.New("customer: 16 hex digits below 2^33 wanted")
	errBadClientID   = errors.New("id: 16 hex digits wanted")
	errTimeoutLimit  = errors.New("field d: longer than the class allows")
	errMissingKey    = errors.New("field k: missing")
	errFieldForm     = errors.New("fields: name=value wanted, each once")
)

// span is a range of bytes, its end excluded.
type span struct{ start, end int }

// command is a parsed API.READ or API.WRITE.
type command struct {
	args        [][]byte
	clientID    uint64 // the id that the client gave
	timeoutSpan span   // of the value of d in args[fieldsArg]
	request     policy.Request
}

// parseCommand parses API.READ or API.WRITE. Every field must be known and valid: what is not understood
// reaches no backend.
func parseCommand(cfg *config.Config, args [][]byte) (command, error) {
	if len(args) < minArgs || len(args) > maxArgs {
		return command{}, errArgumentCount
	}
	c := command{args: args}
	customer, ok := parseHex64(args[customerArg])
	if !ok || customer >= customerLimit {
		return c, errBadCustomer
	}
	if c.clientID, ok = parseHex64(args[clientIDArg]); !ok {
		return c, errBadClientID
	}
	c.request.Customer = customer
	present, err := c.parseFields(cfg)
	if err != nil {
		return c, err
	}
	return c, c.validate(cfg, present)
}

// validate checks the fields against each other and the class.
func (c *command) validate(cfg *config.Config, present fieldSet) error {
	for field, name := range fieldNames[:requiredFieldCount] {
		if !present.has(field) {
			return fmt.Errorf("field %s: missing", name)
		}
	}
	class := c.request.Class
	if limit := cfg.Host.Limits[class]; limit > 0 && c.request.Timeout > limit+timeoutSlack {
		// Longer than any client waits: it would keep its timers and its memory.
		return errTimeoutLimit
	}
	idempotency := cfg.Settings.Classes[class].Idempotency
	if idempotency == policy.IdempotentWithKey && !present.has(keyField) {
		return errMissingKey
	}
	isRead := bytes.EqualFold(c.args[commandArg], apiRead)
	if isRead != (idempotency == policy.Idempotent) {
		return fmt.Errorf("class %s does not go by this command", cfg.Host.Classes[class])
	}
	return nil
}

// fieldSet is a set of fields: a bit for each.
type fieldSet uint

func (s fieldSet) has(field int) bool { return s&(1<<field) != 0 }

// parseFields parses the list of names and values and returns the fields in it.
func (c *command) parseFields(cfg *config.Config) (present fieldSet, err error) {
	list := c.args[fieldsArg]
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
		if err := c.parseField(cfg, field, string(value)); err != nil {
			return present, err
		}
		if field == timeoutField {
			c.timeoutSpan = span{start: end - len(value), end: end}
		}
		present |= 1 << field
		start = end + 1
	}
	return present, nil
}

// parseField parses the value of one field.
func (c *command) parseField(cfg *config.Config, field int, value string) error {
	ok := false
	switch field {
	case classField:
		if c.request.Class = slices.Index(cfg.Host.Classes, value); c.request.Class < 0 {
			return fmt.Errorf("field c: %w %.64q", errUnknownClass, value)
		}
		ok = true
	case planField:
		c.request.Plan = slices.Index(cfg.Host.Plans, value)
		ok = c.request.Plan >= 0
	case timeoutField:
		ms, err := strconv.ParseInt(value, 10, 64)
		c.request.Timeout = ms * millisecond
		ok = err == nil && ms > 0 && ms <= maxTimeoutMS
	case keyField:
		ok = value != ""
	case retryFlagField:
		ok = value == "0" || value == "1"
	case costField:
		cost, err := strconv.ParseFloat(value, 64)
		c.request.Cost = cost
		ok = err == nil && cost > 0 && cost <= maxCost(cfg) // false for NaN
	case replicasField:
		n, err := strconv.Atoi(value)
		c.request.Replicas = n
		ok = err == nil && n >= 1 && n <= cfg.Settings.Gateways
	case firstReplicaField:
		n, err := strconv.Atoi(value)
		c.request.FirstReplica = n
		ok = err == nil && n >= 0 && n < cfg.Settings.Gateways
	}
	if !ok {
		return fmt.Errorf("field %s: bad value %.64q", fieldNames[field], value)
	}
	return nil
}

// maxCost is the most that a request may cost.
func maxCost(cfg *config.Config) float64 {
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

// forwardedCommand is the request as a backend gets it: as received, but with the timeout that is left. Of a
// large body it has only the head.
func (r *request) forwardedCommand(timeout policy.Time) []byte {
	fields := r.args[fieldsArg]
	newFields := make([]byte, 0, len(fields)+timeoutDigits)
	newFields = append(newFields, fields[:r.timeoutSpan.start]...)
	newFields = strconv.AppendInt(newFields, max(1, timeout/millisecond), 10)
	newFields = append(newFields, fields[r.timeoutSpan.end:]...)

	count := len(r.args)
	if r.body != nil {
		count++
	}
	b := resp.AppendArray(make([]byte, 0, argsSize(r.args)+forwardedOverhead), count)
	for i, arg := range r.args {
		if i == fieldsArg {
			arg = newFields
		}
		b = resp.AppendBulk(b, arg)
	}
	if r.body != nil {
		b = resp.AppendBulkHead(b, r.body.size)
	}
	return b
}
