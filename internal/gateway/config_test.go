package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"sparspread/internal/config"
)

// The error for an invalid configuration has a single line.
func TestParseRejectsInvalidConfiguration(t *testing.T) {
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
			t.Fatalf("%s: not found in the configuration", c[0])
		}
		_, err := config.Parse([]byte(bad))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want an error of one line", c[1], err)
		}
	}
}

// editSettings returns settingsText with replacements. Changes are pairs of a text that occurs in it and the
// replacement.
func editSettings(tb testing.TB, changes ...string) json.RawMessage {
	tb.Helper()
	text := settingsText
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			tb.Fatalf("%q: not found in the settings", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return json.RawMessage(text)
}

func TestParseRejectsNonPositiveNumbers(t *testing.T) {
	const format = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":%s}`
	for _, change := range [][2]string{
		{`"max-attempts":3`, `"max-attempts":0`},
		{`"max-attempts":3`, `"max-attempts":-1`},
		{`"max-attempts":3`, `"max-attempts":"some"`},
		{`"max-attempts":3`, `"max-attempts":null`},
		{`"promise-us":10000000`, `"promise-us":0`},
		{`"promise-us":10000000`, `"promise-us":1,"hard-limit-us":0`},
	} {
		raw := fmt.Sprintf(format, editSettings(t, change[0], change[1]))
		if _, err := config.Parse([]byte(raw)); err == nil {
			t.Errorf("%s: got no error", change[1])
		}
	}
}

func TestParseRejectsIncompleteConfiguration(t *testing.T) {
	for _, raw := range []string{"", "{", `{"name":"n0"}`, "null", "[]"} {
		if _, err := config.Parse([]byte(raw)); err == nil {
			t.Errorf("%q: got no error", raw)
		}
	}
}
