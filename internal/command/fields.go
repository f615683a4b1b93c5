package command

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"

	"sparspread/internal/config"
	"sparspread/policy"
)

// The fields of a request. The fields before requiredFieldCount are required.
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

// fieldNames lists the fields' names in the protocol.
var fieldNames = [...]string{
	classField:        "c",
	planField:         "t",
	timeoutField:      "d",
	costField:         "units",
	replicasField:     "spread",
	firstReplicaField: "first",
	keyField:          "k",
	retryFlagField:    "r",
}

const (
	defaultMaxCost    = 1e6 // units; limits the cost of a request if the settings do not
	microsecondsPerMS = 1000
	maxTimeoutMS      = 24 * 3600 * 1000
)

// fieldSet is a set of fields, with one bit per field.
type fieldSet uint

// has reports whether a field is in the set.
func (s fieldSet) has(field int) bool { return s&(1<<field) != 0 }

// parseFields parses the list of name=value into the request and returns the set of fields that are present.
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
			return present, &FieldError{Field: fmt.Sprintf("%.32q", name), Err: errUnknownField}
		case !ok || present.has(field):
			return present, errFieldSyntax
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

// parseField parses the value of one field into r.PolicyRequest. It only checks the idempotency key and the
// retry flag, which the policy does not use.
func (r *Request) parseField(cfg *config.Config, field int, value string) error {
	ok, cause := false, errInvalidValue
	switch field {
	case classField:
		r.PolicyRequest.Class, ok = indexOfName(cfg.Host.Classes, value)
		cause = ErrUnknownClass
	case planField:
		r.PolicyRequest.Plan, ok = indexOfName(cfg.Host.Plans, value)
	case timeoutField:
		r.PolicyRequest.Timeout, ok = parseTimeout(value)
	case costField:
		r.PolicyRequest.Cost, ok = parseCost(value, MaxCost(cfg))
	case replicasField:
		r.PolicyRequest.Replicas, ok = parseInt(value, 1, cfg.Settings.Gateways)
	case firstReplicaField:
		r.PolicyRequest.FirstReplica, ok = parseInt(value, 0, cfg.Settings.Gateways-1)
	case keyField:
		ok = value != ""
	case retryFlagField:
		ok = value == "0" || value == "1"
	}
	if !ok {
		return &FieldError{Field: fieldNames[field], Value: value, Err: fmt.Errorf("%w %.64q", cause, value)}
	}
	return nil
}

// indexOfName returns the index of a name in a list, and whether the list contains it.
func indexOfName(names []string, name string) (int, bool) {
	i := slices.Index(names, name)
	return i, i >= 0
}

// parseTimeout parses a number of milliseconds from 1 to maxTimeoutMS.
func parseTimeout(value string) (policy.Time, bool) {
	ms, err := strconv.ParseInt(value, 10, 64)
	return ms * microsecondsPerMS, err == nil && ms > 0 && ms <= maxTimeoutMS
}

// parseCost parses a number that is above 0 and at most highest.
func parseCost(value string, highest float64) (float64, bool) {
	cost, err := strconv.ParseFloat(value, 64)
	return cost, err == nil && cost > 0 && cost <= highest // the comparisons are false for NaN
}

// parseInt parses an integer from lowest to highest.
func parseInt(value string, lowest, highest int) (int, bool) {
	n, err := strconv.Atoi(value)
	return n, err == nil && n >= lowest && n <= highest
}

// MaxCost returns the maximum cost of a request, in units.
func MaxCost(cfg *config.Config) float64 {
	if cfg.Settings.MaxCost > 0 {
		return cfg.Settings.MaxCost
	}
	return defaultMaxCost
}
