package model

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const scaleDir = "../.." // of the experiments

func TestReadExperimentNamesEachMistake(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join(scaleDir, "testdata", "small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"syntax", `name = "small"`, `name = `, "expected value"},
		{"unknown key", "repeats = 1", "repeats = 1\nrepeat = 2", "repeat: no such key"},
		{
			"unknown axis", `axis = "gateways"`, `axis = "sideways"`,
			`axis: "sideways", backends, gateways, changes or requests wanted`,
		},
		{"no sizes", "sizes = [2, 6]", "sizes = []", "sizes: 0, 1 to 10 wanted"},
		{
			"fewer gateways than real", "sizes = [2, 6]", "sizes = [1, 6]",
			"sizes[0]: gateways: 1, at least the real 2 and up to the tier's 1 and 8000 wanted",
		},
		{"half a gateway", "sizes = [2, 6]", "sizes = [2.5, 6]", "sizes[0]: 2.5, a whole number wanted"},
		{
			"fewer labels than sizes", "repeats = 1", "repeats = 1\nlabels = [\"a\"]",
			"labels: 1 for 2 sizes, one for each or none wanted",
		},
		{"no repeats", "repeats = 1", "repeats = 0", "repeats: 0, 1 to 10 wanted"},
		{"phase without length", `idle = "300ms"`, `idle = "0s"`, "idle: 0s, above 0 and up to 1m0s wanted"},
		{"phase too long", `idle = "300ms"`, `idle = "10h"`, "idle: 10h0m0s, above 0 and up to 1m0s wanted"},
		{
			"replica set larger than the tier", "spreads = [1, 2]", "spreads = [3]",
			"spreads: 3, 1 to the tier's 2 wanted",
		},
		{
			"unknown known list", "repeats = 1", "repeats = 1\nknown = \"some\"",
			`known: "some", list or empty wanted`,
		},
		{
			"more changes than backends", "changes = 2.0", "changes = 20.0",
			"changes: 20, above 0 and up to half of 12 backends wanted",
		},
		{"too many backends", "backends = 12", "backends = 1000000", "backends: 1000000, 2 to 120000 wanted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(string(valid), c.old, c.new, 1)
			if text == string(valid) {
				t.Fatalf("%q is not in the experiment", c.old)
			}
			path := filepath.Join(t.TempDir(), "malformed.toml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := ReadExperiment(path)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want one with %q", err, c.want)
			}
		})
	}
}

// The experiments that the recorded results come from are valid.
func TestExperimentsOfResultsAreValid(t *testing.T) {
	const minSizes = 4
	paths, err := filepath.Glob(filepath.Join(scaleDir, "*.toml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("experiments: %v, %v", paths, err)
	}
	for _, path := range paths {
		e, err := ReadExperiment(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(e.Sizes) < minSizes {
			t.Errorf("%s: %d sizes, want %d or more", path, len(e.Sizes), minSizes)
		}
	}
}
