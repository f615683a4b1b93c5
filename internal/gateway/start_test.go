package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"sparspread/policy"
)

// Whatever discovery does or does not do, a start is over when its wait is: the gateway serves with the
// list that it was given.
func TestStartWaitsForNoDiscovery(t *testing.T) {
	// listening gives an address at which each connection meets the same fate.
	listening := func(t *testing.T, fate func(net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { conn.Close() })
				fate(conn)
			}
		}()
		return l.Addr().String()
	}
	for name, discovery := range map[string]func(*testing.T, chan<- string) (string, func(*discoveryClient)){
		"refuses": func(t *testing.T, met chan<- string) (string, func(*discoveryClient)) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
			return l.Addr().String(), func(d *discoveryClient) {
				d.client.Transport.(*http.Transport).DialContext = (&net.Dialer{Control: func(_, _ string, _ syscall.RawConn) error {
					met <- "dial"
					return nil
				}}).DialContext
			}
		},
		"resets": func(t *testing.T, met chan<- string) (string, func(*discoveryClient)) {
			return listening(t, func(conn net.Conn) {
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
				met <- "reset"
			}), nil
		},
		"is silent": func(t *testing.T, met chan<- string) (string, func(*discoveryClient)) {
			return listening(t, func(net.Conn) { met <- "call" }), nil
		},
		"breaks off amid a list": func(t *testing.T, met chan<- string) (string, func(*discoveryClient)) {
			return listening(t, func(conn net.Conn) {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{\"revision\":9,\"members\":[")
				met <- "half a list"
			}), nil
		},
		"hangs in the dial": func(t *testing.T, met chan<- string) (string, func(*discoveryClient)) {
			letGo := make(chan struct{})
			t.Cleanup(func() { close(letGo) })
			return "127.0.0.1:1", func(d *discoveryClient) {
				d.client.Transport.(*http.Transport).DialContext = (&net.Dialer{Control: func(_, _ string, _ syscall.RawConn) error {
					met <- "dial"
					<-letGo
					return syscall.ECONNREFUSED
				}}).DialContext
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			met := make(chan string, 1024)
			address, change := discovery(t, met)
			var members []string
			for i := range 3000 {
				members = append(members, fmt.Sprintf(`{"id":"s-%08x","host_port":"127.0.0.1:9","phase":"Ready"}`, i+1))
			}
			cfg := configure(t, newFakeDiscovery(t), func(f map[string]any) {
				f["discovery"] = address
				f["known"] = json.RawMessage(`{"revision":1,"complete":true,"members":[` + strings.Join(members, ",") + `]}`)
			})
			l, err := newLoop(cfg, quiet())
			if err != nil {
				t.Fatal(err)
			}
			defer l.clients.listener.Close()
			if change != nil {
				change(l.discovery)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l.start(ctx)
			wait(t, met, "discovery's first call")
			if l.runTimers(); l.accepting {
				t.Fatal("ready before the wait was over")
			}
			l.clock.wall += readinessWait
			if l.runTimers(); !l.accepting {
				t.Fatal("not ready when the wait was over")
			}
			defer l.clients.pause()
			ready := 0
			for _, b := range l.backends.byNumber {
				if b.state == policy.EndpointReady {
					ready++
				}
			}
			if ready != len(members) {
				t.Errorf("%d backends of %d are ready", ready, len(members))
			}
		})
	}
}
