// Package gateway implements the request path of a gateway: it reads commands from clients, lets package
// policy decide on them and forwards requests to backends.
//
// One goroutine runs the event loop. It owns all state and is the only one that calls the policy. Goroutines
// that block on sockets (a reader for each connection, the accept goroutine, dials) and the clients of other
// services post typed events to the loop. Each of them ends when the loop closes its socket or cancels its
// context.
//
// Startup, reload, handover and shutdown are state machines, each with a type of its own: listening,
// endpointListState, reload, takeover, outgoingHandover and shutdown. Each declares an interface with the
// operations that it needs of the gateway, such as shutdownGateway, which an adapter implements on Gateway,
// such as shutdownAdapter.
//
// A request passes through client_read, client_commands and the policy, each of its attempts through
// backend_pool and backend_write, and its reply through backend_read, backend_reply and client_reply. Large
// bodies and values bypass the loop: the reader of one connection writes to the other connection
// (request_body, value_stream).
package gateway
