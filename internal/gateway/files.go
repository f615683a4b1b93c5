package gateway

import (
	"fmt"
	"log/slog"
	"math"
	"syscall"

	"sparspread/internal/config"
	"sparspread/internal/counter"
	"sparspread/internal/ops"
)

// The descriptors for neither clients nor backends, at most.
const (
	runtimeFiles   = 7                       // standard streams 3, the poller and what wakes it 2, the control group's limit 2
	ownFiles       = 5                       // the listener, the peers' socket, the door and who stands at it, the configuration
	discoveryFiles = 2                       // one for an address: a dial to the one before may still hang
	counterFiles   = 2 * counter.Connections // the same
	opsFiles       = 2                       // the listener, and the caller that another one is cut off for

	spareFiles  = 24 // that no share counts on, where there are many
	leastBeyond = 4  // clients over their share, that can be turned away
)

// files is how the descriptors that the process may open are shared out.
type descriptorBudget struct {
	perSide     int // for connections of clients, and as many to backends
	clientSlots int // for connections of clients, those that are to be turned away among them
	operators   int // for connections of operators
}

// shareOut gives two in five descriptors to clients and as many to backends, and never more than
// all the others leave: a connection that finds no descriptor is one that the gateway can't
// refuse, and discovery's may be the one.
func budgetDescriptors(sockets int, withCounter bool) descriptorBudget {
	f := descriptorBudget{operators: min(ops.MaxConnections, max(2, sockets/16))}
	others := runtimeFiles + ownFiles + discoveryFiles + opsFiles + f.operators
	if withCounter {
		others += counterFiles
	}
	f.perSide = min((sockets-spareFiles)*2/5, (sockets-others-leastBeyond)/2)
	f.clientSlots = f.perSide + max(leastBeyond, f.perSide/4)
	return f
}

// Files is how many descriptors the process may open; an error where none can serve with so few.
func DescriptorLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32, nil // not known: what the configuration states holds
	}
	if limit.Cur < config.MinSockets {
		return 0, fmt.Errorf("limit of open files: %d, at least %d wanted", limit.Cur, config.MinSockets)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// usableSockets is how many descriptors to count on: the configuration may state more than the process gets.
func usableSockets(c *config.Config, log *slog.Logger) int {
	if c.DescriptorLimit == 0 || c.DescriptorLimit >= c.Sockets {
		return c.Sockets
	}
	log.Warn("fewer descriptors than configured", "limits.sockets", c.Sockets, "limit_of_open_files", c.DescriptorLimit)
	return c.DescriptorLimit
}
