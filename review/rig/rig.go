package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds the processes, the stand-ins and the record of one play.
type rig struct {
	trouble    bool
	host       string // a loopback address of this play, so that its ports are free
	repository string
	folder     string // temporary; also the gateways' TMPDIR
	runCommand string // the value of run in deploy/balancer.toml

	mu         sync.Mutex // guards the fields below
	recordFile *os.File
	startedAt  time.Time
	processes  []*gateway
}

func newRig(repository, folder, recordPath string) (*rig, error) {
	deploy, err := os.ReadFile(filepath.Join(repository, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run")
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &rig{
		trouble: os.Getenv("TROUBLE") != "0", host: fmt.Sprintf("127.%d.%d.%d", 64+pid>>14%64, pid>>7%128, 1+pid%128), repository: repository, folder: folder,
		runCommand: string(run[1]), recordFile: file, startedAt: time.Now(),
	}, nil
}

// record writes a line to the record, with the time since the start.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.recordFile.WriteString(line)
	fmt.Print(line)
}

// require ends the play as not run if err is not nil.
func (r *rig) require(err error, what string) {
	if err != nil {
		panic(notRun{what + ": " + err.Error()})
	}
}

// freeAddress returns a loopback address with a port that is free now.
func (r *rig) freeAddress() string {
	listener, err := net.Listen("tcp", r.host+":0")
	r.require(err, "free port")
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// gateway is a process that was started with the run command of the deploy file.
type gateway struct {
	name    string
	ops     string
	command *exec.Cmd
	exited  chan struct{}
}

// startGateway starts a gateway with the given configuration, address for operators and further environment.
func (r *rig) startGateway(name, configPath, ops string, environment ...string) *gateway {
	log, err := os.Create(filepath.Join(r.folder, name+".log"))
	r.require(err, "log of the gateway")
	g := &gateway{name: name, ops: ops, command: exec.Command("/bin/sh", "-c", r.runCommand), exited: make(chan struct{})}
	g.command.Dir = r.repository
	g.command.Env = append(os.Environ(), append(environment, "RELAY_CONFIG="+configPath, "RELAY_OPS="+ops, "TMPDIR="+r.folder)...)
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no gateway outlives the rig
	g.command.Stdout, g.command.Stderr = log, log
	r.require(g.command.Start(), "start of the gateway")
	r.mu.Lock()
	r.processes = append(r.processes, g)
	r.mu.Unlock()
	go func() {
		err := g.command.Wait()
		r.record("gateway %s exited: %v", name, err)
		close(g.exited)
	}()
	r.record("gateway %s started", name)
	return g
}

// awaitReady waits until a gateway's readiness answers yes and its list has the given number of backends.
func (r *rig) awaitReady(g *gateway, backends int) {
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if opsCall(g.ops, "/ops/readiness") != "" &&
			strings.Contains(opsCall(g.ops, "/ops/stats"), fmt.Sprintf("registry_entries=%d\n", backends)) {
			r.record("gateway %s is ready", g.name)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	panic(notRun{"gateway " + g.name + " is not ready after 10 s"})
}

// opsCall returns the body of a call at the address for operators, or "" unless the status is 200.
func opsCall(address, path string) string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// signal sends a signal to a gateway that this play started.
func (r *rig) signal(g *gateway, s syscall.Signal) {
	r.record("%v to gateway %s", s, g.name)
	_ = g.command.Process.Signal(s)
}

// endPlanned ends a gateway as the platform does at a planned restart: SIGTERM, and SIGKILL 3.7 s later.
func (r *rig) endPlanned(g *gateway) {
	r.signal(g, syscall.SIGTERM)
	go func() {
		select {
		case <-g.exited:
		case <-time.After(3700 * time.Millisecond):
			r.signal(g, syscall.SIGKILL)
		}
	}()
}

// endAll kills all gateways that still run and waits for their end.
func (r *rig) endAll() {
	r.mu.Lock()
	processes := r.processes
	r.processes = nil
	r.mu.Unlock()
	for _, g := range processes {
		select {
		case <-g.exited:
		default:
			_ = g.command.Process.Kill()
			<-g.exited
		}
	}
}
