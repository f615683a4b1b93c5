package docs

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

const (
	deployFile   = "../deploy/balancer.toml"
	modulePrefix = "sparspread/"
)

// deployment holds the settings of the deploy file that the tests check.
type deployment struct {
	Build  string   `toml:"build"`
	Policy []string `toml:"policy"` // files that implement the policy
	Node   []string `toml:"node"`   // packages of the gateway, except package policy
}

func readDeployment(t *testing.T) deployment {
	t.Helper()
	var d deployment
	if _, err := toml.DecodeFile(deployFile, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a package that is added or moved without a change of the deploy file.
func TestDeployFileListsGatewayPackages(t *testing.T) {
	command := exec.CommandContext(t.Context(), "go", "list", "-deps", "./cmd/gateway")
	command.Dir = ".."
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for importPath := range strings.FieldsSeq(string(output)) {
		if folder, ok := strings.CutPrefix(importPath, modulePrefix); ok && folder != "policy" {
			want = append(want, folder)
		}
	}
	slices.Sort(want)
	listed := slices.Sorted(slices.Values(readDeployment(t).Node))
	if !slices.Equal(listed, want) {
		t.Errorf("%s: node:\n%q, want the packages of the gateway:\n%q", deployFile, listed, want)
	}
}

func TestDeployFileListsExistingPolicyFiles(t *testing.T) {
	listed := readDeployment(t).Policy
	if len(listed) == 0 {
		t.Errorf("%s: policy: no files, want at least one", deployFile)
	}
	for _, path := range listed {
		if _, err := os.Stat(filepath.Join("..", path)); err != nil {
			t.Errorf("%s: policy: %v", deployFile, err)
		}
	}
}
