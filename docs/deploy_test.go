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

// deployment is what the tests read of the deploy file.
type deployment struct {
	Build  string   `toml:"build"`
	Policy []string `toml:"policy"` // the files that decide
	Node   []string `toml:"node"`   // the packages of the gateway, except for the decisions
}

func readDeployment(t *testing.T) deployment {
	t.Helper()
	var d deployment
	if _, err := toml.DecodeFile(deployFile, &d); err != nil {
		t.Fatal(err)
	}
	return d
}

// A package that moves or is added is listed.
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
		t.Errorf("%s lists as node\n%q, the gateway is made of\n%q", deployFile, listed, want)
	}
}

func TestDeployFileListsExistingPolicyFiles(t *testing.T) {
	listed := readDeployment(t).Policy
	if len(listed) == 0 {
		t.Errorf("%s lists no files that decide", deployFile)
	}
	for _, path := range listed {
		if _, err := os.Stat(filepath.Join("..", path)); err != nil {
			t.Errorf("%s: %v", deployFile, err)
		}
	}
}
