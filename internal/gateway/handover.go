package gateway

import (
	"log/slog"
	"syscall"

	"sparspread/internal/handover"
	"sparspread/internal/phase"
	"sparspread/policy"
)

// This file is the predecessor's side of a handover, which may end at any step. The process that has the
// ownership admits requests and grants quota. This process has the ownership until it offers its state. The
// successor has it once it has accepted the state and this process has transferred the ownership to it. In
// between neither process has it, and commands are queued: at no time do both processes grant quota. The
// queues belong to the clients; command_queue.go describes them.

// stateTimeout is the maximum time from sending the state until the successor has accepted it.
const stateTimeout = 1 * second

// handoverPhase is the progress of a handover to a successor.
type handoverPhase uint8

const (
	// This process has the ownership.
	handoverNone handoverPhase = iota
	// The state is sent but not accepted yet. Neither process has the ownership.
	handoverOffered
	// The successor has the ownership. This process completes its open requests.
	handoverAccepted
)

// String returns the name of the phase for log messages.
func (p handoverPhase) String() string {
	return [...]string{"none", "offered", "accepted"}[p]
}

// handoverTransitions lists the legal transitions. The phase returns to none if the successor exits or does
// not accept the state in time.
var handoverTransitions = phase.Transitions[handoverPhase]{
	handoverNone:     {handoverOffered},
	handoverOffered:  {handoverAccepted, handoverNone},
	handoverAccepted: {handoverNone},
}

// successorLink is the connection to a successor. It is implemented by *handover.Link.
type successorLink interface {
	// SendState sends the encoded state.
	SendState(encoded []byte)
	// TransferOwnership makes the successor the owner of the state, so that it starts to serve.
	TransferOwnership()
	// SendClient sends a client's connection and its unprocessed input. The caller keeps its own descriptor
	// open until onSent is called. An error means that the socket was sent without its description.
	SendClient(client handover.ClientConnection, input []byte, socket syscall.RawConn, onSent func()) error
	// SendAttemptSent reports a further attempt of a request that this process still serves.
	SendAttemptSent(handover.AttemptSent) error
	// SendAttemptEnded reports the outcome of an attempt of a request that this process still serves.
	SendAttemptEnded(policy.Outcome) error
	// SendCostSettled reports the difference between the actual and the estimated cost of a request.
	SendCostSettled(handover.CostSettled) error
	// IsClosed reports whether Close was called. Nothing may be sent on a closed link.
	IsClosed() bool
	// Close closes the link after the queued messages are written, without waiting for that.
	Close()
	// CloseAndWait closes the link and waits for the queued messages to be written while the successor reads.
	CloseAndWait()
}

// handoverGateway has the operations of the gateway that a handover needs.
type handoverGateway interface {
	// canHandOver reports whether this process has started to accept clients, and has not stopped accepting
	// them for a shutdown.
	canHandOver() bool
	// exportState returns the encoded state.
	exportState() ([]byte, error)
	// pauseServing stops accepting clients and sending gossip.
	pauseServing()
	// releaseOwnership makes this process stop admitting requests and granting quota, closes the sockets that
	// the successor now uses, and releases the successor's share of the resources.
	releaseOwnership()
	// stopReading stops reading from clients. Each connection is handed over once its requests are answered
	// and the replies are written.
	stopReading()
	// retainOwnership reverts pauseServing if a handover ends before the ownership was transferred.
	retainOwnership()
	// resumeOwnership serves again after a successor that had the ownership has exited.
	resumeOwnership()
	// forwardQueuedCommands prepares the commands that clients have queued since the state was offered for
	// the successor.
	forwardQueuedCommands()
	// handleQueuedCommands handles the commands that clients have queued during a handover that has ended.
	handleQueuedCommands()
	// stopIfIdle stops the gateway if it is shutting down and nothing is open.
	stopIfIdle()
	// setStateTimeout schedules a call of handleStateTimeout after stateTimeout.
	setStateTimeout(successorLink)
}

// outgoingHandover is the handover from this process to a successor. It owns the link to the successor and
// the socket on which a successor requests the handover. The link is set unless the phase is none.
// outgoingHandover is used only by the event loop's goroutine.
type outgoingHandover struct {
	phase    phase.Machine[handoverPhase]
	listener *handover.Listener // accepts successors; nil if there is no socket for them
	link     successorLink      // nil if there is no successor
	gateway  handoverGateway
	log      *slog.Logger
}

func newOutgoingHandover(gateway handoverGateway, log *slog.Logger) *outgoingHandover {
	return &outgoingHandover{
		phase:   phase.New("handover", handoverNone, handoverTransitions, reportIllegalTransition(log)),
		gateway: gateway, log: log,
	}
}

// isActive reports whether a successor is taking over or has taken over.
func (h *outgoingHandover) isActive() bool { return !h.phase.Is(handoverNone) }

