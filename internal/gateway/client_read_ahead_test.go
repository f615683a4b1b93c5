package gateway

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// Input that was read ahead is processed in the order of its arrival, and is then no longer counted in
// memoryUse.inputBytes.
func TestReadAheadKeepsOrder(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	call := c.openLookup(b, 1)
	var text strings.Builder
	const many = 20 * maxPipelined
	for i := range many {
		fmt.Fprintf(&text, "*1\r\n$5\r\nX%04d\r\n*1\r\n$4\r\nPING\r\n", i)
	}
	c.write(text.String())
	for r.gateway.memory.inputBytes.Load() < maxReadAhead/2 { // wait until input was read ahead
		runtime.Gosched()
	}
	call.replyValue(t, "ok")
	c.wantValue("ok")
	for i := range many {
		c.wantLine(fmt.Sprintf("-ERR unknown command \"X%04d\"", i))
		c.wantLine("+PONG")
	}
	if n := r.gateway.memory.inputBytes.Load(); n != 0 {
		t.Errorf("got %d bytes counted after all replies, want 0", n)
	}
}

// The size of the input that is read ahead is limited for each connection and for all connections.
func TestReadAheadIsBounded(t *testing.T) {
	g := newTestGateway(t, newFakeDiscovery(t))
	g.listening.resume()
	t.Cleanup(g.listening.pause)
	far := dialClient(t, g.listening.listener.Addr().String())
	near := eventAs[clientConnected](t, wait(t, g.events.Queue(), "the connection")).conn
	defer func() { _ = near.Close() }()
	go func() { _, _ = far.conn.Write(make([]byte, 2*maxReadAhead)) }()
	limit := maxQueuedBytes(g.config) / 2
	g.memory.inputBytes.Store(limit)
	c := &client{conn: near}
	if c.readAhead(g, nil); len(c.readAheadInput) != 0 {
		t.Errorf("without free memory: got %d bytes read, want 0", len(c.readAheadInput))
	}
	g.memory.inputBytes.Store(0)
	c.readAhead(g, nil)
	length, capacity, counted := len(c.readAheadInput), cap(c.readAheadInput), g.memory.inputBytes.Load()
	if length != maxReadAhead || capacity > maxReadAhead+maxReadAhead/4 || counted != maxReadAhead {
		t.Errorf("got %d bytes, buffer of %d, %d counted; want %d", length, capacity, counted, maxReadAhead)
	}
}

// A connection is handed over with the input that was read ahead while the pipeline was full.
func TestReadAheadIsHandedOver(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	c := first.client(t)
	c.sendOnce(1, "team")
	open := b.nextCall(t)
	// Each command has 16 bytes, so that the buffer of the reader may be empty between two commands while
	// further input is read ahead.
	const ping = "*1\r\n$004\r\nPING\r\n"
	c.write(strings.Repeat(ping, 2*maxPipelined))
	c.sendOnce(2, "team")
	for first.gateway.memory.inputBytes.Load() < maxPipelined/2*int64(len(ping)) {
		runtime.Gosched()
	}
	second := startGateway(t, cfg)
	waitForReadiness(t, second, 200)
	open.replyValue(t, "one")
	c.wantValue("one")
	for range 2 * maxPipelined {
		c.wantLine("+PONG")
	}
	c.wantServed(b, "two")
	wantMetrics(t, second, "fulfilled.once=1")
}
