package docs

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	readmePath        = "../README.md"
	quickStartHeading = "## Quick start"
	exampleConfig     = "deploy/example/config.json"
	exampleHost       = "127.0.0.1"

	// quickStartTimeout limits the run of all commands. It is not a requirement on their speed.
	quickStartTimeout = 3 * time.Minute
	// outputTimeout limits the wait for the output of programs that still run after a command has failed.
	outputTimeout = 5 * time.Second
	// planBurst is the burst of the smaller plan of the example, whose token bucket refills by one request in
	// ten seconds. quickStartRequests is the number of requests that the quick start sends without a pause.
	planBurst, quickStartRequests = 5, 8
)

// repositoryFile matches the paths in a command that must exist in the repository. Paths below bin/ are not
// matched, because the build creates them.
var repositoryFile = regexp.MustCompile(
	`(?:^|[\s=])(?:\./)?((?:\.ci|cmd|deploy|docs|scale|tools|policy|internal)/[\w./-]+)`,
)

// Runs the commands of the quick start in a shell, with the paths and addresses replaced. The simulated
// environment and the gateway start, the gateway serves the burst of the customer's plan and rejects the
// requests beyond it, and the output that README.md shows is printed.
func TestQuickStartServesBurstAndRejectsExcess(t *testing.T) {
	commands := strings.Join(indentedCommands(t, quickStartHeading), "\n")
	dir := t.TempDir()
	config, host := writeExampleConfig(t, dir)
	script := mustReplaceAll(t, commands, exampleConfig, config)
	script = mustReplaceAll(t, script, exampleHost, host)
	script = mustReplaceAll(t, script, "bin/", filepath.Join(dir, "bin")+"/")
	script = mustReplaceAll(t, script, "mkdir -p bin ", "mkdir -p "+filepath.Join(dir, "bin")+" ")

	output := runInShell(t, dir, script)
	lines := strings.Split(output, "\n")
	if !slices.Contains(lines, "PONG") {
		t.Errorf("no reply to PING in the output:\n%s", output)
	}
	served, rejected := countLinesWithPrefix(lines, "request "), countLinesWithPrefix(lines, "BUSY ")
	if served != planBurst || rejected != quickStartRequests-planBurst {
		t.Errorf("%d requests served and %d rejected, want %d and %d:\n%s",
			served, rejected, planBurst, quickStartRequests-planBurst, output)
	}
	for _, line := range []string{"msg=ready", "msg=stopping"} {
		if !strings.Contains(output, line) {
			t.Errorf("no %q in the output:\n%s", line, output)
		}
	}
	for _, metric := range []string{"edge_relay.fulfilled.read=5", "edge_relay.throttled.read=3"} {
		if !slices.Contains(lines, metric) {
			t.Errorf("no line %q in the output:\n%s", metric, output)
		}
	}
	for _, shown := range documentedOutput(t, quickStartHeading) {
		if !isInOutput(shown, host, lines) {
			t.Errorf("README.md shows %q, which is not in the output:\n%s", shown, output)
		}
	}
}

// optionalOutput are parts of lines that README.md shows and that may be missing from the output of a run.
// The gateway logs a failed discovery call only if it starts before the discovery service.
var optionalOutput = []string{`msg="discovery call failed"`}

// isInOutput reports whether a line of the output contains the words of a line that README.md shows, in the
// same order. The output may have words in between, because README.md omits some attributes of log lines. The
// backend that serves a request is not compared, because it may differ from run to run.
func isInOutput(shown, host string, lines []string) bool {
	for _, text := range optionalOutput {
		if strings.Contains(shown, text) {
			return true
		}
	}
	shown = strings.ReplaceAll(shown, exampleHost, host)
	shown, _, _ = strings.Cut(shown, " by backend ")
	return slices.ContainsFunc(lines, func(line string) bool {
		for _, word := range strings.Fields(shown) {
			_, rest, found := strings.Cut(line, word)
			if !found {
				return false
			}
			line = rest
		}
		return true
	})
}

func TestIsInOutputMatchesWordsInOrder(t *testing.T) {
	lines := []string{
		"time=1 level=INFO msg=ready gateway=a listen=127.1.1.1:1 backends=2", "request 1 by backend 1",
	}
	for shown, want := range map[string]bool{
		"level=INFO msg=ready listen=127.0.0.1:1": true, "request 1 by backend 0": true,
		"msg=ready level=INFO": false, "msg=ready backends=3": false, "request 2 by backend 1": false,
		`level=WARN msg="discovery call failed"`: true,
	} {
		if got := isInOutput(shown, "127.1.1.1", lines); got != want {
			t.Errorf("%q: in the output: %t, want %t", shown, got, want)
		}
	}
}

