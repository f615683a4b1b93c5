package gateway

import (
	"time"

	"sparspread/internal/handover"
	"sparspread/internal/sockstate"
)

// This file accepts connections that the predecessor hands over. Their clients have chosen neither this
// process nor the time, and their input may have been read by the predecessor, so that it would be lost
// with the connection. While the slots for clients are in use, they go first: accepted connections that
// rest make room.

// clientReceived reports a client's connection that the predecessor has handed over.
type clientReceived struct{ client handover.Client }

// Handle accepts the connection. If all slots are in use, and none can be freed, it is accepted without one
// if its client may wait for something, and closed otherwise. The number of descriptors of both processes
// together does not change.
func (e clientReceived) Handle(g *Gateway) {
	owed := e.mayBeOwed()
	hasSlot := g.clients.takeSlot(g, owed, e.client.Requests > 0)
	if !hasSlot && !owed {
		g.clients.counts.inheritedRejected++
		_ = e.client.Conn.Close() // a failed close needs no handling
		return
	}
	inputAge, _ := e.client.InputAge(handover.MonotonicTime()) // zero if the predecessor is an older version
	clientConnected{
		conn:           e.client.Conn,
		openedAt:       e.client.OpeningTime(time.Now()),
		commandCount:   e.client.Requests,
		inheritedInput: e.client.Input,
		inherited:      true,
		withoutSlot:    !hasSlot,
		inputAge:       inputAge,
	}.Handle(g)
}

// mayBeOwed reports whether the client may have sent a command that is not answered, or answers may still
// be on their way to it.
func (e clientReceived) mayBeOwed() bool {
	if len(e.client.Input) > 0 {
		return true
	}
	conn, err := e.client.Conn.SyscallConn()
	if err != nil {
		return false // it is closed
	}
	receive := sockstate.Receive(conn)
	send, _ := sockstate.Send(conn) // zero if the system does not report it
	return receive == sockstate.Unread || receive == sockstate.Full || send.Undelivered > 0
}

// takeSlot acquires a slot for an inherited connection. If all are in use, it closes a connection that may
// be evicted and takes its slot, so that the accept goroutine does not get it. A connection on which
// nothing is owed and no request was sent takes none from others.
func (cs *clients) takeSlot(g *Gateway, owed, sentRequests bool) bool {
	select {
	case cs.slots <- struct{}{}:
		return true
	default:
	}
	if !owed && !sentRequests {
		return false
	}
	victim := cs.chooseVictim(g.events.Now(), nil, owed)
	if victim == nil {
		return false
	}
	cs.counts.countEviction(victim)
	hadSlot := !victim.withoutSlot
	victim.withoutSlot = true
	victim.close(g, clientEvicted)
	return hadSlot
}
