// Package porttest reserves TCP ports for tests. Only tests import it.
package porttest

import (
	"errors"
	"net/netip"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// Reserve returns an address "127.0.0.1:PORT" that belongs to the test until the test ends: no other socket
// that asks the system for any free port gets this one. Connections to the address are refused while the test
// itself does not listen there; it may do so repeatedly, as net.Listen does.
//
// A test that closes a listener and goes on using its address has no such guarantee: the port may be given to
// another socket at once.
func Reserve(tb testing.TB) (address string) {
	tb.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(os.NewSyscallError("socket", err))
	}
	tb.Cleanup(func() { _ = unix.Close(socket) })
	// A socket that is bound and does not listen keeps its port. SO_REUSEADDR, which net.Listen sets too,
	// lets the test listen at the port beside it.
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	err = errors.Join(
		os.NewSyscallError("setsockopt", unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)),
		os.NewSyscallError("bind", unix.Bind(socket, &unix.SockaddrInet4{Addr: loopback.As4()})),
	)
	if err != nil {
		tb.Fatal(err)
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		tb.Fatal(os.NewSyscallError("getsockname", err))
	}
	inet, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		tb.Fatalf("bound to a %T, want an IPv4 address", bound)
	}
	return netip.AddrPortFrom(loopback, uint16(inet.Port)).String()
}
