package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait for an event; nothing is asserted of its speed.
const patience = 30 * time.Second

// TestMain lets the test's own program be started as a gateway.
func TestMain(m *testing.M) {
	if os.Getenv("MOTHCLEAT_TEST_PROCESS") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// ownHost draws an address on the loopback that no connection of another test leaves from.
func ownHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
}

const settingsText = `{"self-index":0,"balancers":1,"az":0,"granularity-us":4000,"localities":["a"],
 "ceilings":{"peers":true,"probes":false,"second-copies":true,"retry-after":true,"max-attempts":3,
  "max-retry-after-us":2000000,"max-open":20000,"dial-timeout-us":250000,"idle-close-us":30000000},
 "family-info":{"counter":false,"settles":false,"counter-timeout-us":50000},
 "guarantees":{"cold-from":0.15,"cold-us":16000000,"tip-after-us":1000000,"drain-grace-us":500000},
 "membership-mode":"pushed","weights":"silent","report":{"names":[],"via":"silent"},
 "request-classes":[{"name":"lookup","promise-us":10000000,"repeat":"retryable","group":"all","window-us":0,"worth":1}],
 "tariffs":[{"name":"team","rate":10000,"burst":10000,"value-factor":1}]}`

// process is a gateway in a process of its own.
type process struct {
	host  string
	cmd   *exec.Cmd
	file  string
	ended chan struct{} // closed when it has
	fails error         // how, from then on

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// configure writes the configuration of a gateway at a host of its own.
func (p *process) configure(t testing.TB, change func(map[string]any)) {
	t.Helper()
	f := map[string]any{
		"name": "n0", "listen": p.host + ":6379", "discovery": p.host + ":8500", "ops": p.host + ":6380",
		"peer_listen": p.host + ":7946", "peers": []string{p.host + ":7946"},
		"seed": "8c1f30d27a5be964", "settings": json.RawMessage(settingsText),
	}
	if change != nil {
		change(f)
	}
	raw, err := json.Marshal(f)
	if err == nil {
		err = os.WriteFile(p.file, raw, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// launch starts a gateway that may open so many files.
func launch(t testing.TB, host string, files int, change func(map[string]any)) *process {
	t.Helper()
	dir, err := os.MkdirTemp("", "m") // a short path: a Unix socket's name has few bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	p := &process{host: host, file: filepath.Join(dir, "config.json"), ended: make(chan struct{})}
	p.configure(t, change)
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, files), os.Args[0])
	p.cmd.Env = append(os.Environ(), "MOTHCLEAT_TEST_PROCESS=1", "TMPDIR="+dir, "RELAY_CONFIG="+p.file)
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.fails = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Log(p.logged())
		}
	})
	return p
}

// until waits for something that no event tells.
func (p *process) until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case <-p.ended:
			t.Fatalf("the process ended waiting for %s: %v", what, p.fails)
		default:
		}
		if is() {
			return
		}
	}
	t.Fatal("timed out waiting for ", what)
}

// pings tells whether the gateway answers.
func (p *process) pings() bool {
	conn, err := net.DialTimeout("tcp", p.host+":6379", patience)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "+PONG\r\n"
}

// operate makes an operator's call.
func (p *process) operate(path string) (int, error) {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + p.host + ":6380" + path)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// open counts the descriptors that the process holds.
func (p *process) open() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// hangUp asks the process to read its configuration.
func (p *process) hangUp(t testing.TB) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// door is where another process would ask this one to hand over.
func (p *process) door() string {
	return filepath.Join(filepath.Dir(p.file), "mothcleat-"+p.host+":6379.sock")
}

// newHang is an address at which a dial neither comes up nor fails: the listener's backlog is full.
// What it returns tells whether a dial hangs there.
func newHang(t testing.TB, host string, port int) func() bool {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	ip := net.ParseIP(host).To4()
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte(ip)}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, port), patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	dialing := fmt.Sprintf(" %02X%02X%02X%02X:%04X 02 ", ip[3], ip[2], ip[1], ip[0], port)
	return func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		return err == nil && bytes.Contains(table, []byte(dialing))
	}
}

