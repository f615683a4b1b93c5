package gateway

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// dialFault is the cause of a failed dial to a backend.
type dialFault int

// The causes. In each case, no part of a request was sent.
const (
	dialRefused     dialFault = iota // no process listens on the address: the backend may be restarting
	dialUnanswered                   // no reply within the dial timeout: the backend may still be running
	dialReset                        // a process listens on the address and has reset the connection
	dialOwnShortage                  // this machine lacks a descriptor, port, memory or route
	dialFaultCount
)

// String returns the name of the cause in the log.
func (f dialFault) String() string {
	return [...]string{"refused", "unanswered", "reset", "own_shortage"}[f]
}

// ownShortages lists the errors of socket and connect that say nothing about the peer.
var ownShortages = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// classifyDial returns the cause of the error of a dial.
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
