// Package httpclient makes the HTTP clients with which the gateway calls the platform's services.
package httpclient

import "net/http"

// maxHeaderBytes limits the header of a response.
const maxHeaderBytes = 16 << 10

// New returns a client on the transport, which it completes: responses come uncompressed, with a header
// of limited size. The client follows no redirect, because only the addresses of the configuration may be
// called and a call that is not idempotent must not be repeated.
func New(transport *http.Transport) *http.Client {
	transport.DisableCompression = true
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &http.Client{Transport: transport, CheckRedirect: doNotFollowRedirect}
}

// rejectRedirect has a redirect returned like any other response.
func doNotFollowRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
