package command

import (
	"errors"
	"strings"
	"testing"

	"sparspread/internal/config"
	"sparspread/policy"
)

// testConfig returns a configuration with one plan and with one class for each kind of idempotency.
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

// commandArgs returns strings as the arguments of a command.
func commandArgs(list ...string) (args [][]byte) {
	for _, arg := range list {
		args = append(args, []byte(arg))
	}
	return args
}

const (
	testCustomer  = "0000000000000007"
	testRequestID = "9b1f03aa5c7e2d41"
)

// A request is forwarded with the fields that were parsed; only the timeout is replaced.
func TestParseAndEncodeForBackend(t *testing.T) {
	const sent = "c=lookup,t=team,d=480,units=2,spread=3,first=1"
	args := commandArgs("api.read", testCustomer, testRequestID, sent, "BODY")
	got, err := Parse(testConfig(), args)
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Request{Customer: 7, Timeout: 480_000, Cost: 2, Replicas: 3, FirstReplica: 1}
	if got.PolicyRequest != want || got.RequestID != 0x9b1f03aa5c7e2d41 {
		t.Errorf("request %+v with ID %x, want %+v", got.PolicyRequest, got.RequestID, want)
	}
	const fields = "c=lookup,t=team,d=99,units=2,spread=3,first=1"
	forwarded := string(EncodeForBackend(got.Args, got.TimeoutSpan, 99_900, 0))
	wantForwarded := "*5\r\n$8\r\napi.read\r\n$16\r\n" + testCustomer +
		"\r\n$16\r\n" + testRequestID + "\r\n$45\r\n" + fields + "\r\n$4\r\nBODY\r\n"
	if forwarded != wantForwarded {
		t.Errorf("forwarded %q, want %q", forwarded, wantForwarded)
	}
}

// Only the head of a large body is encoded, and the timeout is at least 1 ms.
func TestEncodeForBackendEndsWithHeadOfLargeBody(t *testing.T) {
	args := commandArgs("API.WRITE", testCustomer, testRequestID, "d=480")
	got := string(EncodeForBackend(args, Span{Start: 2, End: 5}, 0, 70_000))
	if want := "*5\r\n"; !strings.HasPrefix(got, want) {
		t.Errorf("forwarded %q, want the prefix %q", got, want)
	}
	if want := "$3\r\nd=1\r\n$70000\r\n"; !strings.HasSuffix(got, want) {
		t.Errorf("forwarded %q, want the suffix %q", got, want)
	}
}

// Arguments and fields that are missing, unknown or out of range get errors with the protocol's texts.
func TestParseErrors(t *testing.T) {
	const good = "c=lookup,t=team,d=480,units=2,spread=3,first=1"
	replace := func(part, by string) string { return strings.Replace(good, part, by, 1) }
	for _, c := range []struct {
		name, customer, id, fields, want string
	}{
		{
			"customer", "7", testRequestID, good,
			"customer: expected 16 hexadecimal digits, and a value below 2^33",
		},
		{"id", testCustomer, "7", good, "id: expected 16 hexadecimal digits"},
		{"unknown field", testCustomer, testRequestID, good + ",x=1", `field "x": unknown`},
		{
			"repeated field", testCustomer, testRequestID, good + ",d=1",
			"fields: expected a list of name=value, with each name once",
		},
		{"missing field", testCustomer, testRequestID, replace("t=team,", ""), "field t: missing"},
		{
			"cost is not a number", testCustomer, testRequestID, replace("units=2", "units=NaN"),
			`field units: invalid value "NaN"`,
		},
		{
			"timeout over the limit of the class", testCustomer, testRequestID, replace("480", "2001"),
			"field d: longer than the limit of the class",
		},
		{
			"wrong command for the class", testCustomer, testRequestID, replace("lookup", "once"),
			"class once: expected API.READ if it is idempotent, API.WRITE otherwise",
		},
		{"missing key", testCustomer, testRequestID, replace("lookup", "order"), "field k: missing"},
		{"empty key", testCustomer, testRequestID, good + ",k=", `field k: invalid value ""`},
		{
			"unknown class", testCustomer, testRequestID, replace("lookup", "gone"),
			`field c: unknown class "gone"`,
		},
		{
			"unknown plan", testCustomer, testRequestID, replace("team", "gone"),
			`field t: invalid value "gone"`,
		},
		{
			"too many replicas", testCustomer, testRequestID, replace("spread=3", "spread=5"),
			`field spread: invalid value "5"`,
		},
		{
			"first replica out of range", testCustomer, testRequestID, replace("first=1", "first=4"),
			`field first: invalid value "4"`,
		},
		{"timeout of zero", testCustomer, testRequestID, replace("480", "0"), `field d: invalid value "0"`},
		{"invalid retry flag", testCustomer, testRequestID, good + ",r=2", `field r: invalid value "2"`},
		{
			"long unknown field", testCustomer, testRequestID, good + "," + strings.Repeat("x", 40) + "=1",
			`field "` + strings.Repeat("x", 32) + `": unknown`,
		},
		{
			"long value", testCustomer, testRequestID, replace("team", strings.Repeat("y", 70)),
			`field t: invalid value "` + strings.Repeat("y", 64) + `"`,
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
	_, err := Parse(testConfig(), commandArgs("API.READ", testCustomer, testRequestID, "units=-1"))
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != "units" || fieldErr.Value != "-1" {
		t.Errorf("error %v, want a FieldError of field units with value -1", err)
	}
	if !errors.Is(err, errInvalidValue) {
		t.Errorf("error %v, want %v", err, errInvalidValue)
	}
}

// A caller can distinguish an unknown class from other errors, since a reload may have removed the class.
func TestParseReportsUnknownClass(t *testing.T) {
	fields := "c=gone,t=team,d=480,units=2,spread=3,first=1"
	_, err := Parse(testConfig(), commandArgs("API.READ", testCustomer, testRequestID, fields))
	if !errors.Is(err, ErrUnknownClass) {
		t.Errorf("error %v, want %v", err, ErrUnknownClass)
	}
}
