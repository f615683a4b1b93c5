// Package gateway is the request path of a gateway: it takes clients' commands, has package policy decide on
// them and forwards them to backends.
//
// One goroutine, that of the event loop, owns all state and is the only one to call the policy. Goroutines
// that block on sockets (a reader for each connection, accepting, dials) and the clients of other services
// post typed events to it. Each of these goroutines ends with its socket or context, which the loop closes.
//
// What begins and ends the service has a type with phases each (listening, endpointList, reload, takeover,
// outgoingHandover, shutdown). Each declares the interface through which it changes the gateway, and an
// adapter implements that on Gateway, such as shutdownAdapter for shutdownGateway.
//
// A request passes client_read, client_commands and the policy; an attempt of it goes through backend_pool
// and backend_write; its reply through backend_read, backend_reply and client_reply. Large bodies and
// values do not pass the loop: the reader of one connection writes to the other (request_body,
// value_stream).
package gateway
