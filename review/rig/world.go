package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world is the deployment around the gateway: its configuration, discovery and the backends.
type world struct {
	rig        *rig
	listen     string
	discovery  string
	configPath string
	backends   []*backend

	mu   sync.Mutex
	runs map[string][]run // by the ID of the request
}

// run is the execution of a command at a backend.
type run struct {
	firstByteAt, lastByteAt time.Time // when these bytes of the command arrived
}

// backend is a stand-in for a backend. It begins a command once its last byte has arrived, answers the commands of a
// connection in order, and puts the request's ID at the beginning of the value.
type backend struct {
	number    int
	address   string
	work      time.Duration
	valueSize int
}

// newWorld starts discovery and the backends, and writes the configuration of a tier with one gateway.
func newWorld(r *rig, count int, work time.Duration, valueSize int) *world {
	w := &world{rig: r, listen: r.freeAddress(), configPath: filepath.Join(r.folder, "config.json"), runs: map[string][]run{}}
	for i := range count {
		listener, err := net.Listen("tcp", r.host+":0")
		r.require(err, "backend")
		b := &backend{number: i, address: listener.Addr().String(), work: work, valueSize: valueSize}
		w.backends = append(w.backends, b)
		go w.serveBackend(b, listener)
	}
	return w
}

// start starts discovery with the current backends, and writes the configuration. It returns after both.
func (w *world) start() {
	listener, err := net.Listen("tcp", w.rig.host+":0")
	w.rig.require(err, "discovery")
	w.discovery = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(w.serveDiscovery)) }()
	w.writeConfig(w.configPath, w.configuration())
}

// configuration returns the configuration of the gateway of a tier that has only one.
func (w *world) configuration() map[string]any {
	return map[string]any{
		"name": "n0", "listen": w.listen, "discovery": w.discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings(),
	}
}

func (w *world) writeConfig(path string, config map[string]any) {
	raw, err := json.MarshalIndent(config, "", "  ")
	w.rig.require(err, "configuration")
	w.rig.require(os.WriteFile(path, raw, 0o600), "configuration")
}

// startGateway starts a gateway of this world and waits until it is ready and has the list.
func (w *world) startGateway(name string) *gateway {
	g := w.rig.startGateway(name, w.configPath, w.rig.freeAddress(),
		"RELAY_NAME=n0", "RELAY_LISTEN="+w.listen, "RELAY_DISCOVERY="+w.discovery)
	w.rig.awaitReady(g, len(w.backends))
	return g
}

// settings returns the settings of the example in WIRE, for a tier with a single gateway.
func settings() map[string]any {
	class := func(name, repeat string, worth float64) map[string]any {
		return map[string]any{
			"name": name, "repeat": repeat, "worth": worth, "group": "all", "hard-limit-us": 4000000,
			"promise-us": 1000000, "window-us": 5000000, "late-worth": 0.2, "streaming": false,
		}
	}
	plan := func(name string, rate, burst, factor, earns, costs, ceiling, ceilingBurst, slack float64) map[string]any {
		return map[string]any{
			"name": name, "rate": rate, "burst": burst, "value-factor": factor, "beyond-earns": earns, "beyond-costs": costs,
			"never-over-rate": ceiling, "ceiling-burst": ceilingBurst, "hard-slack": slack, "max-out": 0,
		}
	}
	return map[string]any{
		"self-index": 0, "balancers": 1, "az": 0, "localities": []string{"hall-a"}, "granularity-us": 2000, "tier": 0,
		"membership-mode": "pushed", "weights": "silent", "layers": []string{"dispatch-fleet"}, "models": []string{"std-4c"},
		"report": map[string]any{"names": []string{"busy_reqs"}, "via": "piggyback"},
		"ceilings": map[string]any{
			"cancel": true, "cpu-us-per-request": 0, "cpu-us-per-s": 500000, "dial-timeout-us": 250000, "idle-close-us": 15000000,
			"max-attempts": 5, "max-open": 20000, "max-retry-after-us": 500000, "peers": false, "probes": false,
			"retry-after": true, "second-copies": true, "streams-per-conn": 32,
		},
		"family": "gate",
		"family-info": map[string]any{
			"counter": false, "counter-price": 0, "counter-timeout-us": 0, "mail-per-s": 40, "max-units": 8,
			"meter-period-us": 0, "settles": false,
		},
		"guarantees": map[string]any{
			"answer-slack-us": 8000, "ask-within-us": 10000000, "cold-from": 0.27, "cold-us": 16000000,
			"drain-grace-us": 500000, "overload-factor": 2.5, "tip-after-us": 3000000,
		},
		"prices": map[string]any{"handshake": 0, "cross-zone": 0.0091},
		"request-classes": []any{
			class("track", "retryable", 3), class("book", "fragile", 5),
		},
		"tariffs": []any{
			plan("start", 2.6, 16, 0.72, 0.2, 0, 0, 0, 0),
			plan("business", 14, 29, 1.1, 0, 1, 0, 0, 0),
			plan("enterprise", 60, 97, 1.8, 0, 0.8, 100, 172, 17),
		},
	}
}

