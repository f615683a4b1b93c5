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

// Idle clients take every place there is while discovery is down, and more than as many again wait. All
// others are served: discovery is heard at its return and what it tells is kept to, operators and
// true clients get their answers, and no call for a descriptor ever fails.
func TestIdleCrowdWhileDiscoveryIsDown(t *testing.T) {
	for _, c := range []struct {
		files  int
		silent bool
	}{{32, true}, {64, false}, {256, true}, {1024, false}} {
		t.Run(fmt.Sprintf("%d descriptors, silent %t", c.files, c.silent), func(t *testing.T) {
			t.Parallel() // they mostly wait
			host := ownHost()
			drains, fresh := newMember(t), newMember(t)
			close(drains.serve)
			close(fresh.serve)
			discovery := newAgent(t, host)
			if c.silent {
				discovery.silent()
			}
			p := launch(t, host, c.files, limited(c.files, known(drains.entry("s-00000001", "Ready"))))
			idle := gather(t, host+":6379", 2*c.files)
			most := 0
			watch := func() bool { most = max(most, p.open()); return idle.closed.Load() >= int64(2*c.files) }
			p.until(t, "a crowd beyond all places", watch)
			var again, refused atomic.Int64
			served := func(clients int) {
				t.Helper()
				var all sync.WaitGroup
				for range clients {
					all.Go(func() {
						answer, sent, busy, err := p.lookup()
						again.Add(int64(sent - 1))
						refused.Add(int64(busy))
						if err != nil || answer != "$2" {
							t.Errorf("answer %q, error %v, sent %d times, refused %d times", answer, err, sent, busy)
						}
					})
				}
				all.Wait()
				most = max(most, p.open())
			}
			others := func() {
				t.Helper()
				if !p.pings() {
					t.Error("no answer to PING")
				}
				for _, path := range []string{"/ops/readiness", "/ops/stats"} {
					if status, err := p.operate(path); status != 200 || err != nil {
						t.Errorf("%s: %d, %v", path, status, err)
					}
				}
			}
			served(2)
			others()
			discovery.answer(drains.entry("s-00000001", "Terminating") + "," + fresh.entry("s-00000002", "Ready"))
			discovery.told()
			before := len(drains.got)
			for range 5 { // as many at once as may be open within the least share
				served(2)
			}
			others()
			if n := len(drains.got) - before; n > 0 || len(fresh.got) < 10 {
				t.Errorf("%d requests went to the backend that drains, %d to the other", n, len(fresh.got))
			}
			log := p.logged()
			if n := strings.Count(log, "too many open files"); n > 0 {
				t.Errorf("%d calls found no descriptor", n)
			}
			if n := refused.Load(); n > 0 {
				t.Errorf("true clients were turned away %d times", n)
			}
			t.Logf("at most %d of %d descriptors; %d of the crowd closed; %d requests sent again; %d lines logged",
				most, c.files, idle.closed.Load(), again.Load(), strings.Count(log, "\n"))
		})
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
