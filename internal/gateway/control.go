package gateway

import (
	"context"

	"sparspread/internal/config"
)

// Control lets the surrounding program shut a gateway down and reload its configuration.
type Control struct {
	Stop       <-chan struct{}               // closed to request a planned shutdown
	Reload     <-chan struct{}               // receives a value to request a reload of the configuration
	ReadConfig func() (config.Config, error) // reads the current configuration
}

// run forwards requests to shut down and to reload to the event loop until ctx ends. If a configuration
// cannot be read, the current one stays in force.
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
			cfg, err := c.ReadConfig()
			if err != nil {
				g.rejectConfig(err)
				continue
			}
			e = configLoaded{cfg}
		}
		g.events.PostUrgent(ctx, e) // ahead of queued requests
	}
}
