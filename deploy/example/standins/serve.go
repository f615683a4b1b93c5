package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/internal/resp"
)

const (
	backendCount     = 2
	listRevision     = 1           // the list never changes
	maxWatchDuration = time.Minute // a request that waits for changes is held open for at most this long
	requestIDArg     = 2           // index of the request's ID in a command for a backend
	answerValueCount = 3           // every answer of a backend has this many values
)

// serveCommand is the command that runs the discovery service and the backends that it lists.
type serveCommand struct {
	Config string `arg:"" type:"existingfile" help:"The gateway's configuration."`
}

// Run serves until the process is killed.
func (c *serveCommand) Run() error {
	cfg, err := readConfig(c.Config)
	if err != nil {
		return err
	}
	ctx := context.Background()
	list, err := startBackends(ctx, &cfg)
	if err != nil {
		return err
	}
	body, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	listener, err := listenTCP(ctx, cfg.Discovery)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: discoveryHandler(body), ReadHeaderTimeout: maxWatchDuration}
	return fmt.Errorf("discovery service: %w", server.Serve(listener))
}

// startBackends starts the backends, on free ports of the discovery service's host, and returns their list.
func startBackends(ctx context.Context, cfg *config.Config) (discovery.Update, error) {
	list := discovery.Update{Revision: listRevision, Complete: true}
	host, _, err := net.SplitHostPort(cfg.Discovery)
	if err != nil {
		return list, fmt.Errorf("discovery address: %w", err)
	}
	for i := range backendCount {
		listener, err := listenTCP(ctx, net.JoinHostPort(host, "0"))
		if err != nil {
			return list, err
		}
		go serveBackend(listener, fmt.Sprintf("backend %d", i))
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			ID: fmt.Sprintf("s-%08x", i), Address: listener.Addr().String(),
			Zone: cfg.Host.Zones[0], Phase: "Ready", CapacityHint: 1,
		})
	}
	return list, nil
}

func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	return listener, nil
}

// discoveryHandler responds with the list. If the request waits for changes, it responds after the wait with
// an empty list of changes.
func discoveryHandler(list []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if !query.Has("index") {
			_, _ = w.Write(list) // fails only if the connection is closed
			return
		}
		waitMS, err := strconv.Atoi(query.Get("wait"))
		if err != nil {
			http.Error(w, "wait: expected milliseconds", http.StatusBadRequest)
			return
		}
		select {
		case <-time.After(min(maxWatchDuration, time.Duration(waitMS)*time.Millisecond)):
			_, _ = fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, listRevision)
		case <-r.Context().Done():
		}
	}
}

// serveBackend answers all commands on all connections.
func serveBackend(listener net.Listener, name string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, name)
	}
}

func serveConn(conn net.Conn, name string) {
	defer func() { _ = conn.Close() }()
	in := resp.NewReader(conn)
	for {
		args, err := in.ReadCommand()
		if err != nil || len(args) <= requestIDArg {
			return
		}
		if _, err := conn.Write(backendAnswer(args[requestIDArg], name)); err != nil {
			return
		}
	}
}

// backendAnswer returns an answer with a value, but without a load report and a meter reading.
func backendAnswer(requestID []byte, name string) []byte {
	value := fmt.Appendf(nil, "request %s served by %s", requestID, name)
	answer := resp.AppendBulk(resp.AppendArray(nil, answerValueCount), value)
	return append(answer, "$-1\r\n$-1\r\n"...)
}
