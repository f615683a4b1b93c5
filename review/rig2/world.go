package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// exitCode is the result of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// world has the stand-ins of one case, the processes that it has started and its record.
type world struct {
	trouble  bool
	dir      string // temporary folder, also $TMPDIR of the gateways
	start    time.Time
	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File

	gatewaysMu sync.Mutex
	gateways   []*gatewayProcess

	listen, discoveryAddress string
	config                   map[string]any
	configPath               string

	listMu   sync.Mutex
	changed  chan struct{}
	revision int
	members  []map[string]any

	executed sync.Map // request ID -> *atomic.Int32, commands that backends have begun
}

// fail ends the case as one that could not run.
func (w *world) fail(format string, args ...any) {
	w.log("cannot run: "+format, args...)
	w.end(notRun)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.start).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
	_ = w.record.Flush()
}

// end stops all processes of the case and exits.
func (w *world) end(code int) {
	w.gatewaysMu.Lock()
	for _, g := range w.gateways {
		_ = syscall.Kill(g.cmd.Process.Pid, syscall.SIGKILL)
	}
	w.gatewaysMu.Unlock()
	for _, g := range w.gateways {
		<-g.ended
	}
	w.log("result: %d", code)
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
	os.Exit(code)
}

func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), file: file,
		record: bufio.NewWriter(file), changed: make(chan struct{}), revision: 1,
	}
	time.AfterFunc(110*time.Second, func() { w.fail("over its time") })
	w.listen, w.discoveryAddress = freeAddress(w), freeAddress(w)
	w.configPath = filepath.Join(dir, "config.json")
	w.config = baseConfig(w)
	w.log("trouble: %v", w.trouble)
	return w
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(w *world) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// baseConfig returns the configuration of a single gateway of a small deployment.
func baseConfig(w *world) map[string]any {
	class := func(name, repeat string, worth float64) map[string]any {
		return map[string]any{
			"name": name, "promise-us": 1000000, "hard-limit-us": 4000000, "repeat": repeat,
			"group": "all", "window-us": 5000000, "worth": worth, "late-worth": 0.2, "streaming": false,
		}
	}
	return map[string]any{
		"name": "n0", "listen": w.listen, "discovery": w.discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"self-index": 0, "balancers": 1, "az": 0, "localities": []string{"hall-a"},
			"granularity-us": 2000, "membership-mode": "pushed", "weights": "silent",
			"report": map[string]any{"names": []string{}, "via": "silent"},
			"ceilings": map[string]any{
				"peers": false, "probes": false, "second-copies": true, "retry-after": true, "cancel": true,
				"max-attempts": 5, "max-retry-after-us": 500000, "max-open": 20000,
				"dial-timeout-us": 250000, "idle-close-us": 15000000, "streams-per-conn": 32,
			},
			"family-info": map[string]any{
				"counter": false, "settles": false, "counter-timeout-us": 0, "max-units": 8,
			},
			"guarantees": map[string]any{
				"cold-from": 0.27, "cold-us": 16000000, "overload-factor": 2.5, "tip-after-us": 3000000,
				"drain-grace-us": 500000, "answer-slack-us": 8000,
			},
			"prices":          map[string]any{"handshake": 0, "cross-zone": 0},
			"request-classes": []any{class("track", "retryable", 3), class("book", "fragile", 5)},
			"tariffs": []any{map[string]any{
				"name": "enterprise", "rate": 2000, "burst": 4000, "value-factor": 1.8,
				"beyond-earns": 0, "beyond-costs": 0.8,
			}},
		},
	}
}

func (w *world) settings() map[string]any { return w.config["settings"].(map[string]any) }

func (w *world) writeConfig() {
	b, err := json.MarshalIndent(w.config, "", " ")
	if err == nil {
		err = os.WriteFile(w.configPath, b, 0o600)
	}
	if err != nil {
		w.fail("configuration: %v", err)
	}
}

// serveDiscovery serves the list of backends.
func (w *world) serveDiscovery() {
	l, err := net.Listen("tcp", w.discoveryAddress)
	if err != nil {
		w.fail("discovery: %v", err)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(w.answerDiscovery)) }()
}

func (w *world) answerDiscovery(rw http.ResponseWriter, r *http.Request) {
	w.listMu.Lock()
	revision, members, changed := w.revision, w.members, w.changed
	w.listMu.Unlock()
	query := r.URL.Query()
	if query.Has("index") && query.Get("index") == strconv.Itoa(revision) {
		wait, _ := strconv.Atoi(query.Get("wait"))
		select {
		case <-changed:
			w.listMu.Lock()
			revision, members = w.revision, w.members
			w.listMu.Unlock()
		case <-time.After(time.Duration(wait) * time.Millisecond):
			fmt.Fprintf(rw, `{"revision":%d,"complete":false,"members":[]}`, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"revision": revision, "complete": true, "members": members})
}

// backendCommand is a command that a backend has read.
type backendCommand struct {
	conn    *net.TCPConn
	args    []string
	id      string
	backend int
}

// answer writes a whole answer with a value.
func (c *backendCommand) answer(value string) {
	_, _ = io.WriteString(c.conn, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
}

// addBackends starts backends that pass each command to handle, one after the other on a connection, and
// lists them. If handle returns false, the connection has ended.
func (w *world) addBackends(count int, handle func(*backendCommand) bool) {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.fail("backend: %v", err)
		}
		number := len(w.members)
		w.members = append(w.members, map[string]any{
			"id": fmt.Sprintf("s-%08x", number+1), "host_port": l.Addr().String(), "locality": "hall-a",
			"flavor": "std-4c", "cell": 0, "phase": "Ready", "size": 1.0, "up_since_ms": 0,
		})
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go w.serveBackendConn(conn.(*net.TCPConn), number, handle)
			}
		}()
	}
	w.revision++
}