// serveDiscovery answers with the whole list, or a watch after its wait with no changes: the list never changes.
func (w *world) serveDiscovery(out http.ResponseWriter, in *http.Request) {
	const revision = 41
	type member map[string]any
	if !in.URL.Query().Has("index") {
		var members []member
		for _, b := range w.backends {
			members = append(members, member{
				"id": fmt.Sprintf("s-%08x", 0x5be2a070+b.number), "host_port": b.address, "locality": "hall-a",
				"flavor": "std-4c", "cell": 0, "phase": "Ready", "size": 1.0, "up_since_ms": 0,
			})
		}
		_ = json.NewEncoder(out).Encode(map[string]any{"revision": revision, "complete": true, "members": members})
		return
	}
	wait, _ := strconv.Atoi(in.URL.Query().Get("wait"))
	select {
	case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		_, _ = fmt.Fprintf(out, `{"revision":%d,"complete":false,"members":[]}`, revision)
	case <-in.Context().Done():
	}
}

func (w *world) serveBackend(b *backend, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go w.serveBackendConn(b, conn)
	}
}

func (w *world) serveBackendConn(b *backend, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 64<<10)
	answers := make(chan chan []byte, 64) // in the order of the commands
	defer close(answers)
	go func() {
		for answer := range answers {
			if _, err := conn.Write(<-answer); err != nil {
				_ = conn.Close()
			}
		}
	}()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second)) // idle-close-us
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		args, err := readCommand(in)
		if err != nil {
			return
		}
		answer := make(chan []byte, 1)
		answers <- answer
		name := strings.ToUpper(args[0])
		if name != "API.READ" && name != "API.WRITE" || len(args) < 4 {
			answer <- []byte("-ERR unknown\r\n")
			continue
		}
		id := args[2]
		w.mu.Lock()
		w.runs[id] = append(w.runs[id], run{firstByteAt, time.Now()})
		w.mu.Unlock()
		if b.valueSize <= 16 {
			w.rig.record("backend %d runs %s %s", b.number, name, id)
		}
		time.AfterFunc(b.work, func() {
			value := id + strings.Repeat(".", max(0, b.valueSize-len(id)))
			answer <- fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$10\r\ninflight=1\r\n", len(value), value)
		})
	}
}

// runsOf returns the executions of a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs[id]...)
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readHead(in, '*')
	if err != nil {
		return nil, err
	}
	var args []string
	for range count {
		size, err := readHead(in, '$')
		if err != nil {
			return nil, err
		}
		value := make([]byte, size+2)
		if _, err := io.ReadFull(in, value); err != nil {
			return nil, err
		}
		args = append(args, string(value[:size]))
	}
	return args, nil
}

// readHead reads a line with a type and a number.
func readHead(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
