package gateway

import (
	"strings"
	"testing"

	"sparspread/internal/config"
)

// An invalid configuration gives an error of one line.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":` +
		settingsText + `}`
	if _, err := config.Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{
		{`"seed":"01"`, `"seed":"x"`},
		{`"listen":"127.0.0.1:0"`, `"listen":""`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":""`},
		{`"balancers":1`, `"balancers":"many"`},
		{`"peers":false`, `"peers":true`},
		{`"name":"team"`, `"nam":"team"`},
		{`{"name":"n"`, `{"peers":["nowhere"]`},
		{`"settings":{`, `"set":{`},
		{`}`, ``},
	} {
		bad := strings.Replace(good, c[0], c[1], 1)
		if bad == good {
			t.Fatalf("%s: not there", c[0])
		}
		_, err := config.Parse([]byte(bad))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", c[1], err)
		}
	}
}