func TestReadmeCommandsNameExistingFiles(t *testing.T) {
	commands := indentedCommands(t, "")
	if len(commands) == 0 {
		t.Fatal("README.md: no commands, want at least one")
	}
	for _, command := range commands {
		for _, match := range repositoryFile.FindAllStringSubmatch(command, -1) {
			path := strings.TrimSuffix(match[1], "/...")
			if _, err := os.Stat(filepath.Join("..", path)); err != nil {
				t.Errorf("README.md: %s: %v", command, err)
			}
		}
	}
}

// The quick start has the build command of the deploy file. It may have others, which build the simulated
// environment.
func TestQuickStartUsesDeploymentBuildCommand(t *testing.T) {
	build := readDeployment(t).Build
	if build == "" || !slices.Contains(indentedCommands(t, quickStartHeading), build) {
		t.Errorf("quick start: no command %q, which is the build command of the deploy file", build)
	}
}

// indentedCommands returns the lines of the indented blocks of README.md, without their comments, from a
// heading to the next heading of level 2. If heading is empty, it returns those of the whole page.
func indentedCommands(t *testing.T, heading string) []string {
	t.Helper()
	raw, err := os.ReadFile(readmePath)
	if err != nil {
		t.Fatal(err)
	}
	var commands []string
	inSection := heading == ""
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.HasPrefix(line, "## ") && heading != "" {
			inSection = line == heading
		}
		if command, ok := strings.CutPrefix(line, "    "); ok && inSection {
			command, _, _ = strings.Cut(command, "  #")
			commands = append(commands, strings.TrimRight(command, " "))
		}
	}
	if len(commands) == 0 {
		t.Fatalf("README.md: no commands in section %q", heading)
	}
	return commands
}

// documentedOutput returns the lines of the fenced blocks of README.md in the section with a heading.
func documentedOutput(t *testing.T, heading string) []string {
	t.Helper()
	const fence = "```"
	var lines []string
	fenced := false
	for line := range strings.SplitSeq(pageSection(t, readmePath, heading), "\n") {
		if strings.HasPrefix(line, fence) {
			fenced = !fenced
		} else if fenced {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		t.Fatalf("README.md: no output in section %q", heading)
	}
	return lines
}

// mustReplaceAll replaces all occurrences of a text, and fails the test if there are none.
func mustReplaceAll(t *testing.T, text, from, to string) string {
	t.Helper()
	if !strings.Contains(text, from) {
		t.Fatalf("quick start: no %q in the commands:\n%s", from, text)
	}
	return strings.ReplaceAll(text, from, to)
}

// writeExampleConfig writes the configuration of the example with a random loopback address, because the
// ports may be in use at the usual address. It returns the path of the file and the address.
func writeExampleConfig(t *testing.T, dir string) (path, host string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", exampleConfig))
	if err != nil {
		t.Fatal(err)
	}
	host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	path = filepath.Join(dir, "config.json")
	raw = bytes.ReplaceAll(raw, []byte(exampleHost), []byte(host))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path, host
}

// runInShell runs commands in the root of the repository and returns their output and that of the programs
// that they start. The test fails if a command fails, or if a program still runs at the timeout.
func runInShell(t *testing.T, dir, commands string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), quickStartTimeout)
	defer cancel()
	shell := exec.CommandContext(ctx, "bash", "-c", "set -e\n"+commands+"\nwait")
	shell.Dir = ".."
	shell.Env = append(os.Environ(), "TMPDIR="+dir)
	// The shell is in a new process group, so that the programs that it starts can be killed with it.
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	shell.Cancel = func() error { return syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) }
	shell.WaitDelay = outputTimeout
	output, err := shell.CombinedOutput()
	if shell.Process != nil {
		_ = syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) // no effect if all processes have exited
	}
	if err != nil {
		t.Errorf("quick start: %v", cmp.Or(ctx.Err(), err))
	}
	return string(output)
}

func countLinesWithPrefix(lines []string, prefix string) int {
	count := 0
	for _, line := range lines {
		if strings.HasPrefix(line, prefix) {
			count++
		}
	}
	return count
}
