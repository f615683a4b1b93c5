package gateway

import (
	"fmt"
	"strings"
	"testing"

	"sparspread/internal/config"
)

// A start reads the list last known with the rest, however long it is.
func BenchmarkParseConfig(b *testing.B) {
	var known []string
	for i := range 20000 {
		known = append(known, fmt.Sprintf(`{"id":"s-%08x","host_port":"10.1.%d.%d:6379","locality":"a","flavor":"m2","cell":3,"phase":"Ready","size":1.0,"up_since_ms":0}`,
			i+1, i>>8, i&255))
	}
	raw := fmt.Appendf(nil, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01",
		"known":{"revision":1,"complete":true,"members":[%s]},"settings":%s}`, strings.Join(known, ","), settingsText)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParse(b *testing.B) {
	cfg, err := config.Parse([]byte(fmt.Sprintf(
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":%s}`, settingsWith(b, `"balancers":1`, `"balancers":4`))))
	if err != nil {
		b.Fatal(err)
	}
	args := [][]byte{
		[]byte("API.WRITE"), []byte("0000000000000007"), []byte("9b1f03aa5c7e2d41"),
		[]byte("c=order,t=team,d=480,k=5c0f6e1a2b3d4c59,units=2,spread=3,first=1"), []byte("BODY"),
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseCommand(&cfg, args); err != nil {
			b.Fatal(err)
		}
	}
}
