package gateway

import (
	"context"

	"sparspread/internal/config"
)

// Control is how the surrounding program controls a gateway.
type Control struct {
	Stop   <-chan struct{}               // closed for a planned shutdown
	Reload <-chan struct{}               // receives a value for each reload of the configuration
	Read   func() (config.Config, error) // reads the configuration as it is now
}

// run passes commands on to the loop until ctx ends. A configuration that can't be read leaves the one in
// force.
func (c Control) run(ctx context.Context, g *Gateway) {
	stop := c.Stop
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-stop:
			stop, e = nil, shutdownRequested{}
		case <-c.Reload:
			cfg, err := c.Read()
			if err != nil {
				g.rejectConfig(err)
				continue
			}
			e = configLoaded{cfg}
		}
		g.events.PostUrgent(ctx, e) // ahead of queued requests
	}
}
