package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crowd is idle clients: each that the gateway closes comes again.
type crowd struct {
	closed atomic.Int64 // by the gateway
	stop   chan struct{}
	gone   sync.WaitGroup
}

func gather(t testing.TB, addr string, size int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { close(c.stop) }); c.gone.Wait() })
	for range size {
		c.gone.Add(1)
		go func() {
			defer c.gone.Done()
			for {
				conn, err := net.DialTimeout("tcp", addr, patience)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if err == nil {
						_, _ = io.Copy(io.Discard, conn)
						c.closed.Add(1)
					}
				}()
				select {
				case <-ended:
				case <-c.stop:
				}
				if err == nil {
					conn.Close()
					<-ended
				}
				select {
				case <-c.stop:
					return
				default:
				}
				if err != nil {
					time.Sleep(time.Millisecond) // it is not there yet
				}
			}
		}()
	}
	return c
}

// limited states the same limit in the configuration that the process has.
func limited(files int, more func(map[string]any)) func(map[string]any) {
	return func(f map[string]any) {
		f["limits"] = map[string]any{"memory_mb": 192, "sockets": files}
		more(f)
	}
}

// Every part takes all that it may at once: clients, backends, operators, one at the door, and two
// addresses of discovery, one of which hangs. The sum stays within the limit, and a new configuration
// can still be read.
func TestAllPartsAtOnceKeepToTheLimit(t *testing.T) {
	for _, files := range []int{32, 64, 256, 1024} {
		t.Run(fmt.Sprint(files), func(t *testing.T) {
			t.Parallel()
			host := ownHost()
			hangs := newMember(t)
			var entries []string
			for i := range files { // many ids: the module lets as many more requests be out
				entries = append(entries, hangs.entry(fmt.Sprintf("s-%08x", i+1), "Ready"))
			}
			discovery := newAgent(t, host)
			discovery.silent()
			change := limited(files, known(entries...))
			p := launch(t, host, files, change)
			p.until(t, "readiness", p.pings)
			hold := func(network, addr, text string) net.Conn {
				t.Helper()
				conn, err := net.DialTimeout(network, addr, patience)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				_, _ = io.WriteString(conn, text)
				return conn
			}
			share := (files - 24) * 2 / 5
			for range share {
				hold("tcp", host+":6379", lookupText()+lookupText())
			}
			most := 0
			watch := func(enough int) func() bool {
				return func() bool { most = max(most, p.open()); return len(hangs.got) >= enough }
			}
			p.until(t, "requests at every connection to backends", watch(share))
			gather(t, host+":6379", files)
			for range 24 {
				hold("tcp", host+":6380", "GET /ops/st")
			}
			hold("unixpacket", p.door(), "h") // and never goes on
			stuck := newHang(t, host, 8501)
			for i, address := range []string{host + ":8501", host + ":8502"} {
				p.configure(t, func(f map[string]any) { change(f); f["discovery"] = address })
				p.hangUp(t)
				p.until(t, "the new configuration", func() bool { watch(0)(); return strings.Count(p.logged(), "msg=reload") == i+1 })
				if i == 0 {
					p.until(t, "a dial that hangs", func() bool { watch(0)(); return stuck() })
				}
			}
			close(hangs.serve)
			if !p.pings() {
				t.Error("no answer to PING")
			}
			if status, err := p.operate("/ops/readiness"); status != 200 || err != nil {
				t.Errorf("readiness: %d, %v", status, err)
			}
			if n := strings.Count(p.logged(), "too many open files"); n > 0 {
				t.Errorf("%d calls found no descriptor", n)
			}
			t.Logf("at most %d of %d descriptors", most, files)
		})
	}
}
