package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// idleClients are clients that connect and send nothing. They connect again if the gateway closes their
// connection.
type idleClients struct {
	address        string
	closedByServer atomic.Int64
	stop           chan struct{}
}

// startIdleClients starts the given number of idle clients, which are stopped when the test ends.
func startIdleClients(tb testing.TB, address string, count int) *idleClients {
	tb.Helper()
	c := &idleClients{address: address, stop: make(chan struct{})}
	var running sync.WaitGroup
	tb.Cleanup(func() {
		close(c.stop)
		running.Wait()
	})
	for range count {
		running.Go(c.run)
	}
	return c
}

// run runs one client until the clients are stopped.
func (c *idleClients) run() {
	for {
		conn, err := dial("tcp", c.address, waitTimeout)
		if err == nil {
			c.holdConnection(conn)
		}
		select {
		case <-c.stop:
			return
		default:
		}
		if err != nil {
			time.Sleep(time.Millisecond) // the gateway may not listen yet
		}
	}
}

// holdConnection keeps a connection open until the gateway closes it or the clients are stopped.
func (c *idleClients) holdConnection(conn net.Conn) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn) // returns when either side closes the connection
		c.closedByServer.Add(1)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
	_ = conn.Close()
	<-ended
}
