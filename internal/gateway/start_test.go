package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"sparspread/internal/config"
	"sparspread/policy"
)

// discoveryFault is a discovery service that does not answer. It sends to met when it is called.
type discoveryFault func(t *testing.T, met chan<- string) (address string, dial dialControl)

// dialControl is called before each dial to discovery; nil: the dials are not touched.
type dialControl func(network, address string, conn syscall.RawConn) error

var discoveryFaults = map[string]discoveryFault{
	"refuses": func(t *testing.T, met chan<- string) (string, dialControl) {
		t.Helper()
		listener := listenLocal(t)
		_ = listener.Close()
		return listener.Addr().String(), func(string, string, syscall.RawConn) error {
			met <- "dial"
			return nil
		}
	},
	"resets": func(t *testing.T, met chan<- string) (string, dialControl) {
		t.Helper()
		return acceptEach(t, func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			met <- "reset"
		}), nil
	},
	"is silent": func(t *testing.T, met chan<- string) (string, dialControl) {
		t.Helper()
		return acceptEach(t, func(net.Conn) { met <- "call" }), nil
	},
	"breaks off amid a list": func(t *testing.T, met chan<- string) (string, dialControl) {
		t.Helper()
		return acceptEach(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"+
				"{\"revision\":9,\"members\":[")
			met <- "half a list"
		}), nil
	},
	"hangs in the dial": func(t *testing.T, met chan<- string) (string, dialControl) {
		t.Helper()
		unblock := make(chan struct{})
		t.Cleanup(func() { close(unblock) })
		return "127.0.0.1:1", func(string, string, syscall.RawConn) error {
			met <- "dial"
			<-unblock
			return syscall.ECONNREFUSED
		}
	},
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// acceptEach listens at the address that it returns and calls handle with each connection.
func acceptEach(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener := listenLocal(t)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			handle(conn)
		}
	}()
	return listener.Addr().String()
}

// knownEndpoints is the configuration's list of n endpoints that are ready.
func knownEndpoints(n int) json.RawMessage {
	const member = `{"id":"s-%08x","host_port":"127.0.0.1:9","phase":"Ready"}`
	var members []string
	for i := range n {
		members = append(members, fmt.Sprintf(member, i+1))
	}
	return json.RawMessage(`{"revision":1,"complete":true,"members":[` + strings.Join(members, ",") + `]}`)
}

// Whatever discovery does, the gateway is ready after readinessWait, with the configured list.
func TestStartIsReadyWhateverDiscoveryDoes(t *testing.T) {
	const endpoints = 3000
	for name, fault := range discoveryFaults {
		t.Run(name, func(t *testing.T) {
			met := make(chan string, 1024)
			address, control := fault(t, met)
			cfg := configure(t, newFakeDiscovery(t), func(f map[string]any) {
				f["discovery"] = address
				f["known"] = knownEndpoints(endpoints)
			})
			l, err := newLoop(cfg, quiet())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.clients.listener.Close() }()
			if control != nil {
				dialer := &net.Dialer{Control: control}
				l.discovery.client.Transport.(*http.Transport).DialContext = dialer.DialContext
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l.start(ctx)
			wait(t, met, "discovery's first call")
			if l.runTimers(); l.accepting {
				t.Fatal("ready before readinessWait")
			}
			l.clock.wall += readinessWait
			if l.runTimers(); !l.accepting {
				t.Fatal("not ready after readinessWait")
			}
			defer l.clients.pause()
			if got := readyBackends(l); got != endpoints {
				t.Errorf("%d backends are ready, want %d", got, endpoints)
			}
		})
	}
}

// readyBackends counts the backends that are ready.
func readyBackends(l *Loop) (n int) {
	for _, b := range l.backends.byNumber {
		if b.state == policy.EndpointReady {
			n++
		}
	}
	return n
}

// An invalid configuration gives an error of one line.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":` +
		settingsText + `}`
	if _, err := config.Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{
		{`"seed":"01"`, `"seed":"x"`},
		{`"listen":"127.0.0.1:0"`, `"listen":""`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":""`},
		{`"balancers":1`, `"balancers":"many"`},
		{`"peers":false`, `"peers":true`},
		{`"name":"team"`, `"nam":"team"`},
		{`{"name":"n"`, `{"peers":["nowhere"]`},
		{`"settings":{`, `"set":{`},
		{`}`, ``},
	} {
		bad := strings.Replace(good, c[0], c[1], 1)
		if bad == good {
			t.Fatalf("%s: not there", c[0])
		}
		_, err := config.Parse([]byte(bad))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", c[1], err)
		}
	}
}
