package config

import (
	"fmt"
	"testing"

	"sparspread/policy"
)

// Any configuration is rejected with an error, or a gateway can decide with it.
func FuzzParse(f *testing.F) {
	const valid = `{"listen":"a:1","discovery":"a:1","seed":"01","settings":%s}`
	f.Add(fmt.Appendf(nil, valid, minimalSettings))
	f.Add(fmt.Appendf(nil, valid, `{"request-classes":{"":1}}`))
	f.Add(fmt.Appendf(nil, valid, `{"self-index":-1,"balancers":0,"request-classes":[{"name":"c",`+
		`"promise-us":1,"hard-limit-us":-5,"repeat":"dedup"}],`+
		`"tariffs":[{"name":"t","rate":-1,"burst":1e308}]}`))
	f.Add([]byte(`{"limits":{"memory_mb":-1,"sockets":1e9},"peers":[""],"known":{"members":[null]},` +
		`"settings":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse(raw)
		if err != nil {
			return
		}
		if _, err := policy.New(c.Settings, c.Seed, nil); err != nil {
			return
		}
		if len(c.Settings.Classes) != len(c.Host.Classes) || len(c.Settings.Plans) != len(c.Host.Plans) {
			t.Errorf("%d classes with %d names, %d plans with %d names", len(c.Settings.Classes),
				len(c.Host.Classes), len(c.Settings.Plans), len(c.Host.Plans))
		}
	})
}
