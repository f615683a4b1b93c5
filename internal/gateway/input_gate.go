package gateway

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"sparspread/internal/sockstate"
)

// inputGate keeps the reader of a client from reading further commands while an incomplete large value is
// open on the connection. If the value breaks, the connection has to be closed: commands that were left in
// the kernel are sent again by the client, but commands that were read would be lost. It is safe for
// concurrent use.
type inputGate struct {
	readerWaits *atomic.Int32 // the reader's readerWait
	passing     atomic.Bool   // set by the reader: the input belongs to a command that was read before

	mu       sync.Mutex    // held while the reader takes input from the kernel
	reopened chan struct{} // nil while the gate is open; closed when it opens
}

// BeginRead implements sockstate.Gate.
func (g *inputGate) BeginRead() bool {
	g.mu.Lock()
	if g.reopened != nil && !g.passing.Load() {
		g.mu.Unlock()
		return false
	}
	return true
}

// EndRead implements sockstate.Gate. From the first byte on, the reader does not wait any more.
func (g *inputGate) EndRead(n int) {
	if n > 0 {
		g.readerWaits.Store(int32(waitsForNoInput))
	}
	g.mu.Unlock()
}

// set closes or opens the gate. After it was closed, no input is read that was not read before.
func (g *inputGate) set(isClosed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case isClosed && g.reopened == nil:
		g.reopened = make(chan struct{})
	case !isClosed && g.reopened != nil:
		close(g.reopened)
		g.reopened = nil
	}
}

// awaitOpen waits until the gate is open or done is closed.
func (g *inputGate) awaitOpen(done <-chan struct{}) {
	g.mu.Lock()
	reopened := g.reopened
	g.mu.Unlock()
	if reopened == nil {
		return
	}
	select {
	case <-reopened:
	case <-done:
	}
}

// readGated reads from the connection when the gate is open. The time in which it was closed does not count
// towards the time for the rest of a command. If the client closes its connection during the wait,
// client.detectDisconnect sees it.
func (c *client) readGated(b []byte) (n int, arrivedAt int64, err error) {
	for {
		n, arrivedAt, err = c.readSocket(b)
		if !errors.Is(err, sockstate.ErrGateClosed) {
			return n, arrivedAt, err
		}
		closedAt := time.Now()
		c.gate.awaitOpen(c.done)
		if c.midCommand {
			c.commandDeadline = c.commandDeadline.Add(time.Since(closedAt))
			c.setReadDeadline(c.commandDeadline)
		}
	}
}
