package command

import (
	"errors"
	"strings"
	"testing"

	"sparspread/internal/config"
	"sparspread/policy"
)

// testConfig has one class of each idempotency and one plan.
func testConfig() *config.Config {
	cfg := &config.Config{}
	cfg.Host.Classes = []string{"lookup", "order", "once"}
	cfg.Host.ClientTimeouts = []policy.Time{1_000_000, 0, 0}
	cfg.Host.Plans = []string{"team"}
	cfg.Settings.Gateways = 4
	cfg.Settings.Classes = []policy.Class{
		{Idempotency: policy.Idempotent},
		{Idempotency: policy.IdempotentWithKey},
		{Idempotency: policy.NotIdempotent},
	}
	return cfg
}

// arguments returns a command's arguments.
func commandArgs(list ...string) (args [][]byte) {
	for _, arg := range list {
		args = append(args, []byte(arg))
	}
	return args
}

const (
	testCustomer = "0000000000000007"
	testClientID = "9b1f03aa5c7e2d41"
)

// A request's fields are parsed, and forwarded unchanged but for the timeout.
func TestParseAndForward(t *testing.T) {
	const sent = "c=lookup,t=team,d=480,units=2,spread=3,first=1"
	args := commandArgs("api.read", testCustomer, testClientID, sent, "BODY")
	got, err := Parse(testConfig(), args)
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Request{Customer: 7, Timeout: 480_000, Cost: 2, Replicas: 3, FirstReplica: 1}
	if got.Details != want || got.ClientID != 0x9b1f03aa5c7e2d41 {
		t.Errorf("request %+v of id %x, want %+v", got.Details, got.ClientID, want)
	}
	const fields = "c=lookup,t=team,d=99,units=2,spread=3,first=1"
	forwarded := string(Forwarded(got.Args, got.TimeoutSpan, 99_900, 0))
	wantForwarded := "*5\r\n$8\r\napi.read\r\n$16\r\n" + testCustomer +
		"\r\n$16\r\n" + testClientID + "\r\n$45\r\n" + fields + "\r\n$4\r\nBODY\r\n"
	if forwarded != wantForwarded {
		t.Errorf("forwarded %q, want %q", forwarded, wantForwarded)
	}
}

// Of a large body only the head is forwarded. A timeout is a millisecond at least.
func TestForwardedRequestEndsWithHeadOfLargeBody(t *testing.T) {
	args := commandArgs("API.WRITE", testCustomer, testClientID, "d=480")
	got := string(Forwarded(args, Span{Start: 2, End: 5}, 0, 70_000))
	if want := "*5\r\n"; !strings.HasPrefix(got, want) {
		t.Errorf("forwarded %q, want the prefix %q", got, want)
	}
	if want := "$3\r\nd=1\r\n$70000\r\n"; !strings.HasSuffix(got, want) {
		t.Errorf("forwarded %q, want the suffix %q", got, want)
	}
}

// What is missing, unknown or out of range gets an error in the words of the protocol.
func TestParseErrors(t *testing.T) {
	const good = "c=lookup,t=team,d=480,units=2,spread=3,first=1"
	replace := func(part, by string) string { return strings.Replace(good, part, by, 1) }
	for _, c := range []struct {
		name, customer, id, fields, want string
	}{
		{"customer", "7", testClientID, good, "customer: 16 hex digits below 2^33 wanted"},
		{"id", testCustomer, "7", good, "id: 16 hex digits wanted"},
		{"unknown field", testCustomer, testClientID, good + ",x=1", `field "x": unknown`},
		{"field twice", testCustomer, testClientID, good + ",d=1", "fields: name=value wanted, each once"},
		{"missing field", testCustomer, testClientID, replace("t=team,", ""), "field t: missing"},
		{
			"bad value", testCustomer, testClientID, replace("units=2", "units=NaN"),
			`field units: bad value "NaN"`,
		},
		{
			"long timeout", testCustomer, testClientID, replace("480", "2001"),
			"field d: longer than the class allows",
		},
		{
			"wrong command", testCustomer, testClientID, replace("lookup", "once"),
			"class once does not go by this command",
		},
		{"no key", testCustomer, testClientID, replace("lookup", "order"), "field k: missing"},
		{"empty key", testCustomer, testClientID, good + ",k=", `field k: bad value ""`},
		{
			"unknown class", testCustomer, testClientID, replace("lookup", "gone"),
			`field c: unknown class "gone"`,
		},
		{"unknown plan", testCustomer, testClientID, replace("team", "gone"), `field t: bad value "gone"`},
		{
			"too many replicas", testCustomer, testClientID, replace("spread=3", "spread=5"),
			`field spread: bad value "5"`,
		},
		{
			"first replica", testCustomer, testClientID, replace("first=1", "first=4"),
			`field first: bad value "4"`,
		},
		{"no timeout", testCustomer, testClientID, replace("480", "0"), `field d: bad value "0"`},
		{"retry flag", testCustomer, testClientID, good + ",r=2", `field r: bad value "2"`},
		{
			"long name", testCustomer, testClientID, good + "," + strings.Repeat("x", 40) + "=1",
			`field "` + strings.Repeat("x", 32) + `": unknown`,
		},
		{
			"long value", testCustomer, testClientID, replace("team", strings.Repeat("y", 70)),
			`field t: bad value "` + strings.Repeat("y", 64) + `"`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(testConfig(), commandArgs("API.READ", c.customer, c.id, c.fields))
			if err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}

func TestParseReturnsFieldErrorWithFieldAndValue(t *testing.T) {
	_, err := Parse(testConfig(), commandArgs("API.READ", testCustomer, testClientID, "units=-1"))
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != "units" || fieldErr.Value != "-1" {
		t.Errorf("error %v, want one of field units with value -1", err)
	}
	if !errors.Is(err, errInvalidValue) {
		t.Errorf("error %v, want %v", err, errInvalidValue)
	}
}

// An unknown class can be told from other errors: a reload may have removed it.
func TestParseReportsUnknownClass(t *testing.T) {
	fields := "c=gone,t=team,d=480,units=2,spread=3,first=1"
	_, err := Parse(testConfig(), commandArgs("API.READ", testCustomer, testClientID, fields))
	if !errors.Is(err, ErrUnknownClass) {
		t.Errorf("error %v, want %v", err, ErrUnknownClass)
	}
}
