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

	// quickStartTimeout bounds the run of the commands; no test asserts how fast it is.
	quickStartTimeout = 3 * time.Minute
	// outputTimeout bounds the wait for the output of programs that a failed command leaves behind.
	outputTimeout = 5 * time.Second
	// planBurst is the burst of the example's smaller plan, which gets another request in ten seconds, and
	// quickStartRequests is how many requests the quick start sends at once.
	planBurst, quickStartRequests = 5, 8
)

// repoFile finds the files of the repository that a command names. What is below bin/ is built.
var repositoryFile = regexp.MustCompile(
	`(?:^|[\s=])(?:\./)?((?:\.ci|cmd|deploy|docs|scale|tools|policy|internal)/[\w./-]+)`,
)

// The quick start does what the page says when it is pasted into a shell: the stand-ins and the gateway
// start, the burst of the customer's plan is served and what is beyond it is rejected.
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
		t.Errorf("no answer to PING in:\n%s", output)
	}
	served, rejected := countLinesWithPrefix(lines, "request "), countLinesWithPrefix(lines, "BUSY ")
	if served != planBurst || rejected != quickStartRequests-planBurst {
		t.Errorf("%d requests served and %d rejected, want %d and %d:\n%s",
			served, rejected, planBurst, quickStartRequests-planBurst, output)
	}
	for _, line := range []string{"msg=ready", "msg=stopping"} {
		if !strings.Contains(output, line) {
			t.Errorf("no %q in:\n%s", line, output)
		}
	}
	for _, metric := range []string{"edge_relay.fulfilled.read=5", "edge_relay.throttled.read=3"} {
		if !slices.Contains(lines, metric) {
			t.Errorf("no %q in:\n%s", metric, output)
		}
	}
	for _, shown := range documentedOutput(t, quickStartHeading) {
		if !isInOutput(shown, host, lines) {
			t.Errorf("README.md shows %q, which is not printed:\n%s", shown, output)
		}
	}
}

// mayDiffer are the lines of the output that README.md shows but a run may lack: the gateway logs the first
// only if it starts before the discovery service.
var optionalOutput = []string{`msg="discovery call failed"`}

// isPrinted reports whether a line that README.md shows is in the output: each of its words, in order, as a
// log line is shown without some attributes. Which backend answers may differ.
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
			t.Errorf("%q: printed %t, want %t", shown, got, want)
		}
	}
}

// Every file that a command of README.md names exists.
func TestReadmeCommandsNameExistingFiles(t *testing.T) {
	commands := indentedCommands(t, "")
	if len(commands) == 0 {
		t.Fatal("README.md has no commands")
	}
	for _, command := range commands {
		for _, match := range repositoryFile.FindAllStringSubmatch(command, -1) {
			path := strings.TrimSuffix(match[1], "/...")
			if _, err := os.Stat(filepath.Join("..", path)); err != nil {
				t.Errorf("%s: %v", command, err)
			}
		}
	}
}

// The build of the quick start is that of the deployment, with the example's stand-ins beside it.
func TestQuickStartUsesDeploymentBuildCommand(t *testing.T) {
	build := readDeployment(t).Build
	if build == "" || !slices.Contains(indentedCommands(t, quickStartHeading), build) {
		t.Errorf("no command %q in the quick start", build)
	}
}

// indentedCommands returns the lines of README.md's indented blocks, without their comments, below a heading
// and up to the next one; or all of them where no heading is given.
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
		t.Fatalf("README.md has no commands below %q", heading)
	}
	return commands
}

// shownOutput returns the lines of README.md's fenced blocks below a heading and up to the next one.
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
		t.Fatalf("README.md shows no output below %q", heading)
	}
	return lines
}

// replaceAll replaces a text that has to be there.
func mustReplaceAll(t *testing.T, text, from, to string) string {
	t.Helper()
	if !strings.Contains(text, from) {
		t.Fatalf("no %q in the quick start:\n%s", from, text)
	}
	return strings.ReplaceAll(text, from, to)
}

// writeExampleConfig writes the example's configuration with a loopback address of the test's own, as its
// ports may be in use at the usual one. It returns the file's path and the address.
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

// runInShell runs commands in the repository's root and returns what they and the programs that they start
// print. A command that fails fails the test, and so does a program that is left running.
func runInShell(t *testing.T, dir, commands string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), quickStartTimeout)
	defer cancel()
	shell := exec.CommandContext(ctx, "bash", "-c", "set -e\n"+commands+"\nwait")
	shell.Dir = ".."
	shell.Env = append(os.Environ(), "TMPDIR="+dir)
	// A group of its own, so that what the shell has started ends with it.
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	shell.Cancel = func() error { return syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) }
	shell.WaitDelay = outputTimeout
	output, err := shell.CombinedOutput()
	if shell.Process != nil {
		_ = syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) // nothing is left where all went well
	}
	if err != nil {
		t.Errorf("the quick start: %v", cmp.Or(ctx.Err(), err))
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
