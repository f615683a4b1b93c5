package main

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a gateway that does not handle SIGHUP: the signal would end the process.
func TestSIGHUPRequestsReload(t *testing.T) {
	control := handleSignals()
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-control.Reload:
		case <-time.After(waitTimeout):
			t.Fatal("timed out waiting for the request to reload")
		}
	}
}

func TestReadConfigurationReadsCurrentFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(configPathVariable, path)
	const head = `{"listen":"127.0.0.1:0","seed":"01","settings":{"self-index":0,"balancers":1,
		"request-classes":[{"name":"c","promise-us":1}],"tariffs":[{"name":"t"}]},"discovery":`
	for _, c := range []struct {
		text          string
		wantDiscovery string // empty if an error is expected
	}{
		{head + `"127.0.0.1:1"}`, "127.0.0.1:1"},
		{head + `"127.0.0.1:2"}`, "127.0.0.1:2"},
		{head + `"nowhere"}`, ""},
		{head, ""},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := readConfiguration()
		if (err == nil) != (c.wantDiscovery != "") || err == nil && cfg.Discovery != c.wantDiscovery {
			t.Errorf("discovery %q, error %v, want %q", cfg.Discovery, err, c.wantDiscovery)
		}
	}
}

func TestReadConfigurationRequiresPath(t *testing.T) {
	t.Setenv(configPathVariable, "")
	if _, err := readConfiguration(); !errors.Is(err, errNoConfigPath) {
		t.Errorf("error %v, want %v", err, errNoConfigPath)
	}
}

func TestOpsAddressVariableOverridesConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"ops":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(configPathVariable, path)
	t.Setenv(opsAddressVariable, "127.0.0.1:2")
	// The error is ignored: required settings are missing in the file.
	if cfg, _ := readConfiguration(); cfg.Ops != "127.0.0.1:2" {
		t.Errorf("address for operators %q, want that of %s", cfg.Ops, opsAddressVariable)
	}
}
