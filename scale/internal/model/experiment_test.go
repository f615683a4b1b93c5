package model

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const scaleDir = "../.." // the folder of the experiment files

func TestReadExperimentErrorNamesInvalidKey(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join(scaleDir, "testdata", "small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"syntax", `name = "small"`, `name = `, "expected value"},
		{"unknown key", "repeats = 1", "repeats = 1\nrepeat = 2", "repeat: unknown key"},
		{
			"unknown axis", `axis = "gateways"`, `axis = "sideways"`,
			`axis: "sideways": expected backends, gateways, changes or requests`,
		},
		{"no sizes", "sizes = [2, 6]", "sizes = []", "sizes: 0: expected 1 to 10"},
		{
			"fewer gateways than real", "sizes = [2, 6]", "sizes = [1, 6]",
			"sizes[0]: gateways: 1: expected at least 2 (real gateways), at most 1 (tier size) and 8000",
		},
		{
			"fractional number of gateways", "sizes = [2, 6]", "sizes = [2.5, 6]",
			"sizes[0]: 2.5: expected a whole number",
		},
		{
			"fewer labels than sizes", "repeats = 1", "repeats = 1\nlabels = [\"a\"]",
			"labels: 1 for 2 sizes: expected one for each size, or none",
		},
		{"zero repeats", "repeats = 1", "repeats = 0", "repeats: 0: expected 1 to 10"},
		{"zero phase length", `idle = "300ms"`, `idle = "0s"`, "idle: 0s: expected above 0 and at most 1m0s"},
		{
			"phase too long", `idle = "300ms"`, `idle = "10h"`,
			"idle: 10h0m0s: expected above 0 and at most 1m0s",
		},
		{
			"replica set larger than the tier", "spreads = [1, 2]", "spreads = [3]",
			"spreads: 3: expected 1 to 2, the size of the tier",
		},
		{
			"unknown kind of last known list", "repeats = 1", "repeats = 1\nknown = \"some\"",
			`known: "some": expected list or empty`,
		},
		{
			"more changes than half of the backends", "changes = 2.0", "changes = 20.0",
			"changes: 20: expected above 0 and at most half of 12 backends",
		},
		{
			"too many backends", "backends = 12", "backends = 1000000",
			"backends: 1000000: expected 2 to 120000",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(string(valid), c.old, c.new, 1)
			if text == string(valid) {
				t.Fatalf("experiment file does not contain %q", c.old)
			}
			path := filepath.Join(t.TempDir(), "malformed.toml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := ReadExperiment(path)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

// Guards against a change of the limits that would reject the experiments behind the recorded results.
func TestReadExperimentAcceptsExperimentsOfResults(t *testing.T) {
	const minSizes = 4
	paths, err := filepath.Glob(filepath.Join(scaleDir, "*.toml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("experiment files %v, error %v, want at least one file", paths, err)
	}
	for _, path := range paths {
		e, err := ReadExperiment(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(e.Sizes) < minSizes {
			t.Errorf("%s: %d sizes, want at least %d", path, len(e.Sizes), minSizes)
		}
	}
}
