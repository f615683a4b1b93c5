package handover

import (
	"path/filepath"
	"testing"
)

func TestSocketPathMatchesOlderVersions(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	for _, tt := range []struct{ listen, want string }{
		{"127.0.0.1:6379", filepath.Join(dir, "mothcleat-127.0.0.1:6379.sock")},
		{"a/b:6379", filepath.Join(dir, "mothcleat-a_b:6379.sock")},
		{"127.0.0.1:0", ""}, // the kernel chooses the port: no other process could know it
		{"no port", ""},
	} {
		if got := SocketPath(tt.listen); got != tt.want {
			t.Errorf("SocketPath(%q) = %q, want %q", tt.listen, got, tt.want)
		}
	}
}
