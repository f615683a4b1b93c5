package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// builtGateway is the program without the race detector, which needs several times the memory. It is built
// once, by the first test that needs it.
var builtGateway struct {
	once sync.Once
	dir  string
	err  error
}

// programVariable is the environment variable with the path of another build of the gateway, which the tests
// that call buildGateway then run instead.
const programVariable = "SPARSPREAD_TEST_PROGRAM"

// buildGateway builds the gateway and returns its path.
func buildGateway(tb testing.TB) (program string) {
	tb.Helper()
	if program := os.Getenv(programVariable); program != "" {
		return program
	}
	builtGateway.once.Do(func() {
		builtGateway.dir, builtGateway.err = makeShortDir()
		if builtGateway.err != nil {
			return
		}
		build := exec.CommandContext(context.Background(), "go", "build", "-o", builtGateway.dir+"/", ".")
		build.Stderr = os.Stderr
		builtGateway.err = build.Run()
	})
	if builtGateway.err != nil {
		tb.Fatal("build the gateway: ", builtGateway.err)
	}
	return filepath.Join(builtGateway.dir, "gateway")
}

// removeBuiltGateway removes the program that buildGateway has built, if any.
func removeBuiltGateway() {
	if builtGateway.dir != "" {
		_ = os.RemoveAll(builtGateway.dir)
	}
}
