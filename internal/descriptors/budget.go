// Package descriptors divides the file descriptors that the process may open among its parts. The two largest
// parts are the sides of the gateway: the connections of clients and the connections to backends.
package descriptors

import (
	"sparspread/internal/counter"
	"sparspread/internal/ops"
)

// The maximum numbers of descriptors that are used for neither clients nor backends.
const (
	// The standard streams (3), the runtime's poller and the event that wakes it (2), and the cgroup files
	// from which the runtime reads the CPU limit (2).
	runtimeDescriptors = 7
	// The listener for clients, the gossip socket, the handover socket and one connection on it, and the
	// configuration file while it is read.
	ownDescriptors = 5
	// One connection to each of two addresses, because a dial to the previous address may still be in
	// progress.
	discoveryDescriptors = 2
	// All connections to each of two addresses, for the same reason.
	counterDescriptors = 2 * counter.Connections
	// The listener for operators, and one connection beyond Budget.Operators, which is accepted before the
	// oldest one is closed. NewBudget reserves Budget.Operators descriptors in addition.
	opsDescriptors = 2
)

const (
	// spareDescriptors is a reserve for unforeseen uses. It is kept only if descriptors are not scarce.
	spareDescriptors = 24
	// minRejectSlots is the minimum number of client connections beyond Budget.PerSide that are accepted
	// and then rejected.
	minRejectSlots = 4
	// Each side gets at most two fifths of the descriptors that are not spare.
	sideShareNumerator   = 2
	sideShareDenominator = 5
	// sideCount is the number of sides, which share the descriptors that no other part needs equally.
	sideCount = 2
	// One further connection is accepted, to be rejected, for each servedPerRejectSlot served connections.
	servedPerRejectSlot = 4
	// minOperatorConnections is the minimum number of operators' connections. One connection is allowed for
	// each descriptorsPerOperator descriptors, up to ops.MaxConnections.
	minOperatorConnections = 2
	descriptorsPerOperator = 16
)

// Budget contains the number of descriptors that each part may use.
type Budget struct {
	PerSide     int // for client connections that are served, and as many for connections to backends
	ClientSlots int // for all client connections, including those that are accepted only to be rejected
	Operators   int // for connections of operators
}

// NewBudget divides a number of descriptors. Clients and backends get two fifths each, but together at most
// the descriptors that all other parts leave. If the process ran out of descriptors, the gateway could not
// even reject a connection, and the connection that fails could be the one to the discovery service.
func NewBudget(descriptors int, withCounter bool) Budget {
	operators := min(ops.MaxConnections, max(minOperatorConnections, descriptors/descriptorsPerOperator))
	reserved := runtimeDescriptors + ownDescriptors + discoveryDescriptors + opsDescriptors + operators
	if withCounter {
		reserved += counterDescriptors
	}
	perSide := min(
		(descriptors-spareDescriptors)*sideShareNumerator/sideShareDenominator,
		(descriptors-reserved-minRejectSlots)/sideCount,
	)
	return Budget{
		PerSide:     perSide,
		ClientSlots: perSide + max(minRejectSlots, perSide/servedPerRejectSlot),
		Operators:   operators,
	}
}
