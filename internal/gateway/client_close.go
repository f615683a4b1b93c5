package gateway

import "sparspread/policy"

const (
	lingerTime       = 500 * millisecond // for the peer to close after the last reply
	lingerAfterError = 200 * millisecond // and after an error that ends the connection
	maxLingers       = 10                // further periods of lingerTime while it still reads replies
)

// closeAfterReplies closes the connection after the replies to its open requests.
func (c *client) closeAfterReplies(g *Gateway) {
	if c.closeWhenAnswered || c.closed {
		return
	}
	c.closeWhenAnswered = true
	if len(c.pipeline) == 0 {
		c.closeWrite(g)
	}
}

// closeWrite closes the sending side and gives the peer some time to close first: closing with unread input
// would reset the connection, and lose a reply that is still on its way.
func (c *client) closeWrite(g *Gateway) {
	if c.writeClosed {
		return
	}
	c.writeClosed = true
	c.writer.CloseWrite()
	linger := lingerTime
	if c.ignoreInput.Load() {
		linger = lingerAfterError
	}
	g.events.After(linger, lingerTimer{client: c})
}

// lingerTimer closes a connection that the peer leaves open.
type lingerTimer struct {
	client     *client
	extensions int // periods added so far because replies were still unread
}

func (t lingerTimer) Handle(g *Gateway) {
	if !t.client.writer.Idle() && t.extensions < maxLingers {
		g.events.After(lingerTime, lingerTimer{client: t.client, extensions: t.extensions + 1})
		return
	}
	t.client.closeNow(g)
}

// closeNow closes the connection at once, as if the peer had closed it.
func (c *client) closeNow(g *Gateway) { clientDisconnected{client: c}.Handle(g) }

// clientDisconnected says that a client has closed its connection. It no longer waits for its open requests.
type clientDisconnected struct{ client *client }

func (e clientDisconnected) Handle(g *Gateway) {
	c := e.client
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	_ = c.conn.Close() // nothing is left to do about a failed close
	delete(g.clients.conns, c)
	<-g.clients.slots
	c.handoverInput = nil
	now := g.events.Now()
	for _, r := range c.pipeline {
		g.cancelRequest(r, now)
	}
	c.pipeline = nil
	g.shutdown.stopIfIdle()
}

// cancelRequest ends a request whose client has gone.
func (g *Gateway) cancelRequest(r *request, now policy.Time) {
	g.cancelValueTransfer(r)
	g.abortBody(r)
	g.memory.retainedBytes -= len(r.reply)
	if r.answered {
		return
	}
	g.markAnswered(r)
	g.controller.RequestCancelled(now, r.id)
	g.releaseRequest(r)
}
