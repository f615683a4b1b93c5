package gateway

import (
	"log/slog"
	"syscall"

	"sparspread/internal/handover"
	"sparspread/internal/phase"
	"sparspread/internal/resp"
	"sparspread/policy"
)

// This file is the process that hands over. Each step can be the last one. Until it offers its state this
// process decides, and the successor from the moment it has accepted the state and was told to go on; in
// between nobody decides, and commands are queued. Only one of them grants at any time.

// stateTimeout is how long a successor may take to accept the state.
const stateTimeout = 1 * second

// handoverPhase is how far this process has handed over to a successor.
type handoverPhase uint8

const (
	handoverNone     handoverPhase = iota // this process decides
	handoverOffered                       // nobody decides: the state was sent and is not accepted yet
	handoverAccepted                      // the successor decides; open requests end here
)

// String is the phase as the log has it.
func (p handoverPhase) String() string {
	return [...]string{"none", "offered", "accepted"}[p]
}

// handoverSteps are the legal steps. A successor that ends, or takes too long, leads back to none.
var handoverSteps = phase.Steps[handoverPhase]{
	handoverNone:     {handoverOffered},
	handoverOffered:  {handoverAccepted, handoverNone},
	handoverAccepted: {handoverNone},
}

// successorLink is the connection to a successor: a *handover.Link.
type successorLink interface {
	SendState(encoded []byte)
	SendGo()
	SendClient(client handover.ClientConnection, input []byte, socket syscall.RawConn, onSent func()) error
	SendAttemptSent(handover.AttemptSent) error
	SendAttemptEnded(policy.Outcome) error
	SendCostSettled(handover.CostSettled) error
	IsClosed() bool
	Close()
	CloseAndWait()
}

// handoverGateway is what a handover needs of the gateway.
type handoverGateway interface {
	// canHandOver reports whether this process has begun to accept clients, and is not shutting down yet.
	canHandOver() bool
	// exportState returns the encoded state.
	exportState() ([]byte, error)
	// pauseServing has no client accepted and no gossip sent.
	pauseServing()
	// releaseOwnership closes what the successor has now.
	releaseOwnership()
	// stopReading has each client's connection follow once nothing is open on it.
	stopReading()
	// retainOwnership ends pauseServing: this process has decided all the time.
	retainOwnership()
	// resumeOwnership serves again after a successor has decided.
	resumeOwnership()
	// handleQueuedCommand handles a command that was read while nobody decided.
	handleQueuedCommand(receivedCommand)
	// stopIfIdle ends the gateway where it shuts down and nothing is open.
	stopIfIdle()
	// setStateTimeout has expire called when the successor has had its time to accept the state.
	setStateTimeout(successorLink)
}

// outgoingHandover is the handover from this process to a successor. It owns the link to the successor, the
// socket at which one asks, and the commands that were read while nobody decided: there are such only in the
// phase offered. A link is there unless the phase is none. It belongs to the loop.
type outgoingHandover struct {
	phase          phase.Machine[handoverPhase]
	listener       *handover.Listener // where a successor asks; nil: nowhere
	link           successorLink      // nil: none
	queuedCommands []receivedCommand  // for the successor, read since the state was exported
	gateway        handoverGateway
	log            *slog.Logger
}

func newOutgoingHandover(gateway handoverGateway, log *slog.Logger) *outgoingHandover {
	return &outgoingHandover{
		phase:   phase.New("handover", handoverNone, handoverSteps, reportIllegalStep(log)),
		gateway: gateway, log: log,
	}
}

// isActive reports whether a successor is taking over or has done so.
func (h *outgoingHandover) isActive() bool { return !h.phase.Is(handoverNone) }

// hasReleasedOwnership reports whether a successor decides now.
func (h *outgoingHandover) hasReleasedOwnership() bool { return h.phase.Is(handoverAccepted) }

// offer sends the state to a successor that asks for it. From here on no command is processed and nothing is
// granted until the successor has accepted the state.
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
	if !h.phase.Step(handoverOffered) {
		link.Close()
		return
	}
	h.link = link
	h.gateway.pauseServing()
	link.SendState(state)
	h.gateway.setStateTimeout(link)
}

