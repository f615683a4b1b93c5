package handover

import "time"

// kind is the type of a message: the first byte of its packet. The two processes may run different versions,
// so the values are frozen.
type kind byte

// The kinds of messages. The successor sends kindHello, kindTakeover and kindAccepted; the predecessor sends
// the others.
const (
	kindHello        kind = 'h' // requests the sockets
	kindSockets      kind = 'l' // carries the listening socket and, if gossip is enabled, the UDP socket
	kindTakeover     kind = 't' // the successor is ready and requests the state
	kindStateChunk   kind = 's' // a chunk of the state, except the last
	kindStateEnd     kind = 'S' // the last chunk of the state
	kindAccepted     kind = 'a' // the successor has decoded the state
	kindOwnership    kind = 'g' // the predecessor has released ownership, and the successor acquires it
	kindInput        kind = 'b' // a chunk of unprocessed input of the client in the next kindClient
	kindClient       kind = 'c' // carries a client's socket
	kindAttemptSent  kind = 'n' // another attempt of a request that the predecessor still serves
	kindAttemptEnded kind = 'o' // the outcome of an attempt of a request that the predecessor still serves
	kindCostSettled  kind = 'u' // the actual minus the estimated cost of a request of the predecessor
)

// The limits of the protocol are frozen like the messages, because the other process reads with buffers of
// the same sizes.
const (
	maxBodyBytes       = 32 << 10 // maximum length of a message, without the byte of its kind
	successorBodyBytes = 63       // size of the buffer for the body of a successor's message, which is empty
	maxSockets         = 2        // maximum number of sockets that the predecessor sends: listener and gossip
	maxSocketsRead     = 4        // maximum number of sockets read with a message; the kernel drops others
	descriptorBytes    = 4        // size of a descriptor in a control message
)

const (
	writeTimeout    = 2 * time.Second  // maximum time to write one message if the socket buffer is full
	replyTimeout    = time.Second      // maximum time until the sockets are requested, and until the reply
	transferTimeout = 2 * replyTimeout // maximum time until the state is sent, decoded and accepted
	readyTimeout    = 10 * time.Second // maximum time from sending the sockets to the request for the state
)
