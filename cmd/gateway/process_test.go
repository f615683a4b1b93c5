package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// waitTimeout is the time limit of each wait for an event. No test checks how fast an event is.
	waitTimeout = 30 * time.Second
	// testProcessVariable is the environment variable that makes the test binary run as a gateway.
	testProcessVariable = "SPARSPREAD_TEST_PROCESS"

	pingCommand = "*1\r\n$4\r\nPING\r\n"
	pongReply   = "+PONG\r\n"
)

// The ports of a gateway and of its discovery at the gateway's loopback address.
const (
	clientPort    = ":6379"
	opsPort       = ":6380"
	gossipPort    = ":7946"
	discoveryPort = ":8500"
)

// ownPort is the port of a backend at a loopback address of its own. It is outside of the range from which
// the system assigns ports, so that no other process can take it while the backend does not listen.
const ownPort = ":7400"

// TestMain runs the gateway instead of the tests in processes that startGateway has started.
func TestMain(m *testing.M) {
	if os.Getenv(testProcessVariable) != "" {
		main()
		return
	}
	code := m.Run()
	removeBuiltGateway()
	os.Exit(code)
}

// settingsText contains the settings of the only gateway of a tier.
const settingsText = `{"self-index":0,"balancers":1,"az":0,"granularity-us":4000,"localities":["a"],
 "ceilings":{"peers":true,"probes":false,"second-copies":true,"retry-after":true,"max-attempts":3,
  "max-retry-after-us":2000000,"max-open":20000,"dial-timeout-us":250000,"idle-close-us":30000000},
 "family-info":{"counter":false,"settles":false,"counter-timeout-us":50000},
 "guarantees":{"cold-from":0.15,"cold-us":16000000,"tip-after-us":1000000,"drain-grace-us":500000},
 "membership-mode":"pushed","weights":"silent","report":{"names":[],"via":"silent"},
 "request-classes":[{"name":"lookup","promise-us":10000000,"repeat":"retryable","group":"all",
  "window-us":0,"worth":1}],
 "tariffs":[{"name":"team","rate":10000,"burst":10000,"value-factor":1}]}`

// configChange changes the fields of a gateway's configuration before it is written.
type configChange func(fields map[string]any)

// gatewayProcess is a gateway that runs in its own process.
type gatewayProcess struct {
	program    string // path of the program; if empty, the test binary, which runs the gateway
	host       string // loopback address of the gateway
	opsHost    string // loopback address of the interface for operators; if empty, host is used
	command    *exec.Cmd
	configPath string
	exited     chan struct{} // closed when the process has exited
	exitError  error         // set before exited is closed

	mu  sync.Mutex // guards log
	log bytes.Buffer
}

// startGateway starts a gateway that may open the given number of descriptors. change may be nil.
func startGateway(tb testing.TB, host string, descriptors int, change configChange) *gatewayProcess {
	tb.Helper()
	return startProgram(tb, "", host, descriptors, change)
}

// startProgram is like startGateway, for the program at the given path. If that is empty, the test binary
// runs the gateway.
func startProgram(
	tb testing.TB, program, host string, descriptors int, change configChange,
) *gatewayProcess {
	tb.Helper()
	dir, err := makeShortDir()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = os.RemoveAll(dir) })
	p := &gatewayProcess{
		program: program, host: host, configPath: filepath.Join(dir, "config.json"),
		exited: make(chan struct{}),
	}
	p.writeConfig(tb, change)
	p.start(tb, descriptors)
	return p
}

// makeShortDir creates a temporary directory. Its path is shorter than that of testing.T.TempDir, because the
// length of a Unix socket's path is limited.
func makeShortDir() (string, error) { return os.MkdirTemp("", "m") }

// startSuccessor starts a successor of a gateway process, waits until it has taken over and shuts the first
// process down.
func startSuccessor(tb testing.TB, first *gatewayProcess, change configChange) *gatewayProcess {
	tb.Helper()
	p := &gatewayProcess{
		program: first.program, host: first.host,
		configPath: filepath.Join(filepath.Dir(first.configPath), "successor.json"),
		opsHost:    uniqueHost(), exited: make(chan struct{}),
	}
	p.writeConfig(tb, func(fields map[string]any) {
		change(fields)
		fields["ops"] = p.opsHost + opsPort
	})
	p.start(tb, 1024)
	p.waitFor(tb, "the successor to be ready", func() bool {
		status, err := p.getOps("/ops/readiness")
		return err == nil && status == http.StatusOK
	})
	if err := first.command.Process.Signal(syscall.SIGTERM); err != nil {
		tb.Error(err)
	}
	return p
}