// accept gives up ownership: the successor on the link has decoded the state and decides.
func (h *outgoingHandover) handleStateAccepted(link successorLink) {
	if h.link != link || link.IsClosed() || !h.phase.Step(handoverAccepted) {
		return
	}
	link.SendGo()
	h.gateway.releaseOwnership()
	for _, command := range h.queuedCommands {
		h.queueCommand(command)
	}
	h.queuedCommands = nil
	h.gateway.stopReading()
	h.gateway.stopIfIdle()
}

// expire ends a handover whose state was not accepted in time.
func (h *outgoingHandover) handleStateTimeout(link successorLink) {
	if h.link == link && h.phase.Is(handoverOffered) {
		link.Close()
		h.end()
	}
}

// successorExited ends the handover to a successor that has ended or given up.
func (h *outgoingHandover) handleSuccessorExited(link successorLink) {
	link.Close()
	if h.link == link {
		h.end()
	}
}

// end ends a handover: this process serves again.
func (h *outgoingHandover) end() {
	given, commands := h.hasReleasedOwnership(), h.queuedCommands
	if !h.phase.Step(handoverNone) {
		return
	}
	h.link, h.queuedCommands = nil, nil
	if given {
		h.gateway.resumeOwnership()
	} else {
		h.gateway.retainOwnership()
	}
	for _, command := range commands {
		h.gateway.handleQueuedCommand(command)
	}
	h.gateway.stopIfIdle()
}

// queue sets a command aside that the successor is to decide on. Once that one has the state, the command is
// added to the unread input that follows with its connection, and leaves the connection's pipeline here.
func (h *outgoingHandover) queueCommand(e receivedCommand) {
	if !h.hasReleasedOwnership() {
		h.queuedCommands = append(h.queuedCommands, e)
		return
	}
	head := e.common()
	head.client.handoverInput = appendCommand(head.client.handoverInput, head.args)
	<-head.client.pipelineSlots
}

func appendCommand(b []byte, args [][]byte) []byte {
	b = resp.AppendArray(b, len(args))
	for _, arg := range args {
		b = resp.AppendBulk(b, arg)
	}
	return b
}

// canSend reports whether there is a successor that can be told something.
func (h *outgoingHandover) canSend() bool { return h.isActive() && !h.link.IsClosed() }

// sendClient sends a client's connection, as SendClient of the link does. It may be called once ownership is
// given.
func (h *outgoingHandover) sendClient(
	client handover.ClientConnection, input []byte, socket syscall.RawConn, onSent func(),
) {
	h.logSendError(h.link.SendClient(client, input, socket, onSent))
}

// reportAttemptSent tells a successor of a further attempt of a request that stayed here.
func (h *outgoingHandover) reportAttemptSent(requestID uint64, backend uint32) {
	if h.canSend() {
		h.logSendError(h.link.SendAttemptSent(handover.AttemptSent{RequestID: requestID, Backend: backend}))
	}
}

// reportAttemptEnded tells a successor of the outcome of an attempt of such a request.
func (h *outgoingHandover) reportAttemptEnded(ended policy.Outcome) {
	if h.canSend() {
		h.logSendError(h.link.SendAttemptEnded(ended))
	}
}

// reportCostSettled tells a successor what such a request cost beyond its estimate.
func (h *outgoingHandover) reportCostSettled(customer uint64, extra float64) {
	if h.canSend() {
		h.logSendError(h.link.SendCostSettled(handover.CostSettled{Customer: customer, Extra: extra}))
	}
}

// warn logs a message that could not be encoded: the successor goes on without it.
func (h *outgoingHandover) logSendError(err error) {
	if err != nil {
		h.log.Warn("handover: report not sent", "error", err)
	}
}

// listen lets a new process ask for the handover. Without it this process serves all the same, and the next
// one binds beside it. It returns nil where no process can ask.
func (h *outgoingHandover) listen(address string) *handover.Listener {
	path := handover.SocketPath(address)
	if path == "" {
		return nil
	}
	listener, err := handover.Listen(path, h.log)
	if err != nil {
		h.log.Warn("handover: no socket, a second process will bind on its own", "error", err)
		return nil
	}
	h.listener = listener
	return listener
}

// stopListening closes the socket at which a successor asks. Its file stays where a successor has put its own
// there.
func (h *outgoingHandover) stopListening() { h.listener.Close(!h.hasReleasedOwnership()) }

// close ends the link once all that was sent has arrived, for which it waits for a limited time.
func (h *outgoingHandover) close() {
	if h.isActive() {
		h.link.CloseAndWait()
	}
}