// hasReleasedOwnership reports whether a successor has the ownership.
func (h *outgoingHandover) hasReleasedOwnership() bool { return h.phase.Is(handoverAccepted) }

// offerState sends the state to a successor that has requested it. From then on no command is processed and
// no quota is granted until the successor has accepted the state or the handover has ended. The link is
// closed if this process cannot hand over now.
func (h *outgoingHandover) offerState(link successorLink) {
	if h.isActive() || !h.gateway.canHandOver() {
		link.Close()
		return
	}
	state, err := h.gateway.exportState()
	if err != nil {
		h.log.Error("handover: state not encoded", "error", err)
		link.Close()
		return
	}
	if !h.phase.TransitionTo(handoverOffered) {
		link.Close()
		return
	}
	h.link = link
	h.gateway.pauseServing()
	link.SendState(state)
	h.gateway.setStateTimeout(link)
}

// handleStateAccepted transfers the ownership to the successor, which has decoded the state. Queued commands
// and the connections of clients follow.
func (h *outgoingHandover) handleStateAccepted(link successorLink) {
	if h.link != link || link.IsClosed() || !h.phase.TransitionTo(handoverAccepted) {
		return
	}
	link.TransferOwnership()
	h.gateway.releaseOwnership()
	h.gateway.forwardQueuedCommands()
	h.gateway.stopReading()
	h.gateway.stopIfIdle()
}

// handleStateTimeout ends a handover whose state was not accepted in time.
func (h *outgoingHandover) handleStateTimeout(link successorLink) {
	if h.link == link && h.phase.Is(handoverOffered) {
		link.Close()
		h.end()
	}
}

// handleSuccessorExited ends the handover to a successor that has exited or abandoned it.
func (h *outgoingHandover) handleSuccessorExited(link successorLink) {
	link.Close()
	if h.link == link {
		h.end()
	}
}

// end ends a handover that was not completed, or whose successor has exited. This process serves again and
// processes the queued commands.
func (h *outgoingHandover) end() {
	released := h.hasReleasedOwnership()
	if !h.phase.TransitionTo(handoverNone) {
		return
	}
	h.link = nil
	if released {
		h.gateway.resumeOwnership()
	} else {
		h.gateway.retainOwnership()
	}
	h.gateway.handleQueuedCommands()
	h.gateway.stopIfIdle()
}

// canSend reports whether there is a successor to which messages can be sent.
func (h *outgoingHandover) canSend() bool { return h.isActive() && !h.link.IsClosed() }

// sendClient sends a client's connection like SendClient of the link. It may be called only after ownership
// was released.
func (h *outgoingHandover) sendClient(
	client handover.ClientConnection, input []byte, socket syscall.RawConn, onSent func(),
) {
	h.logSendError(h.link.SendClient(client, input, socket, onSent))
}

// reportAttemptSent reports to a successor a further attempt of a request that stayed in this process.
func (h *outgoingHandover) reportAttemptSent(requestID uint64, backend uint32) {
	if h.canSend() {
		h.logSendError(h.link.SendAttemptSent(handover.AttemptSent{RequestID: requestID, Backend: backend}))
	}
}

// reportAttemptEnded reports to a successor the outcome of an attempt of a request that stayed in this
// process.
func (h *outgoingHandover) reportAttemptEnded(ended policy.Outcome) {
	if h.canSend() {
		h.logSendError(h.link.SendAttemptEnded(ended))
	}
}

// reportCostSettled reports to a successor the difference between the actual and the estimated cost of a
// request that stayed in this process.
func (h *outgoingHandover) reportCostSettled(customer uint64, extra float64) {
	if h.canSend() {
		h.logSendError(h.link.SendCostSettled(handover.CostSettled{Customer: customer, Extra: extra}))
	}
}

// logSendError logs that a message could not be encoded. The successor continues without it.
func (h *outgoingHandover) logSendError(err error) {
	if err != nil {
		h.log.Warn("handover: report not sent", "error", err)
	}
}

// listen opens the socket on which a new process requests the handover, or returns nil if that is not
// possible. Without the socket this process serves as usual, and a new process binds the listen address too.
func (h *outgoingHandover) listen(address string) *handover.Listener {
	path := handover.SocketPath(address)
	if path == "" {
		return nil
	}
	listener, err := handover.Listen(path, h.log)
	if err != nil {
		h.log.Warn("handover: socket unavailable, a new process will bind the listen address itself",
			"error", err)
		return nil
	}
	h.listener = listener
	return listener
}

// stopListening closes the socket on which a successor requests the handover. The socket's file is kept after
// ownership was released, because the successor may have replaced it by its own.
func (h *outgoingHandover) stopListening() { h.listener.Close(!h.hasReleasedOwnership()) }

// close closes the link to a successor, if any. It waits until the successor has received what was sent, or
// has stopped to read.
func (h *outgoingHandover) close() {
	if h.isActive() {
		h.link.CloseAndWait()
	}
}
