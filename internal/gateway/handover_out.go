package gateway

import (
	"context"

	"sparspread/internal/discovery"
	"sparspread/internal/handover"
	"sparspread/internal/resp"
	"sparspread/policy"
)

// This file is the process that hands over. Each step can be the last one. Until the successor has accepted
// the state and was told to go on, this process serves; from then on the successor does. Only one of them
// grants at any time.

// stateTimeout is how long a successor may take to accept the state.
const stateTimeout = 1 * second

// outgoingHandover is a handover to a successor.
type outgoingHandover struct {
	link           *handover.Link
	ownershipGiven bool              // the successor decides
	heldCommands   []commandReceived // read since the state was exported
}

// hasGivenOwnership reports whether a successor decides now. A nil handover has not begun.
func (h *outgoingHandover) hasGivenOwnership() bool { return h != nil && h.ownershipGiven }

// listenForSuccessor lets a new process ask for the handover. Without it this process serves all the same,
// and the next one binds beside it.
func (l *Loop) listenForSuccessor() {
	path := handover.SocketPath(l.config.Listen)
	if path == "" {
		return
	}
	listener, err := handover.Listen(path, l.log)
	if err != nil {
		l.log.Warn("handover: no socket, a second process will bind on its own", "error", err)
		return
	}
	l.handoverListener = listener
	go listener.Serve(l.clients.listener, l.gossip.Conn(), predecessorEvents{l})
}

// predecessorEvents posts the steps of a handover ahead of queued requests.
type predecessorEvents struct{ loop *Loop }

func (p predecessorEvents) TakeoverRequested(link *handover.Link) {
	p.loop.events.PostUrgent(context.Background(), takeoverRequested{link})
}

func (p predecessorEvents) StateAccepted(link *handover.Link) {
	p.loop.events.PostUrgent(context.Background(), stateAccepted{link})
}

func (p predecessorEvents) SuccessorExited(link *handover.Link) {
	p.loop.events.PostUrgent(context.Background(), successorExited{link})
}

// takeoverRequested: a successor is ready for the state.
type takeoverRequested struct{ link *handover.Link }

// handle sends the state. From here on no command is processed and nothing is granted until the successor has
// accepted the state.
func (e takeoverRequested) Handle(l *Loop) {
	if l.handover != nil || l.shutdown.isClosing() || !l.accepting {
		e.link.Close()
		return
	}
	state, err := handover.EncodeState(&handover.State{
		NextRequestID: l.requests.lastID,
		Endpoints:     l.backends.listedEndpoints(),
		Policy:        l.controller.Export(l.events.Now()),
	})
	if err != nil {
		l.log.Error("handover: state not encoded", "error", err)
		e.link.Close()
		return
	}
	h := &outgoingHandover{link: e.link}
	l.handover = h
	l.clients.pause()
	l.gossip.Pause()
	e.link.SendState(state)
	l.events.After(stateTimeout, stateTimer{h})
}

// listedEndpoints returns the endpoints that discovery lists.
func (bs *backends) listedEndpoints() []discovery.Endpoint {
	endpoints := make([]discovery.Endpoint, 0, len(bs.byID))
	for _, b := range bs.byID {
		if b.state != policy.EndpointRemoved {
			endpoints = append(endpoints, b.endpoint)
		}
	}
	return endpoints
}

// holdCommand sets a command aside that the successor is to decide on.
func (h *outgoingHandover) holdCommand(e commandReceived) {
	if !h.ownershipGiven {
		h.heldCommands = append(h.heldCommands, e)
		return
	}
	e.client.handoverInput = appendCommand(e.client.handoverInput, e.args)
	<-e.client.pipelineSlots
}

func appendCommand(b []byte, args [][]byte) []byte {
	b = resp.AppendArray(b, len(args))
	for _, arg := range args {
		b = resp.AppendBulk(b, arg)
	}
	return b
}

// stateAccepted: the successor has decoded the state.
type stateAccepted struct{ link *handover.Link }

// handle gives up ownership: the successor decides, and clients follow it as they become idle.
func (e stateAccepted) Handle(l *Loop) {
	h := l.handover
	if h == nil || h.link != e.link || h.link.IsClosed() {
		return
	}
	h.link.SendGo()
	h.ownershipGiven = true
	l.log.Info("handed over", "open", l.requests.open, "clients", len(l.clients.conns))
	l.ops.SetReady(false)
	l.handoverListener.Close(false) // the successor's socket stands there now
	_ = l.clients.listener.Close()
	l.gossip.Close()
	l.controller.GiveUpOwnership(l.events.Now())
	for _, b := range l.backends.byNumber {
		l.backends.closeIdle(b)
	}
	limitMemory(l.config, 2)
	for _, command := range h.heldCommands {
		h.holdCommand(command)
	}
	h.heldCommands = nil
	for c := range l.clients.conns {
		c.stopReading()
	}
	l.shutdown.endIfIdle(l)
}

// stateTimer ends a handover whose state was not accepted in time.
type stateTimer struct{ handover *outgoingHandover }

func (t stateTimer) Handle(l *Loop) {
	if !t.handover.ownershipGiven {
		t.handover.link.Close()
		l.resumeServing(t.handover)
	}
}

// successorExited: the successor has ended or given up.
type successorExited struct{ link *handover.Link }

func (e successorExited) Handle(l *Loop) {
	e.link.Close()
	if l.handover != nil && l.handover.link == e.link {
		l.resumeServing(l.handover)
	}
}

// resumeServing ends a handover: this process serves again.
func (l *Loop) resumeServing(h *outgoingHandover) {
	if l.handover != h {
		return
	}
	l.handover = nil
	if h.ownershipGiven {
		l.resumeOwnership()
	} else {
		l.keepOwnership()
	}
	for _, command := range h.heldCommands {
		l.memory.queued.Add(int64(command.size)) // which its handling subtracts a second time
		command.Handle(l)
	}
	l.shutdown.endIfIdle(l)
}

// keepOwnership goes on where this process has decided all the time.
func (l *Loop) keepOwnership() {
	l.log.Warn("handover: this process goes on")
	if l.clients.pauseAccept == nil { // otherwise a shutdown has resumed it to empty the backlog
		l.clients.resume(l)
	}
	l.gossip.Resume()
	l.controller.AdvertiseAll()
}

// resumeOwnership goes on where a successor had decided. What that granted is unknown, and the sockets ended
// with it.
func (l *Loop) resumeOwnership() {
	l.log.Warn("handover: the new process has ended, this one serves again")
	limitMemory(l.config, 1)
	l.controller.ResumeOwnership(l.events.Now())
	if !l.shutdown.hasStarted() {
		l.rebind()
	}
	for c := range l.clients.conns {
		c.resumeReading(l)
	}
}
