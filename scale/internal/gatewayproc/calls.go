package gatewayproc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// metricPrefix is the prefix of each metric name at /ops/stats.
const metricPrefix = "edge_relay."

// errNoMetric reports that a gateway does not export a metric.
var errNoMetric = errors.New("unknown metric")

// ping sends PING on a new connection and returns an error unless the gateway answers PONG.
func (g *Gateway) ping(ctx context.Context) error {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", g.ClientAddress)
	if err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || line != "+PONG\r\n" {
		return fmt.Errorf("ping: answer %q, expected PONG: %w", line, errors.Join(err, errNotReady))
	}
	return nil
}

// Metric returns the value of a metric at /ops/stats. The name is given without metricPrefix.
func (g *Gateway) Metric(ctx context.Context, name string) (int64, error) {
	url := "http://" + g.opsAddress + "/ops/stats"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, g.wrapError(err)
	}
	response, err := g.http.Do(request)
	if err != nil {
		return 0, g.wrapError(err)
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), metricPrefix+name+"="); ok {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return 0, g.wrapError(err)
			}
			return n, nil
		}
	}
	return 0, g.wrapError(fmt.Errorf("%s: %w", name, errNoMetric))
}
