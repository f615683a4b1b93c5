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

// command is a client's request as it was read.
type command struct {
	args        [][]byte
	clientID    uint64 // the id that the client gave
	timeoutSpan span   // of the value of d in args[3]
	request     policy.Request
}

// span is a range of bytes, its end excluded.
type span struct{ start, end int }

const (
	defaultMaxCost = 1e6              // where the settings tell none
	maxTimeoutMS   = 24 * 3600 * 1000 // ms
	customerLimit  = 1 << 33
	timeoutSlack   = 1_000_000 // that d may be over the class's limit
)

var errUnknownClass = errors.New("unknown class")

// parseCommand reads API.READ or API.WRITE. Every field must be known and right: what
// is not understood reaches no backend.
func parseCommand(cfg *config.Config, args [][]byte) (command, error) {
	if len(args) < 4 || len(args) > 5 {
		return command{}, errors.New("wrong number of arguments")
	}
	c := command{args: args}
	customer, ok := parseHex64(args[1])
	if !ok || customer >= customerLimit {
		return c, errors.New("customer: 16 hex digits below 2^33 wanted")
	}
	if c.clientID, ok = parseHex64(args[2]); !ok {
		return c, errors.New("id: 16 hex digits wanted")
	}
	c.request.Customer = customer
	seen, err := parseFields(cfg, &c)
	if err != nil {
		return c, err
	}
	for i, name := range fieldNames {
		if i < requiredFieldCount && seen&(1<<i) == 0 {
			return c, fmt.Errorf("field %s: missing", name)
		}
	}
	if limit := cfg.Host.Limits[c.request.Class]; limit > 0 && c.request.Timeout > limit+timeoutSlack {
		// Longer than any client waits: it would keep its timers and its request.
		return c, errors.New("field d: longer than the class allows")
	}
	effect := cfg.Settings.Classes[c.request.Class].Idempotency
	if effect == policy.IdempotentWithKey && seen&(1<<keyField) == 0 {
		return c, errors.New("field k: missing")
	}
	if reads := bytes.EqualFold(args[0], apiRead); reads != (effect == policy.Idempotent) {
		return c, fmt.Errorf("class %s does not go by this command", cfg.Host.Classes[c.request.Class])
	}
	return c, nil
}

// The fields by name, those that every request needs first.
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

var fieldNames = [...]string{"c", "t", "d", "units", "spread", "first", "k", "r"}

// parseFields reads the list of names and values, and tells which it holds: a bit for
// each.
func parseFields(cfg *config.Config, c *command) (seen uint, err error) {
	list := c.args[3]
	for start := 0; start <= len(list); {
		end := len(list)
		if i := bytes.IndexByte(list[start:], ','); i >= 0 {
			end = start + i
		}
		name, value, ok := bytes.Cut(list[start:end], []byte{'='})
		field := slices.Index(fieldNames[:], string(name))
		switch {
		case field < 0:
			return seen, fmt.Errorf("field %.32q: unknown", name)
		case !ok || seen&(1<<field) != 0:
			return seen, errors.New("fields: name=value wanted, each once")
		}
		if err := parseField(cfg, c, field, string(value)); err != nil {
			return seen, err
		}
		if field == timeoutField {
			c.timeoutSpan = span{start: end - len(value), end: end}
		}
		seen |= 1 << field
		start = end + 1
	}
	return seen, nil
}

func parseField(cfg *config.Config, c *command, field int, value string) error {
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
		c.request.Timeout = ms * 1000
		ok = err == nil && ms > 0 && ms <= maxTimeoutMS
	case keyField:
		ok = value != ""
	case retryFlagField:
		ok = value == "0" || value == "1"
	case costField:
		units, err := strconv.ParseFloat(value, 64)
		c.request.Cost = units
		ok = err == nil && units > 0 && units <= maxCost(cfg) // which NaN is not
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

func parseHex64(b []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return n, err == nil && len(b) == 16
}

// forward is the request as a backend gets it: as it came, but for d.
func (r *request) forward(wait policy.Time) []byte {
	fields := r.args[3]
	list := make([]byte, 0, len(fields)+8)
	list = append(list, fields[:r.timeoutSpan.start]...)
	list = strconv.AppendInt(list, max(1, wait/1000), 10)
	list = append(list, fields[r.timeoutSpan.end:]...)

	n := len(r.args)
	if r.body != nil {
		n++
	}
	b := resp.AppendArray(make([]byte, 0, argsSize(r.args)+72), n)
	for i, arg := range r.args {
		if i == 3 {
			arg = list
		}
		b = resp.AppendBulk(b, arg)
	}
	if r.body != nil {
		b = resp.AppendBulkHead(b, r.body.size)
	}
	return b
}
