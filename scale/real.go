package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// realGateway is a gateway's process and what stands beside it.
type realGateway struct {
	number  int
	dir     string
	listen  string
	peer    netip.AddrPort
	ops     string
	control *control
	agents  [2]*agent // the one in use, and the one after SIGHUP
	command *exec.Cmd
	pid     atomic.Int64 // 0: not started
	logFile *os.File
	ended   chan struct{}
	http    *http.Client
}

const (
	startWithin = 30 * time.Second
	stopWithin  = 6 * time.Second
	opsWithin   = 2 * time.Second
	oldCloses   = 1500 * time.Millisecond // after SIGHUP the agent of before closes what is open
	poll        = 2 * time.Millisecond
)

// reserve finds a free address. It is given up again, for the gateway to listen on.
func reserve(network, host string) (string, error) {
	if network == "udp" {
		conn, err := listenUDP(host + ":0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, host+":0")
	if err != nil {
		return "", fmt.Errorf("reserve an address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newReal(number int, dir string, c *catalog) (*realGateway, error) {
	g := &realGateway{
		number: number, dir: filepath.Join(dir, fmt.Sprintf("n%d", number)), control: &control{},
		ended: make(chan struct{}),
		http:  &http.Client{Timeout: opsWithin, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := os.MkdirAll(g.dir, 0o755); err != nil {
		return nil, fmt.Errorf("gateway %d: %w", number, err)
	}
	host := fmt.Sprintf("127.8.%d.%d", number>>8, number&0xff)
	var peer string
	var err error
	for _, a := range []struct {
		network string
		address *string
	}{{"tcp", &g.listen}, {"tcp", &g.ops}, {"udp", &peer}} {
		if *a.address, err = reserve(a.network, host); err != nil {
			return nil, err
		}
	}
	if g.peer, err = netip.ParseAddrPort(peer); err != nil {
		return nil, fmt.Errorf("gateway %d: %w", number, err)
	}
	for i := range g.agents {
		if g.agents[i], err = newAgent(c, g.control, "127.7.0.1:0"); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// configure writes the configuration, with discovery at one of the agents.
func (g *realGateway) configure(e *experiment, p *post, settings json.RawMessage, known json.RawMessage, agent int) error {
	peers := make([]string, len(p.peers))
	for i, a := range p.peers {
		peers[i] = a.String()
	}
	body, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", g.number), "listen": g.listen, "ops": g.ops,
		"discovery": g.agents[agent].address(), "seed": fmt.Sprintf("%016x", 0x9e3779b97f4a7c15^uint64(g.number)<<32),
		"limits":      map[string]any{"cores": 1, "memory_mb": e.MemoryMB, "sockets": 1024},
		"peer_listen": g.peer.String(), "peers": peers, "known": known, "settings": settings,
	})
	if err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	// A gateway must never read half a file.
	draft := g.configPath() + ".new"
	if err := os.WriteFile(draft, body, 0o600); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	if err := os.Rename(draft, g.configPath()); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	return nil
}

func (g *realGateway) configPath() string { return filepath.Join(g.dir, "config.json") }

func (g *realGateway) logPath() string { return filepath.Join(g.dir, "log") }

func (g *realGateway) start(program string) error {
	var err error
	if g.logFile, err = os.Create(g.logPath()); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	g.command = exec.Command(program)
	g.command.Env = append(os.Environ(), "RELAY_CONFIG="+g.configPath(), "TMPDIR="+g.dir)
	g.command.Stdout, g.command.Stderr = g.logFile, g.logFile
	// Should this process be killed, the gateways end with it.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	g.pid.Store(int64(g.command.Process.Pid))
	go func() {
		defer close(g.ended)
		_ = g.command.Wait() // how it ended shows in the log
	}()
	return nil
}

// ready waits until the gateway answers PING.
func (g *realGateway) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for {
		if g.ping() == nil {
			return nil
		}
		select {
		case <-g.ended:
			return fmt.Errorf("gateway %d: ended at its start: %s", g.number, g.lastWords())
		case <-ctx.Done():
			return fmt.Errorf("gateway %d: not ready: %w", g.number, context.Cause(ctx))
		case <-time.After(poll):
		}
	}
}

func (g *realGateway) ping() error {
	conn, err := net.DialTimeout("tcp", g.listen, opsWithin)
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(opsWithin)); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || line != "+PONG\r\n" {
		return fmt.Errorf("ping: answer %q: %w", line, errors.Join(err, errNotReady))
	}
	return nil
}

var errNotReady = errors.New("not ready")

// lastWords is the end of the gateway's log.
func (g *realGateway) lastWords() string {
	log, err := os.ReadFile(g.logPath())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return lines[len(lines)-1]
}

// stop ends the process, by SIGTERM and if need be by SIGKILL.
func (g *realGateway) stop() {
	if g.pid.Load() != 0 {
		_ = g.command.Process.Signal(syscall.SIGTERM) // it may have ended already
		select {
		case <-g.ended:
		case <-time.After(stopWithin):
			_ = g.command.Process.Kill()
			<-g.ended
		}
		_ = g.logFile.Close()
	}
	for _, a := range g.agents {
		if a != nil {
			a.close()
		}
	}
}

// hangUp has the gateway read its configuration again.
func (g *realGateway) hangUp() error {
	if err := g.command.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	return nil
}

// figure reads one of the figures for operators.
func (g *realGateway) figure(ctx context.Context, name string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ops+"/ops/stats", nil)
	if err != nil {
		return 0, fmt.Errorf("gateway %d: %w", g.number, err)
	}
	res, err := g.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("gateway %d: %w", g.number, err)
	}
	defer res.Body.Close()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "edge_relay."+name+"="); ok {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return 0, fmt.Errorf("gateway %d: %w", g.number, err)
			}
			return n, nil
		}
	}
	return 0, fmt.Errorf("gateway %d: no figure %s", g.number, name)
}

// processTime is the processor time that a process has used.
func processTime(pid int) (time.Duration, error) {
	const schedClock = 2 // the clock that counts run time in nanoseconds: /proc counts in steps of 10 ms
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedClock), &t); err != nil {
		return 0, fmt.Errorf("processor time of %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// memory is what a process holds now and held at its peak, in bytes.
func memory(pid int) (now, peak int64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("memory: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		into := map[string]*int64{"VmRSS:": &now, "VmHWM:": &peak}[fields[0]]
		if into == nil {
			continue
		}
		kb, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("memory: %w", err)
		}
		*into = kb << 10
	}
	return now, peak, nil
}

// forgetPeak has the peak count from now on.
func forgetPeak(pid int) error {
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0); err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	return nil
}

// busyTime is the time that the machine's cores have worked, for whomever.
func busyTime() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	first, _, _ := strings.Cut(string(stat), "\n")
	fields := strings.Fields(first)
	ticks := int64(0)
	for i, f := range fields[1:] {
		const idle, waiting, guests = 3, 4, 8 // from the latter on what is counted already
		if i == idle || i == waiting || i >= guests {
			continue
		}
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * (time.Second / 100), nil
}

// halfOfMemory is half of the machine's memory, in bytes.
func halfOfMemory() (int64, error) {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	var kb int64
	if _, err := fmt.Sscanf(string(info), "MemTotal: %d kB", &kb); err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	return kb << 10 / 2, nil
}
