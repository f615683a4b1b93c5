package handover

import "time"

// kind is the type of a message: the first byte of its packet. The two processes may run different versions,
// so the values are frozen.
type kind byte

// The successor sends hello, takeover and accepted; the predecessor sends the others.
const (
	kindHello        kind = 'h' // asks for the sockets
	kindSockets      kind = 'l' // carries the listening socket and, with gossip, the UDP socket
	kindTakeover     kind = 't' // the successor is ready: asks for the state
	kindStateChunk   kind = 's' // a chunk of the state that others follow
	kindStateEnd     kind = 'S' // the last chunk of the state
	kindAccepted     kind = 'a' // the successor has decoded the state
	kindGo           kind = 'g' // the predecessor has given up ownership: the successor decides from here on
	kindInput        kind = 'b' // a chunk of the input read from the client whose socket follows
	kindClient       kind = 'c' // carries a client's socket
	kindAttemptSent  kind = 'n' // a further attempt of a request that stayed with the predecessor
	kindAttemptEnded kind = 'o' // the outcome of an attempt of such a request
	kindCostSettled  kind = 'u' // the cost of such a request beyond its estimate
)

// Limits of the protocol, frozen like the messages: the other process reads with the same buffer.
const (
	maxBodyBytes      = 32 << 10 // of one message, without its kind
	requestBodyBytes  = 63       // of what a successor sends, none of which has a body
	maxSockets        = 2        // that the predecessor sends at once: listener and gossip
	maxSocketsRead    = 4        // that one message may carry before descriptors are dropped
	socketDescBytes   = 4        // of one descriptor in a control message
	maxQueuedMessages = 4096     // that wait to be written before the sender blocks
)

const (
	writeTimeout    = 2 * time.Second  // for the other process to read one message
	replyTimeout    = time.Second      // for its answer to a question
	transferTimeout = 2 * replyTimeout // for the state to arrive, be decoded and be accepted
	readyTimeout    = 10 * time.Second // between the sockets and the successor's request for the state
)