// start starts the process, which is killed when the test ends.
func (p *gatewayProcess) start(tb testing.TB, descriptors int) {
	tb.Helper()
	dir := filepath.Dir(p.configPath)
	script := fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors)
	// The cleanup below kills the process. The test's context can't be used: it is cancelled before the other
	// cleanups run, some of which need the process.
	program := cmp.Or(p.program, os.Args[0])
	p.command = exec.CommandContext(context.Background(), "/bin/sh", "-c", script, program)
	p.command.Env = append(
		os.Environ(), testProcessVariable+"=1", "TMPDIR="+dir, configPathVariable+"="+p.configPath,
	)
	p.command.Stderr = p
	if err := p.command.Start(); err != nil {
		tb.Fatal(err)
	}
	go func() {
		p.exitError = p.command.Wait()
		close(p.exited)
	}()
	tb.Cleanup(func() {
		_ = p.command.Process.Kill() // fails if the process has already exited
		<-p.exited
		if strings.Contains(p.logText(), `msg="illegal step"`) {
			tb.Error("the process logged an illegal transition of a state machine")
		}
		if tb.Failed() {
			tb.Log(p.logText())
		}
	})
}

// Write appends to the log of the process. It implements io.Writer.
func (p *gatewayProcess) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// logText returns the log of the process so far.
func (p *gatewayProcess) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// writeConfig writes the configuration file of the gateway. change may be nil.
func (p *gatewayProcess) writeConfig(tb testing.TB, change configChange) {
	tb.Helper()
	fields := map[string]any{
		"name": "n0", "listen": p.host + clientPort, "discovery": p.host + discoveryPort,
		"ops":         p.host + opsPort,
		"peer_listen": p.host + gossipPort, "peers": []string{p.host + gossipPort},
		"seed": "8c1f30d27a5be964", "settings": json.RawMessage(settingsText),
	}
	if change != nil {
		change(fields)
	}
	raw, err := json.Marshal(fields)
	if err == nil {
		err = os.WriteFile(p.configPath, raw, 0o600)
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// waitFor polls a condition until it is true. The test fails if the process exits or waitTimeout passes
// before that.
func (p *gatewayProcess) waitFor(tb testing.TB, awaited string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		select {
		case <-p.exited:
			tb.Fatalf("process exited while the test waited for %s: %v", awaited, p.exitError)
		default:
		}
		if condition() {
			return
		}
	}
	tb.Fatal("timed out waiting for ", awaited)
}

// answersPing reports whether the gateway answers PING on a new connection.
func (p *gatewayProcess) answersPing() bool {
	conn, err := dial("tcp", p.host+clientPort, waitTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err = io.WriteString(conn, pingCommand); err != nil {
		return false
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == pongReply
}

// waitForPing waits until the gateway listens after a start and answers PING. It returns an error if that
// fails or the deadline passes.
func (p *gatewayProcess) waitForPing(deadline time.Time) error {
	for {
		conn, err := dial("tcp", p.host+clientPort, time.Until(deadline))
		if err != nil {
			if time.Now().After(deadline) {
				return err
			}
			time.Sleep(time.Millisecond) // the gateway does not listen yet
			continue
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(deadline)
		if _, err = io.WriteString(conn, pingCommand); err != nil {
			return err
		}
		if line, err := bufio.NewReader(conn).ReadString('\n'); line != pongReply {
			return fmt.Errorf("PING: answer %q: %w", line, err)
		}
		return nil
	}
}

// getOps sends a GET request to the interface for operators and returns the HTTP status.
func (p *gatewayProcess) getOps(path string) (int, error) {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + cmp.Or(p.opsHost, p.host) + opsPort + path
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// limitDescriptors sets the limit on open descriptors of the process and returns the previous limit.
func (p *gatewayProcess) limitDescriptors(tb testing.TB, limit unix.Rlimit) (before unix.Rlimit) {
	tb.Helper()
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, &before); err != nil {
		tb.Error(err)
	}
	return before
}

// openDescriptors returns the number of descriptors that the process has open.
func (p *gatewayProcess) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0 // the process has exited
	}
	return len(entries)
}

// reload signals the process to reload its configuration.
func (p *gatewayProcess) reload(tb testing.TB) {
	tb.Helper()
	if err := p.command.Process.Signal(syscall.SIGHUP); err != nil {
		tb.Fatal(err)
	}
}

// handoverSocket returns the path of the socket at which the process accepts a successor.
func (p *gatewayProcess) handoverSocket() string {
	return filepath.Join(filepath.Dir(p.configPath), "mothcleat-"+p.host+clientPort+".sock")
}
