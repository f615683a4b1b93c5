package gateway

import (
	"fmt"
	"strings"
	"testing"

	"sparspread/internal/command"
	"sparspread/internal/config"
)

// BenchmarkParseConfig measures the parsing of a configuration with a long list of known endpoints.
func BenchmarkParseConfig(b *testing.B) {
	var known []string
	for i := range 20000 {
		known = append(known, fmt.Sprintf(
			`{"id":"s-%08x","host_port":"10.1.%d.%d:6379","locality":"a","flavor":"m2","cell":3,`+
				`"phase":"Ready","size":1.0,"up_since_ms":0}`,
			i+1, i>>8, i&255))
	}
	raw := fmt.Appendf(nil, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01",
		"known":{"revision":1,"complete":true,"members":[%s]},"settings":%s}`,
		strings.Join(known, ","), settingsText)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParse measures the parsing of a command.
func BenchmarkParse(b *testing.B) {
	cfg, err := config.Parse([]byte(fmt.Sprintf(
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":%s}`,
		editSettings(b, `"balancers":1`, `"balancers":4`))))
	if err != nil {
		b.Fatal(err)
	}
	args := [][]byte{
		[]byte("API.WRITE"), []byte("0000000000000007"), []byte("9b1f03aa5c7e2d41"),
		[]byte("c=order,t=team,d=480,k=5c0f6e1a2b3d4c59,units=2,spread=3,first=1"), []byte("BODY"),
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := command.Parse(&cfg, args); err != nil {
			b.Fatal(err)
		}
	}
}

// A malformed command gets one error reply and is not sent to a backend. The connection remains usable.
func TestMalformedCommandReturnsError(t *testing.T) {
	r, b, _ := startWithBackend(t, withSettings(t, `"counter":false`, `"counter":false,"max-units":4`,
		`"name":"lookup"`, `"name":"lookup","hard-limit-us":60000000`))
	const id, customer = "0000000000000001", "0000000000000007"
	good := "c=lookup,t=team,d=60000,units=1,spread=1,first=0"
	for name, args := range map[string][]string{
		"unknown command":  {"GET", "x"},
		"no fields":        {"API.READ", customer, id},
		"too many values":  {"API.READ", customer, id, good, "body", "more"},
		"short customer":   {"API.READ", "7", id, good},
		"customer range":   {"API.READ", "0000000200000000", id, good},
		"short ID":         {"API.READ", customer, "1", good},
		"unknown class":    {"API.READ", customer, id, strings.Replace(good, "lookup", "nothing", 1)},
		"unknown plan":     {"API.READ", customer, id, strings.Replace(good, "team", "nothing", 1)},
		"missing field":    {"API.READ", customer, id, strings.Replace(good, ",d=60000", "", 1)},
		"unknown field":    {"API.READ", customer, id, good + ",x=1"},
		"duplicate field":  {"API.READ", customer, id, good + ",d=1"},
		"invalid timeout":  {"API.READ", customer, id, strings.Replace(good, "60000", "soon", 1)},
		"units not finite": {"API.READ", customer, id, strings.Replace(good, "units=1", "units=NaN", 1)},
		"too many units":   {"API.READ", customer, id, strings.Replace(good, "units=1", "units=5", 1)},
		"spread too large": {"API.READ", customer, id, strings.Replace(good, "spread=1", "spread=2", 1)},
		"first gateway":    {"API.READ", customer, id, strings.Replace(good, "first=0", "first=1", 1)},
		"timeout too long": {"API.READ", customer, id, strings.Replace(good, "60000", "86400000", 1)},
		"wrong command":    {"API.WRITE", customer, id, good, "body"},
		"missing key":      {"API.WRITE", customer, id, strings.Replace(good, "lookup", "order", 1), "body"},
		"fields too large": {"API.READ", customer, id, strings.Repeat("x", 64<<10+1), "body"},
		"over 16 values":   append([]string{"API.READ", customer, id, good}, make([]string, 40)...),
	} {
		t.Run(name, func(t *testing.T) {
			c := r.client(t)
			c.send(args...)
			c.wantError()
			c.send("PING") // the connection is still usable
			c.wantLine("+PONG")
		})
	}
	if len(b.calls) > 0 {
		t.Error("a malformed command was sent to a backend")
	}
}
