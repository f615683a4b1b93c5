package settings

import (
	"errors"
	"reflect"
	"testing"

	"sparspread/policy"
)

// testSettings are the settings of a deployment in the simulator's form.
const testSettings = `balancers=2
self-index=1
unknown.key=7
report.names=served_ps,pending
membership-mode=on_request
guarantees.cold-from=0.16
request-classes.count=1
request-classes.0.promise-us=600000
request-classes.0.repeat=dedup
request-classes.0.group=cell
tariffs.count=1
tariffs.0.rate=1.5
tariffs.0.burst=6
`

func TestParseTextReadsSettings(t *testing.T) {
	got, err := ParseText([]byte(testSettings))
	want := policy.Settings{
		Self: 1, Gateways: 2, PollEndpoints: true, SlowStartFloor: 0.16,
		LoadReport: []policy.LoadMetric{policy.UnusedMetric, policy.WaitingMetric},
		Classes: []policy.Class{{
			LatencyObjective: 600000, Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupCell,
		}},
		Plans: []policy.Plan{{Rate: 1.5, Burst: 6, ValueFactor: 1}},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("settings %+v, %v; want %+v", got, err, want)
	}
}

func TestParseErrorsNameKeyAndProblem(t *testing.T) {
	for _, tt := range []struct{ key, value, text string }{
		{"balancers", "two", `"two": strconv.ParseInt: parsing "two": invalid syntax`},
		{"request-classes.0.repeat", "perhaps", `"perhaps": expected one of the allowed values`},
		{"request-classes.count", "1000000000", `"1000000000": expected the number of items in the list`},
		{"tariffs.0.rate", "", `"": strconv.ParseFloat: parsing "": invalid syntax`},
	} {
		t.Run(tt.key, func(t *testing.T) {
			_, err := ParseText([]byte(testSettings + tt.key + "=" + tt.value + "\n"))
			var keyErr *KeyError
			if !errors.As(err, &keyErr) || keyErr.Key != tt.key || keyErr.Value != tt.value {
				t.Fatalf("error %v, want a KeyError of key %s with value %q", err, tt.key, tt.value)
			}
			if want := "setting " + tt.key + ": " + tt.text; err.Error() != want {
				t.Errorf("error %q, want %q", err, want)
			}
		})
	}
	_, err := ParseText(nil)
	if want := "setting request-classes.count: missing"; !errors.Is(err, ErrMissing) || err.Error() != want {
		t.Errorf("empty settings: error %v, want %s", err, want)
	}
	_, _, err = ParseJSON([]byte(`{"ceilings":{"max-attempts":0}}`))
	const want = `setting ceilings.max-attempts: "0": expected a number above 0`
	if !errors.Is(err, errNotPositive) || err.Error() != want {
		t.Errorf("maximum of 0 attempts: error %v, want %s", err, want)
	}
}
