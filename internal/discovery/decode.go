package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// TokenError reports an unexpected JSON token in an update.
type TokenError struct {
	Field string     // the field of the update; empty if the token begins or ends the update, or ends a list
	Got   json.Token // nil stands for null
	Want  string
}

// Error returns the field, if any, and both tokens.
func (e *TokenError) Error() string {
	text := fmt.Sprintf("got %v, expected %s", e.Got, e.Want)
	if e.Field == "" {
		return text
	}
	return e.Field + ": " + text
}

// Decode reads an update one endpoint at a time, so that the JSON text is never in memory as a whole. It
// accepts the same texts as encoding/json, except null for the update itself. A truncated update is an error.
func (u *Update) Decode(decoder *json.Decoder) error {
	if err := expectDelim(decoder, '{'); err != nil {
		return err
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string) // the decoder accepts only strings as keys
		if err := u.decodeField(decoder, name); err != nil {
			return err
		}
	}
	return expectDelim(decoder, '}')
}

// decodeField reads the value of one field. Names are matched case-insensitively, as in encoding/json.
// Unknown fields are skipped.
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

// decodeEndpoints reads the value of the field members.
func (u *Update) decodeEndpoints(decoder *json.Decoder) error {
	u.Endpoints = nil
	switch token, err := decoder.Token(); {
	case err != nil:
		return err
	case token == nil: // null counts as an empty list
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

// skippedValue discards any JSON value.
type skippedValue struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*skippedValue) UnmarshalJSON([]byte) error { return nil }

// expectDelim reads one token and returns an error unless it is the given delimiter.
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