func (w *world) serveBackendConn(conn *net.TCPConn, number int, handle func(*backendCommand) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		if len(args) < 4 {
			_, _ = io.WriteString(conn, "+PONG\r\n")
			continue
		}
		count, _ := w.executed.LoadOrStore(args[2], &atomic.Int32{})
		count.(*atomic.Int32).Add(1)
		if !handle(&backendCommand{conn: conn, args: args, id: args[2], backend: number}) {
			return
		}
	}
}

// runs returns how often backends have begun a request.
func (w *world) runs(id string) int {
	if count, ok := w.executed.Load(id); ok {
		return int(count.(*atomic.Int32).Load())
	}
	return 0
}

var errForm = errors.New("unexpected form")

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	head, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "*")))
	if err != nil {
		return nil, errForm
	}
	args := make([]string, count)
	for i := range args {
		if args[i], err = readBulk(in); err != nil {
			return nil, err
		}
	}
	return args, nil
}

func readBulk(in *bufio.Reader) (string, error) {
	head, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	size, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "$")))
	if err != nil || size < 0 {
		return "", errForm
	}
	b := make([]byte, size+2)
	if n, err := io.ReadFull(in, b); err != nil {
		return string(b[:n]), err
	}
	return string(b[:size]), nil
}

// reply is an answer of the gateway.
type reply struct {
	kind byte // '$', '-', '+' or another type; 0 if the connection ended before the end of the answer
	text string
	err  error
}

func (r reply) String() string {
	text := r.text
	if len(text) > 40 {
		text = fmt.Sprintf("%s... (%d bytes)", text[:40], len(r.text))
	}
	if r.err != nil {
		return fmt.Sprintf("no whole answer (%d bytes): %v", len(r.text), r.err)
	}
	return fmt.Sprintf("%c%s", r.kind, text)
}

// readReply reads one answer.
func readReply(in *bufio.Reader) reply {
	kind, err := in.ReadByte()
	if err != nil {
		return reply{err: err}
	}
	if kind == '$' {
		_ = in.UnreadByte()
		text, err := readBulk(in)
		return reply{kind: kind, text: text, err: err}
	}
	line, err := in.ReadString('\n')
	return reply{kind: kind, text: strings.TrimSpace(line), err: err}
}

// request returns a command of a client.
func request(class string, id uint64, deadline time.Duration, body string) string {
	name := "API.READ"
	if class == "book" {
		name = "API.WRITE"
	}
	args := []string{
		name, "00000000b4d65521", requestID(id),
		fmt.Sprintf("c=%s,t=enterprise,d=%d,units=1,spread=1,first=0", class, deadline.Milliseconds()),
	}
	if body != "" {
		args = append(args, body)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

func requestID(id uint64) string { return fmt.Sprintf("%016x", id) }

// gatewayProcess is a process that `run` of the deploy file has started.
type gatewayProcess struct {
	cmd   *exec.Cmd
	ops   string
	ended chan struct{}
	err   error // of the process; valid after ended
}

// startGateway starts a gateway with the command of the deploy file.
func (w *world) startGateway(name string) *gatewayProcess {
	g := &gatewayProcess{ops: freeAddress(w), ended: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", runCommand(w))
	g.cmd.Env = append(os.Environ(),
		"RELAY_CONFIG="+w.configPath, "RELAY_OPS="+g.ops, "TMPDIR="+w.dir, "RELAY_NAME=n0",
		"RELAY_LISTEN="+w.listen, "RELAY_DISCOVERY="+w.discoveryAddress)
	logFile, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		w.fail("log: %v", err)
	}
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	if err := g.cmd.Start(); err != nil {
		w.fail("gateway: %v", err)
	}
	go func() {
		g.err = g.cmd.Wait()
		close(g.ended)
	}()
	w.gatewaysMu.Lock()
	w.gateways = append(w.gateways, g)
	w.gatewaysMu.Unlock()
	w.log("%s started", name)
	for until := time.Now().Add(10 * time.Second); !g.isReady(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			w.fail("%s is not ready", name)
		}
	}
	w.log("%s ready", name)
	return g
}

func (g *gatewayProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ops + "/ops/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gatewayProcess) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// runCommand returns `run` of the deploy file.
func runCommand(w *world) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		w.fail("deploy file: %v", err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	w.fail("deploy file without run")
	return ""
}

// memory returns the anonymous resident memory of a process in bytes.
func (g *gatewayProcess) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb << 10
		}
	}
	return 0
}

// dial connects a client.
func (w *world) dial() (*net.TCPConn, error) {
	conn, err := net.DialTimeout("tcp", w.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

func (w *world) mustDial() *net.TCPConn {
	conn, err := w.dial()
	if err != nil {
		w.fail("client: %v", err)
	}
	return conn
}

// logGateway copies the lines of a gateway's log that contain any of the words to the record.
func (w *world) logGateway(name string, words ...string) {
	text, _ := os.ReadFile(filepath.Join(w.dir, name+".log"))
	for line := range strings.SplitSeq(string(text), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				w.log("%s log: %.300s", name, line)
				break
			}
		}
	}
}