// agent is discovery's side: silent, or nowhere, until it is told to answer.
type agent struct {
	t     testing.TB
	addr  string
	mu    sync.Mutex
	down  net.Listener
	held  []net.Conn
	list  string
	calls chan string
}

// silent has calls come and get no answer.
func (a *agent) silent() {
	l, err := net.Listen("tcp", a.addr)
	if err != nil {
		a.t.Fatal(err)
	}
	a.down = l
	a.t.Cleanup(func() { l.Close(); a.release() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.held = append(a.held, conn)
			a.mu.Unlock()
		}
	}()
}

func (a *agent) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.held {
		conn.Close()
	}
	a.held = nil
}

// answer has discovery return at its address with a list of its second revision.
func (a *agent) answer(list string) {
	a.t.Helper()
	if a.down != nil {
		a.down.Close()
		a.release()
	}
	l, err := net.Listen("tcp", a.addr)
	if err != nil {
		a.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case a.calls <- r.URL.RawQuery:
		default:
		}
		if strings.HasPrefix(r.URL.RawQuery, "index=2&") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[%s]}`, list)
	})}
	a.t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
}

// told waits until the gateway watches from that list on: it has read it, and acts on it first.
func (a *agent) told() {
	a.t.Helper()
	for end := time.After(patience); ; {
		select {
		case query := <-a.calls:
			if strings.HasPrefix(query, "index=2&") {
				return
			}
		case <-end:
			a.t.Fatal("timed out waiting for a watch from the new list on")
		}
	}
}

func newAgent(t testing.TB, host string) *agent {
	return &agent{t: t, addr: host + ":8500", calls: make(chan string, 1024)}
}

// member is a backend that answers every command at once, or none until it is told to.
type member struct {
	addr  string
	got   chan struct{}
	serve chan struct{} // closed: commands are answered
}

func newMember(t testing.TB) *member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	m := &member{addr: l.Addr().String(), got: make(chan struct{}, 1<<14), serve: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.talk(conn)
		}
	}()
	return m
}

func (m *member) talk(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		for range 9 { // the lines of a command with four words
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
		}
		m.got <- struct{}{}
		<-m.serve
		if _, err := io.WriteString(conn, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"); err != nil {
			return
		}
	}
}

func (m *member) entry(id, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":0}`, id, m.addr, phase)
}

// known has a configuration name the list as last known.
func known(entries ...string) func(map[string]any) {
	return func(f map[string]any) {
		f["known"] = json.RawMessage(`{"revision":1,"complete":true,"members":[` + strings.Join(entries, ",") + `]}`)
	}
}

var lookups struct {
	sync.Mutex
	last int
}

// lookup makes a request on a connection of its own, as a client does: where the connection ends
// without an answer it has crossed the close, and is sent once more; where it is refused, the client
// comes again. It gives the answer's first line, how often the last one was sent, and the refusals.
func (p *process) lookup() (answer string, sent, refused int, err error) {
	for end := time.Now().Add(patience); time.Now().Before(end); refused++ {
		for sent = 1; sent <= 2; sent++ {
			if answer, err = p.lookupOnce(); err == nil {
				break
			}
		}
		if err != nil || !strings.HasPrefix(answer, "-BUSY") {
			return answer, min(sent, 2), refused, err
		}
	}
	return answer, sent, refused, err
}

func (p *process) lookupOnce() (string, error) {
	conn, err := net.DialTimeout("tcp", p.host+":6379", patience)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, lookupText()); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

func lookupText() string {
	lookups.Lock()
	lookups.last++
	id := lookups.last
	lookups.Unlock()
	var b strings.Builder
	b.WriteString("*4\r\n")
	for _, word := range []string{"API.READ", "0000000000000007", fmt.Sprintf("%016x", id), "c=lookup,t=team,d=60000,units=1,spread=1,first=0"} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}
