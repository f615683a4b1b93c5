// Package httpclient creates the HTTP clients that the gateway uses to call the platform's services.
package httpclient

import "net/http"

// maxHeaderBytes is the maximum size of a response header.
const maxHeaderBytes = 16 << 10

// New returns a client that uses the transport. It changes the transport: compression is disabled and the
// size of response headers is limited. The client does not follow redirects, because it may call only
// configured addresses and must not repeat calls that are not idempotent.
func New(transport *http.Transport) *http.Client {
	transport.DisableCompression = true
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &http.Client{Transport: transport, CheckRedirect: doNotFollowRedirect}
}

// doNotFollowRedirect makes the client return a redirect like any other response.
func doNotFollowRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
