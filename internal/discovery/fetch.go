package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

var (
	// errRefused means that the service answered that it cannot serve the call now.
	errRefused = errors.New("discovery call: refused")
	// errUnknownRevision means that the service cannot tell the changes since the revision that the
	// client has.
	errUnknownRevision = errors.New("discovery call: unknown revision")
	// errUpdateTooLarge means that an update has more text than the memory allows.
	errUpdateTooLarge = errors.New("longer than limits.memory_mb allows")
)

// maxTrailingBytes is how much of a response is read after its update, to have its connection reused.
const maxTrailingBytes = 64

// request is one call of the service.
type request struct {
	url      string
	revision *uint64       // to tell the changes since; nil: to tell the whole list
	wait     time.Duration // for changes
}

// fetch makes one call. With an update comes a function that ends the call; it is called after the update
// was passed on, so that a response that does not end delays nothing.
func (c *Client) fetch(ctx context.Context, request request) (update Update, finish func(), err error) {
	url, maxWait := request.url, request.wait
	if request.revision != nil {
		url += fmt.Sprintf("?index=%d&wait=%d", *request.revision, request.wait.Milliseconds())
	}
	if c.config.Poll {
		maxWait = watchWait // a busy service may queue the call as long
	}
	ctx, cancel := context.WithCancel(ctx)
	timeout := time.AfterFunc(maxWait+c.responseTimeout, cancel)
	stop := func() {
		timeout.Stop()
		cancel()
	}
	defer func() {
		if err != nil {
			stop()
		}
	}()
	response, err := c.get(ctx, url)
	if err != nil {
		return update, nil, err
	}
	defer func() {
		if err != nil {
			_ = response.Body.Close() // the call has failed already
		}
	}()
	// A truncated or endless update must not pass for a short one.
	body := &updateBody{
		reader: response.Body, remaining: c.maxBytes,
		timeout: timeout, deadline: time.Now().Add(deliveryLimit),
	}
	body.extendTimeout()
	if err := update.Decode(json.NewDecoder(body)); err != nil {
		return update, nil, fmt.Errorf("discovery list: %w", err)
	}
	if since := request.revision; since != nil && !update.Complete && update.Revision < *since {
		err := fmt.Errorf("%w: got changes up to %d, have %d", errUnknownRevision, update.Revision, *since)
		return update, nil, err
	}
	return update, func() {
		timeout.Reset(minEmptyWatchDuration)
		// What may follow the update counts for nothing; it is read to have the connection reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxTrailingBytes))
		_ = response.Body.Close()
		stop()
	}, nil
}

// get sends a request and returns a response with status 200, whose body the caller closes.
func (c *Client) get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery call: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("discovery call: %w", err)
	}
	status := response.StatusCode
	if status == http.StatusOK {
		return response, nil
	}
	_ = response.Body.Close() // the status says all
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return nil, fmt.Errorf("%w: status %s", errRefused, response.Status)
	}
	return nil, fmt.Errorf("%w: status %s", errUnknownRevision, response.Status)
}

// updateBody is the body of a response that may arrive slowly: the call may go on while data keeps
// coming, up to a deadline.
type updateBody struct {
	reader    io.Reader
	remaining int64       // bytes that may still be read
	timeout   *time.Timer // cancels the call
	deadline  time.Time   // of the whole update
}

// extendTimeout gives the call time for the next part.
func (b *updateBody) extendTimeout() {
	b.timeout.Reset(min(maxResponseTimeout, time.Until(b.deadline)))
}

// Read implements io.Reader.
func (b *updateBody) Read(buffer []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errUpdateTooLarge
	}
	n, err := b.reader.Read(buffer[:min(int64(len(buffer)), b.remaining)])
	b.remaining -= int64(n)
	if n > 0 {
		b.extendTimeout()
	}
	return n, err
}
