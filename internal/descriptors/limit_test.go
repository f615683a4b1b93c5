package descriptors

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"sparspread/internal/config"
)

func TestUsableReturnsLowerLimit(t *testing.T) {
	for name, tt := range map[string]struct{ configured, process, want int }{
		"unknown process limit": {64, 0, 64},
		"higher process limit":  {64, 65, 64},
		"lower process limit":   {64, 40, 40},
	} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			log := slog.New(slog.NewTextHandler(&text, nil))
			cfg := &config.Config{Sockets: tt.configured, DescriptorLimit: tt.process}
			if got := Usable(cfg, log); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
			const line = `level=WARN msg="fewer descriptors than configured"` +
				` limits.sockets=64 limit_of_open_files=40`
			if got := strings.Contains(text.String(), line); got != (tt.want < tt.configured) {
				t.Errorf("logged %q", text.String())
			}
		})
	}
}
