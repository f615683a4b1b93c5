package settings

import (
	"reflect"
	"strings"
	"testing"
)

// ParseJSON and ParseText return the same settings for both forms of a deployment's settings.
func TestParseJSONMatchesParseText(t *testing.T) {
	const nested = `{"balancers":3,"ceilings":{"peers":true,"max-open":20000},"localities":["a","b"],
		"report":{"names":["busy_reqs","other"],"via":"pull"},
		"prices":{"cross-zone":0.5},"not-known":[{"x":null}],
		"request-classes":[{"name":"lookup","promise-us":1000000,"repeat":"dedup","group":"zone"}],
		"tariffs":[{"name":"team","rate":1.25,"burst":7.0},{"name":"other","rate":2.0,"burst":8.0}]}`
	const flat = "balancers=3\nceilings.peers=true\nceilings.max-open=20000\nlocalities=a,b\n" +
		"report.names=busy_reqs,other\nreport.via=pull\nprices.cross-zone=0.5\n" +
		"request-classes.count=1\nrequest-classes.0.name=lookup\nrequest-classes.0.promise-us=1000000\n" +
		"request-classes.0.repeat=dedup\nrequest-classes.0.group=zone\n" +
		"tariffs.count=2\ntariffs.0.name=team\ntariffs.0.rate=1.25\ntariffs.0.burst=7.0\n" +
		"tariffs.1.name=other\ntariffs.1.rate=2.0\ntariffs.1.burst=8.0\n"
	want, err := ParseText([]byte(flat))
	if err != nil {
		t.Fatal(err)
	}
	got, host, err := ParseJSON([]byte(nested))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("settings %+v, %v; want %+v", got, err, want)
	}
	for _, list := range []struct {
		name      string
		got, want []string
	}{
		{"classes", host.Classes, []string{"lookup"}},
		{"plans", host.Plans, []string{"team", "other"}},
		{"zones", host.Zones, []string{"a", "b"}},
	} {
		if !reflect.DeepEqual(list.got, list.want) {
			t.Errorf("%s %q, want %q", list.name, list.got, list.want)
		}
	}
	if host.MaxOpenRequests != 20000 || host.ReportVia != "pull" {
		t.Errorf("max open %d, report via %q, want 20000 and pull", host.MaxOpenRequests, host.ReportVia)
	}
	badValue := strings.Replace(nested, `"balancers":3`, `"balancers":true`, 1)
	if _, _, err := ParseJSON([]byte(badValue)); err == nil {
		t.Error("ParseJSON accepted a value of the wrong type")
	}
}
