package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// TokenError says that an update has another JSON token than its form has at that place.
type TokenError struct {
	Field string     // whose value it is; empty: the update itself, or the end of a list
	Got   json.Token // nil: null
	Want  string
}

// Error names the field, where there is one, and both tokens.
func (e *TokenError) Error() string {
	text := fmt.Sprintf("got %v, want %s", e.Got, e.Want)
	if e.Field == "" {
		return text
	}
	return e.Field + ": " + text
}

// Decode reads an update one endpoint at a time, so that the JSON text is never in memory as a whole. It
// accepts what encoding/json would accept, except null for the update itself; a truncated update is an
// error.
func (u *Update) Decode(decoder *json.Decoder) error {
	if err := expectDelim(decoder, '{'); err != nil {
		return err
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string) // the decoder lets only strings stand as keys
		if err := u.decodeField(decoder, name); err != nil {
			return err
		}
	}
	return expectDelim(decoder, '}')
}

// decodeField reads the value of one field. Names match without regard to case, as in encoding/json, and
// unknown fields are skipped.
func (u *Update) decodeField(decoder *json.Decoder, name string) error {
	switch {
	case strings.EqualFold(name, "revision"):
		return decoder.Decode(&u.Revision)
	case strings.EqualFold(name, "complete"):
		return decoder.Decode(&u.Complete)
	case strings.EqualFold(name, "members"):
		return u.decodeEndpoints(decoder)
	}
	return decoder.Decode(&skippedValue{})
}

// decodeEndpoints reads the list of endpoints.
func (u *Update) decodeEndpoints(decoder *json.Decoder) error {
	u.Endpoints = nil
	switch token, err := decoder.Token(); {
	case err != nil:
		return err
	case token == nil: // null stands for an empty list
		return nil
	case token != json.Delim('['):
		return &TokenError{Field: "members", Got: token, Want: "a list"}
	}
	for decoder.More() {
		var endpoint Endpoint
		if err := decoder.Decode(&endpoint); err != nil {
			return err
		}
		u.Endpoints = append(u.Endpoints, endpoint)
	}
	return expectDelim(decoder, ']')
}

// skippedValue reads any JSON value and keeps nothing of it.
type skippedValue struct{}

// UnmarshalJSON accepts any value.
func (*skippedValue) UnmarshalJSON([]byte) error { return nil }

// expectDelim reads one bracket or brace.
func expectDelim(decoder *json.Decoder, want json.Delim) error {
	switch token, err := decoder.Token(); {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	case token != want:
		return &TokenError{Got: token, Want: want.String()}
	}
	return nil
}
