package gateway

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// dialFault is what the error of a dial to a backend says.
type dialFault int

// The faults. Of a dial that failed nothing was sent.
const (
	dialRefused     dialFault = iota // no process listens there: the backend may have restarted
	dialUnanswered                   // nothing came back in time: the backend may be running all the same
	dialReset                        // something listens there and gave the connection up
	dialOwnShortage                  // this machine has no descriptor, port, memory or route left
	dialFaultCount
)

// String is the fault as the log has it.
func (f dialFault) String() string {
	return [...]string{"refused", "unanswered", "reset", "own_shortage"}[f]
}

// ownShortages are the errors of socket and connect that say nothing of the peer.
var ownShortages = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// classifyDial says what the error of a dial means.
func classifyDial(err error) dialFault {
	var netErr net.Error
	isErr := func(target error) bool { return errors.Is(err, target) }
	switch {
	case slices.ContainsFunc(ownShortages, isErr):
		return dialOwnShortage
	case isErr(syscall.ECONNRESET):
		return dialReset
	case isErr(syscall.EHOSTUNREACH), errors.As(err, &netErr) && netErr.Timeout():
		return dialUnanswered
	default:
		return dialRefused
	}
}
