package settings

import (
	"errors"
	"testing"
)

// Any text gets settings or an error.
func FuzzParseJSON(f *testing.F) {
	f.Add([]byte(`{"request-classes":{"":1}}`))
	f.Add([]byte(`{"tariffs":{"":1}}`))
	f.Add([]byte(`{"request-classes":[{"name":"a","promise-us":1}],"tariffs":[{"name":"b"}]}`))
	f.Add([]byte(`{"request-classes":{"count":1000000},"tariffs":[]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, host, err := ParseJSON(raw)
		var keyError *KeyError
		if errors.As(err, &keyError) && (keyError.Key == "" || keyError.Err == nil) {
			t.Errorf("error %v has the key %q", err, keyError.Key)
		}
		if err == nil && len(host.Classes) != len(host.ClientTimeouts) {
			t.Errorf("%d classes, %d client timeouts", len(host.Classes), len(host.ClientTimeouts))
		}
	})
}

// Any text gets settings or an error.
func FuzzParseText(f *testing.F) {
	f.Add([]byte("request-classes.count=1\nrequest-classes.0.name=a\ntariffs.count=0\n"))
	f.Add([]byte("request-classes.=1\n=\n=.=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := ParseText(text)
		if err == nil && len(settings.Classes)+len(settings.Plans) > len(text) {
			t.Errorf("%d classes and %d plans from %d bytes",
				len(settings.Classes), len(settings.Plans), len(text))
		}
	})
}
