package settings

import (
	"reflect"
	"strings"
	"testing"

	"sparspread/policy"
)

const profile = `balancers=2
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

func TestParseTextReadsSettingsAndNamesBadValues(t *testing.T) {
	got, err := ParseText([]byte(profile))
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
	for key, bad := range map[string]string{
		"balancers":                "balancers=two",
		"request-classes.0.repeat": "request-classes.0.repeat=perhaps",
		"request-classes.count":    "request-classes.count=1000000000",
		"tariffs.0.rate":           "tariffs.0.rate=",
	} {
		_, err := ParseText([]byte(profile + bad + "\n"))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v, want one that names %s", bad, err, key)
		}
	}
}
