package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

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

func (u *Update) decodeEndpoints(decoder *json.Decoder) error {
	u.Endpoints = nil
	switch token, err := decoder.Token(); {
	case err != nil:
		return err
	case token == nil: // null stands for an empty list
		return nil
	case token != json.Delim('['):
		return fmt.Errorf("members: got %v, want a list", token)
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
		return fmt.Errorf("got %v, want %v", token, want)
	}
	return nil
}
