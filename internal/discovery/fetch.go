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
	// errRefused means that the service answered with a status that says it cannot serve the call now.
	errRefused = errors.New("discovery call: refused")
	// errUnknownRevision means that the service cannot list the changes since the client's revision.
	errUnknownRevision = errors.New("discovery call: unknown revision")
	// errUpdateTooLarge means that the text of an update exceeds Client.maxBytes.
	errUpdateTooLarge = errors.New("longer than limits.memory_mb allows")
)

// At most maxTrailingBytes of a response are read after the update, so that the connection can be reused.
const maxTrailingBytes = 64

// request holds the parameters of one call.
type request struct {
	url      string
	revision *uint64       // requests the changes since this revision; if nil, the whole list
	wait     time.Duration // how long the service may wait for changes
}

// fetch makes one call. If it returns an update, the caller must call finish to end the call, but only after
// it has reported the update, so that a response that does not end does not delay the report.
func (c *Client) fetch(ctx context.Context, request request) (update Update, finish func(), err error) {
	url, maxWait := request.url, request.wait
	if request.revision != nil {
		url += fmt.Sprintf("?index=%d&wait=%d", *request.revision, request.wait.Milliseconds())
	}
	if c.config.Poll {
		maxWait = watchWait // a busy service may queue the call for that long, even if it has no wait
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
	// An update that is truncated or exceeds the size limit must be an error, not count as a shorter update.
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
		// Anything that follows the update is discarded. It is read so that the connection can be reused.
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
	_ = response.Body.Close() // only the status is of interest
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return nil, fmt.Errorf("%w: status %s", errRefused, response.Status)
	}
	return nil, fmt.Errorf("%w: status %s", errUnknownRevision, response.Status)
}

// updateBody is the body of a response that may arrive slowly. Each part that arrives extends the timeout of
// the call, up to a deadline.
type updateBody struct {
	reader    io.Reader
	remaining int64       // bytes that may still be read
	timeout   *time.Timer // cancels the call
	deadline  time.Time   // for the end of the update
}

// extendTimeout allows maxResponseTimeout for the next part, but no time beyond the deadline.
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
