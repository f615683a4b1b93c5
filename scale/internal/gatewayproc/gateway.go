// Package gatewayproc runs real gateways. Each is a process of the gateway's executable with a configuration,
// discovery agents and counters of its control traffic.
package gatewayproc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"sparspread/scale/internal/loopback"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/standin"
)

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 6 * time.Second
	callTimeout  = 2 * time.Second
	// PollInterval is the interval at which the state of a gateway is polled.
	PollInterval = 2 * time.Millisecond

	dirMode     = 0o755
	configMode  = 0o600
	socketLimit = 1024 // the limit of open sockets in the configuration
	seedBase    = 0x9e3779b97f4a7c15
	agentHost   = "127.7.0.1"
)

// Gateway is a gateway's process with its discovery agents and the counters of its control traffic. Only the
// methods PID and Metric and the exported fields are safe for concurrent use.
type Gateway struct {
	Number        int
	ClientAddress string
	GossipAddress netip.AddrPort
	Traffic       *standin.ControlTraffic
	// Agents are the discovery agent that the gateway uses from its start, and the one that it uses after a
	// reload.
	Agents [2]*standin.DiscoveryAgent
	Exited chan struct{} // closed when the process has exited

	dir        string
	opsAddress string
	command    *exec.Cmd
	pid        atomic.Int64 // 0 if the process has not started
	logFile    *os.File
	http       *http.Client
}

// Configuration is the configuration of a gateway apart from its own addresses.
type Configuration struct {
	MemoryMB      int
	Peers         []netip.AddrPort
	Settings      json.RawMessage
	LastKnownList json.RawMessage // the list in discovery's encoding
	AgentIndex    int             // index into Gateway.Agents of the discovery agent to use
}

// New returns a gateway with free addresses and running discovery agents, which keeps its files below dir.
// Start starts the process. The caller must call Stop unless New returns an error.
func New(ctx context.Context, number int, dir string, catalog *model.Catalog) (*Gateway, error) {
	g := &Gateway{
		Number: number, Traffic: &standin.ControlTraffic{}, Exited: make(chan struct{}),
		dir:  filepath.Join(dir, fmt.Sprintf("n%d", number)),
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := os.MkdirAll(g.dir, dirMode); err != nil {
		return nil, g.wrapError(err)
	}
	if err := g.reserveAddresses(ctx); err != nil {
		return nil, g.wrapError(err)
	}
	var err error
	for i := range g.Agents {
		if g.Agents[i], err = standin.NewDiscoveryAgent(ctx, catalog, g.Traffic, agentHost); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// wrapError adds the number of the gateway to an error.
func (g *Gateway) wrapError(err error) error { return fmt.Errorf("gateway %d: %w", g.Number, err) }

// reserveAddresses chooses free addresses for the process to listen on.
func (g *Gateway) reserveAddresses(ctx context.Context) (err error) {
	host := loopback.GatewayHost(loopback.RealBlock, g.Number).String()
	if g.ClientAddress, err = loopback.FreeAddress(ctx, "tcp", host); err != nil {
		return err
	}
	if g.opsAddress, err = loopback.FreeAddress(ctx, "tcp", host); err != nil {
		return err
	}
	gossipAddress, err := loopback.FreeAddress(ctx, "udp", host)
	if err != nil {
		return err
	}
	g.GossipAddress, err = netip.ParseAddrPort(gossipAddress)
	return err
}

// Configure writes the configuration file.
func (g *Gateway) Configure(c Configuration) error {
	peers := make([]string, len(c.Peers))
	for i, address := range c.Peers {
		peers[i] = address.String()
	}
	body, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", g.Number), "listen": g.ClientAddress, "ops": g.opsAddress,
		"discovery":   g.Agents[c.AgentIndex].Address(),
		"seed":        fmt.Sprintf("%016x", seedBase^uint64(g.Number)<<32),
		"limits":      map[string]any{"cores": 1, "memory_mb": c.MemoryMB, "sockets": socketLimit},
		"peer_listen": g.GossipAddress.String(), "peers": peers,
		"known": c.LastKnownList, "settings": c.Settings,
	})
	if err != nil {
		return g.wrapError(err)
	}
	// The file is replaced by a rename, so that the gateway never reads a partly written file.
	temporaryPath := g.configPath() + ".new"
	if err := os.WriteFile(temporaryPath, body, configMode); err != nil {
		return g.wrapError(err)
	}
	if err := os.Rename(temporaryPath, g.configPath()); err != nil {
		return g.wrapError(err)
	}
	return nil
}

// configPath returns the path of the configuration file.
func (g *Gateway) configPath() string { return filepath.Join(g.dir, "config.json") }

// logPath returns the path of the file with the output of the process.
func (g *Gateway) logPath() string { return filepath.Join(g.dir, "log") }

// Start starts the process with its configuration. Stop ends the process; the cancellation of ctx does not.
// The process is also killed when this process ends, even if this process is killed.
func (g *Gateway) Start(ctx context.Context, program string) error {
	var err error
	if g.logFile, err = os.Create(g.logPath()); err != nil {
		return g.wrapError(err)
	}
	g.command = exec.CommandContext(context.WithoutCancel(ctx), program)
	g.command.Env = append(os.Environ(), "RELAY_CONFIG="+g.configPath(), "TMPDIR="+g.dir)
	g.command.Stdout, g.command.Stderr = g.logFile, g.logFile
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return g.wrapError(err)
	}
	g.pid.Store(int64(g.command.Process.Pid))
	go func() {
		defer close(g.Exited)
		_ = g.command.Wait() // its log contains the reason for the exit
	}()
	return nil
}

// PID returns the process ID, or 0 before Start.
func (g *Gateway) PID() int { return int(g.pid.Load()) }

// WaitReady waits until the gateway answers PING. It returns an error if the process exits or does not answer
// within startTimeout.
func (g *Gateway) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if g.ping(ctx) == nil {
			return nil
		}
		select {
		case <-g.Exited:
			return g.wrapError(fmt.Errorf("%w: %s", errExitedAtStart, g.lastLogLine()))
		case <-ctx.Done():
			return g.wrapError(fmt.Errorf("%w: %w", errNotReady, context.Cause(ctx)))
		case <-time.After(PollInterval):
		}
	}
}

var (
	errExitedAtStart = errors.New("exited before it was ready")
	errNotReady      = errors.New("not ready")
)

// lastLogLine returns the last line in the log of the process, which gives the reason for an exit.
func (g *Gateway) lastLogLine() string {
	log, err := os.ReadFile(g.logPath())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return lines[len(lines)-1]
}

// HasExited reports whether the process has exited.
func (g *Gateway) HasExited() bool {
	select {
	case <-g.Exited:
		return true
	default:
		return false
	}
}

// Stop ends the process by SIGTERM, or by SIGKILL if it does not exit within stopTimeout, and closes the
// discovery agents.
func (g *Gateway) Stop() {
	if g.PID() != 0 {
		_ = g.command.Process.Signal(syscall.SIGTERM) // it may have exited already
		select {
		case <-g.Exited:
		case <-time.After(stopTimeout):
			_ = g.command.Process.Kill()
			<-g.Exited
		}
		_ = g.logFile.Close()
	}
	for _, agent := range g.Agents {
		if agent != nil {
			agent.Close()
		}
	}
}

// Reload makes the gateway reload its configuration, by SIGHUP.
func (g *Gateway) Reload() error {
	if err := g.command.Process.Signal(syscall.SIGHUP); err != nil {
		return g.wrapError(err)
	}
	return nil
}
