// Package porttest reserves TCP ports for tests. Only tests import it.
package porttest

import (
	"errors"
	"net/netip"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// Reserve returns an address "127.0.0.1:PORT" that is reserved until the test ends: the kernel does not
// assign its port to other sockets that request any free port. The test may listen at the address repeatedly,
// with net.Listen. While it does not, connections to the address are refused.
//
// The address of a listener that the test has closed is not reserved: its port may be assigned to another
// socket immediately.
func Reserve(tb testing.TB) (address string) {
	tb.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(os.NewSyscallError("socket", err))
	}
	tb.Cleanup(func() { _ = unix.Close(socket) })
	// A socket that is bound but does not listen keeps its port. SO_REUSEADDR, which net.Listen also sets,
	// allows the test to listen at the same port.
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
		tb.Fatalf("socket is bound to an address of type %T, want IPv4", bound)
	}
	return netip.AddrPortFrom(loopback, uint16(inet.Port)).String()
}
