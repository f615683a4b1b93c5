package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/internal/porttest"
	"sparspread/policy"
)

// faultyDiscovery is a discovery service with a fault.
type faultyDiscovery struct {
	address string
	// control is the Control function of the dialer of the discovery client. If nil, dials are not changed.
	control func(network, address string, c syscall.RawConn) error
}

// startFaultyDiscovery starts a discovery service that calls serve with each connection.
func startFaultyDiscovery(t *testing.T, serve func(*net.TCPConn)) faultyDiscovery {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			serve(conn)
		}
	}()
	return faultyDiscovery{address: listener.Addr().String()}
}

// discoveryFaults start one faulty discovery service each. The service sends a value to called for each dial
// or connection.
var discoveryFaults = map[string]func(t *testing.T, called chan<- string) faultyDiscovery{
	"refuses": func(t *testing.T, called chan<- string) faultyDiscovery {
		t.Helper()
		control := func(string, string, syscall.RawConn) error {
			called <- "dial"
			return nil
		}
		return faultyDiscovery{porttest.Reserve(t), control}
	},
	"resets": func(t *testing.T, called chan<- string) faultyDiscovery {
		t.Helper()
		return startFaultyDiscovery(t, func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
			called <- "reset"
		})
	},
	"never answers": func(t *testing.T, called chan<- string) faultyDiscovery {
		t.Helper()
		return startFaultyDiscovery(t, func(*net.TCPConn) { called <- "call" })
	},
	"sends part of a list": func(t *testing.T, called chan<- string) faultyDiscovery {
		t.Helper()
		return startFaultyDiscovery(t, func(conn *net.TCPConn) {
			const half = "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{\"revision\":9,\"members\":["
			_, _ = fmt.Fprint(conn, half) // if the connection is closed, the test fails elsewhere
			called <- "half a list"
		})
	},
	"dial hangs": func(t *testing.T, called chan<- string) faultyDiscovery {
		t.Helper()
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		control := func(string, string, syscall.RawConn) error {
			called <- "dial"
			<-release
			return syscall.ECONNREFUSED
		}
		return faultyDiscovery{"127.0.0.1:1", control}
	},
}

// With any fault of the discovery service, a starting gateway is ready after readinessWait, and serves with
// the endpoint list of its configuration.
func TestStartWithFaultyDiscoveryServesConfiguredList(t *testing.T) {
	for name, start := range discoveryFaults {
		t.Run(name, func(t *testing.T) {
			called := make(chan string, 1024)
			faulty := start(t, called)
			const endpoints = 3000
			g := newGatewayWithKnownList(t, faulty, endpoints)
			defer func() { _ = g.listening.listener.Close() }()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			g.start(ctx)
			wait(t, called, "the first dial or connection to discovery")
			if g.events.RunTimers(); !g.listening.isWaiting() {
				t.Fatal("the gateway is ready before readinessWait")
			}
			fakeClockOf(t, g).shown.Add(readinessWait)
			if g.events.RunTimers(); g.listening.isWaiting() {
				t.Fatal("the gateway is not ready after readinessWait")
			}
			defer g.listening.pause()
			ready := 0
			for _, b := range g.backends.byNumber {
				if b.state == policy.EndpointReady {
					ready++
				}
			}
			if ready != endpoints {
				t.Errorf("%d backends are ready, want %d", ready, endpoints)
			}
		})
	}
}

// newGatewayWithKnownList returns a gateway whose configuration contains an endpoint list and the address of
// a faulty discovery service.
func newGatewayWithKnownList(t *testing.T, faulty faultyDiscovery, endpoints int) *Gateway {
	t.Helper()
	var entries []string
	for i := range endpoints {
		const format = `{"id":"s-%08x","host_port":"127.0.0.1:9","phase":"Ready"}`
		entries = append(entries, fmt.Sprintf(format, i+1))
	}
	cfg := newConfig(t, newFakeDiscovery(t), func(f map[string]any) {
		f["discovery"] = faulty.address
		list := `{"revision":1,"complete":true,"members":[` + strings.Join(entries, ",") + `]}`
		f["known"] = json.RawMessage(list)
	})
	g := newFakeClockGateway(t, cfg)
	if faulty.control != nil {
		c := discoveryConfig(&cfg)
		c.DialContext = (&net.Dialer{Control: faulty.control}).DialContext
		g.discovery = discovery.New(c, discardLog(), endpointAdapter{g}.postEvent)
	}
	return g
}
