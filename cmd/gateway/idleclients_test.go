package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// idleClients are clients that connect and send nothing. Each that the gateway closes connects again.
type idleClients struct {
	address        string
	closedByServer atomic.Int64
	stop           chan struct{}
}

// startIdleClients starts clients that end with the test.
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

// run connects again and again until the clients are stopped.
func (c *idleClients) run() {
	for {
		conn, err := dial("tcp", c.address, waitTimeout)
		if err == nil {
			c.hold(conn)
		}
		select {
		case <-c.stop:
			return
		default:
		}
		if err != nil {
			time.Sleep(time.Millisecond) // the gateway does not listen yet
		}
	}
}

// hold keeps a connection until the gateway closes it or the clients are stopped.
func (c *idleClients) hold(conn net.Conn) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn) // however it ends
		c.closedByServer.Add(1)
	}()
	select {
	case <-ended:
	case <-c.stop:
	}
	_ = conn.Close()
	<-ended
}
