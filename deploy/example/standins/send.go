package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/resp"
)

const (
	sendTimeout     = 30 * time.Second // limits the wait for the gateway, and then for all replies
	pollInterval    = 10 * time.Millisecond
	requestTimeout  = 5 * time.Second
	requestArgCount = 4
)

var errNotReady = errors.New("gateway not ready")

// sendCommand is the command that runs a client.
type sendCommand struct {
	Config   string `arg:"" type:"existingfile" help:"The gateway's configuration."`
	Plan     string `default:"small" help:"The customer's plan, by its name in the settings."`
	Customer uint64 `default:"1" help:"The customer's number."`
	Requests int    `default:"8" help:"How many requests to send, one after another."`
}

// Run waits until the gateway is ready, sends PING and the requests, and prints the reply to each.
func (c *sendCommand) Run() error {
	cfg, err := readConfig(c.Config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := awaitReady(ctx, cfg.Ops); err != nil {
		return err
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("client connection: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
		return fmt.Errorf("client connection: %w", err)
	}
	commands := [][]byte{resp.AppendBulk(resp.AppendArray(nil, 1), []byte("PING"))}
	for i := range c.Requests {
		commands = append(commands, c.requestCommand(&cfg, uint64(i+1)))
	}
	return printReplies(conn, commands)
}

// printReplies sends the commands sequentially and prints the reply to each.
func printReplies(conn net.Conn, commands [][]byte) error {
	in := resp.NewReader(conn)
	for _, command := range commands {
		if _, err := conn.Write(command); err != nil {
			return fmt.Errorf("client connection: %w", err)
		}
		reply, err := in.ReadReply()
		if err != nil {
			return fmt.Errorf("client connection: %w", err)
		}
		_, _ = fmt.Fprintf(os.Stdout, "%s\n", reply.Text)
	}
	return nil
}

// awaitReady waits until the gateway accepts clients and has endpoints, according to its interface for
// operators.
func awaitReady(ctx context.Context, opsAddress string) error {
	for {
		if isReady(ctx, opsAddress) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the gateway: %w", context.Cause(ctx))
		case <-time.After(pollInterval):
		}
	}
}

func isReady(ctx context.Context, opsAddress string) bool {
	if _, err := getOps(ctx, opsAddress, "/ops/readiness"); err != nil {
		return false
	}
	stats, err := getOps(ctx, opsAddress, "/ops/stats")
	return err == nil && !bytes.Contains(stats, []byte("edge_relay.registry_entries=0\n"))
}

// getOps sends a request to the interface for operators. It returns the body of the response or, unless the
// status is 200, an error.
func getOps(ctx context.Context, opsAddress, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+opsAddress+path, nil)
	if err != nil {
		return nil, fmt.Errorf("ops request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ops request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errNotReady, response.Status)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("ops request: %w", err)
	}
	return body, nil
}

// requestCommand returns a command of the first request class in the configuration.
func (c *sendCommand) requestCommand(cfg *config.Config, id uint64) []byte {
	command := resp.AppendArray(nil, requestArgCount)
	command = resp.AppendBulk(command, []byte("API.READ"))
	command = resp.AppendBulk(command, fmt.Appendf(nil, "%016x", c.Customer))
	command = resp.AppendBulk(command, fmt.Appendf(nil, "%016x", id))
	return resp.AppendBulk(command, fmt.Appendf(nil, "c=%s,t=%s,d=%d,units=1,spread=1,first=0",
		cfg.Host.Classes[0], c.Plan, requestTimeout.Milliseconds()))
}
