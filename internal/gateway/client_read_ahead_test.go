package gateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"sparspread/internal/sockwriter"
	"sparspread/policy"
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
	for r.gateway.memory.inputBytes.Load() < 64<<10 { // wait until input was read ahead
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

// The input that is read ahead on all connections is limited, and a single connection leaves half of the
// memory to others.
func TestReadAheadIsBounded(t *testing.T) {
	g := newTestGateway(t, newFakeDiscovery(t))
	g.listening.resume()
	t.Cleanup(g.listening.pause)
	limit := maxQueuedBytes(g.config) / readAheadDivisor
	first, second := connectFlooding(t, g, limit), connectFlooding(t, g, limit)
	g.memory.inputBytes.Store(limit)
	if full := first.readAheadUntilFull(g, nil); !full || first.readAheadInput.size != 0 {
		t.Errorf("without free memory: got %d bytes read, want 0", first.readAheadInput.size)
	}
	g.memory.inputBytes.Store(0)
	used := int64(0)
	for i, c := range []*client{first, second} {
		free := limit - used
		if full := c.readAheadUntilFull(g, nil); !full {
			t.Fatal("read to the end, want a stop at the limit")
		}
		size, counted := int64(c.readAheadInput.size), g.memory.inputBytes.Load()
		used += size
		if size != free/2 || counted != used || c.readAheadInput.capacity() > size+maxInputChunk {
			t.Errorf("connection %d: got %d bytes, %d in memory, %d counted; want %d of %d free",
				i, size, c.readAheadInput.capacity(), counted, free/2, free)
		}
	}
	first.discardReadAhead(g)
	second.discardReadAhead(g)
	if n := g.memory.inputBytes.Load(); n != 0 {
		t.Errorf("got %d bytes counted at the end, want 0", n)
	}
}

// connectFlooding connects a client that writes the given number of bytes, and returns the connection without
// a reader.
func connectFlooding(t *testing.T, g *Gateway, size int64) *client {
	t.Helper()
	far := dialClient(t, g.listening.listener.Addr().String())
	near := eventAs[clientConnected](t, wait(t, g.events.Queue(), "the connection")).conn
	t.Cleanup(func() { _ = near.Close() })
	go func() { _, _ = far.conn.Write(make([]byte, size)) }()
	c := &client{conn: near, writer: sockwriter.New(near, nil), clock: g.clock}
	c.initReader()
	return c
}

// capacity returns the number of bytes that the buffer occupies.
func (b *inputBuffer) capacity() (total int64) {
	for _, chunk := range b.chunks {
		total += int64(cap(chunk))
	}
	return total
}

// Input is taken from a buffer in the order in which it was added, in pieces of any size.
func TestInputBufferKeepsOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var b inputBuffer
	var added, taken []byte
	var lastArrival policy.Time // the time is the number of bytes added before
	for len(added) < 1<<20 {
		now := policy.Time(len(added))
		_, err := b.fillOnce(func(free []byte) (int, policy.Time, error) {
			n := random.IntN(len(free) + 1)
			for i := range free[:n] {
				free[i] = byte(random.Uint32())
			}
			added = append(added, free[:n]...)
			return n, now, nil
		}, 1+random.IntN(100_000))
		if err != nil {
			t.Fatal(err)
		}
		part := make([]byte, random.IntN(40_000))
		n, arrivedAt := b.take(part)
		if n > 0 && (arrivedAt > policy.Time(len(taken)) || arrivedAt < lastArrival) {
			t.Fatalf("byte %d: got arrival %d after %d", len(taken), arrivedAt, lastArrival)
		}
		taken, lastArrival = append(taken, part[:n]...), max(lastArrival, arrivedAt)
		if len(added) != len(taken)+b.size {
			t.Fatalf("got size %d after %d bytes were added and %d taken", b.size, len(added), len(taken))
		}
	}
	taken = append(taken, b.takeAll()...)
	if !bytes.Equal(added, taken) || b.size != 0 || len(b.chunks) != 0 {
		t.Errorf("got %d bytes in another order, and %d left", len(taken), b.size)
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
