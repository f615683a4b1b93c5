// Package descriptors shares out the file descriptors that the process may open.
package descriptors

import (
	"sparspread/internal/counter"
	"sparspread/internal/ops"
)

// The largest numbers of descriptors that are used for neither clients nor backends.
const (
	// The standard streams (3), the runtime's poller and the event that wakes it (2), the control group's
	// files that the runtime reads its CPU limit from (2).
	runtimeDescriptors = 7
	// The listener for clients, the gossip socket, the handover's socket and one connection on it, the
	// configuration file while it is read.
	ownDescriptors = 5
	// One for each of two addresses: a dial to the former one may still be under way.
	discoveryDescriptors = 2
	// All connections to each of two addresses, for the same reason.
	counterDescriptors = 2 * counter.Connections
	// The listener, and the connection that another one is closed for. Those within the limit come on top.
	opsDescriptors = 2
)

const (
	// spareDescriptors are left over where there are many, against what the numbers above do not foresee.
	spareDescriptors = 24
	// minRejectSlots is the least number of connections beyond the clients' share that are accepted to be
	// rejected.
	minRejectSlots = 4
	// Of the descriptors that are not spare, clients get at most two fifths, and backends as many.
	sideShareNumerator   = 2
	sideShareDenominator = 5
	// sides are the two that share what all other parts leave: clients and backends.
	sideCount = 2
	// rejectFraction is how many connections that are served go with one that is accepted to be rejected.
	servedPerRejectSlot = 4
	// minOperators is the least number of operators' connections; one for each operatorShare descriptors are
	// allowed, up to ops.MaxConnections.
	minOperatorConnections = 2
	descriptorsPerOperator = 16
)

// Budget is how many descriptors each part may use.
type Budget struct {
	PerSide     int // for connections of clients that are served, and as many for connections to backends
	ClientSlots int // for all connections of clients, those that are accepted to be rejected among them
	Operators   int // for connections of operators
}

// NewBudget shares out a number of descriptors. Clients and backends get two fifths each, but together no
// more than all other parts leave: without a descriptor the gateway cannot even reject a connection, and
// the one that lacks it may be that to the discovery service.
func NewBudget(descriptors int, withCounter bool) Budget {
	operators := min(ops.MaxConnections, max(minOperatorConnections, descriptors/descriptorsPerOperator))
	others := runtimeDescriptors + ownDescriptors + discoveryDescriptors + opsDescriptors + operators
	if withCounter {
		others += counterDescriptors
	}
	perSide := min(
		(descriptors-spareDescriptors)*sideShareNumerator/sideShareDenominator,
		(descriptors-others-minRejectSlots)/sideCount,
	)
	return Budget{
		PerSide:     perSide,
		ClientSlots: perSide + max(minRejectSlots, perSide/servedPerRejectSlot),
		Operators:   operators,
	}
}
