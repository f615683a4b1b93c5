package porttest

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// dial connects to an address, closes the connection and returns the error of the dial.
func dial(t *testing.T, address string) error {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err
}

func TestReservedAddressRefusesConnectionsWithoutListener(t *testing.T) {
	address := Reserve(t)
	for range 3 {
		if err := dial(t, address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("without a listener: error %v, want %v", err, syscall.ECONNREFUSED)
		}
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal("cannot listen at the reserved address: ", err)
		}
		if err := dial(t, address); err != nil {
			t.Error("with a listener: ", err)
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}
}

// The kernel assigns a reserved port neither to listeners nor to outgoing connections. As it would otherwise
// choose that port only by chance, the test limits its choice to the reserved port.
func TestReservedPortIsNotAssignedToOtherSockets(t *testing.T) {
	reserved := netip.MustParseAddrPort(Reserve(t)).Port()
	onlyReservedPort := func(_, _ string, conn syscall.RawConn) error {
		return limitToPort(conn, reserved)
	}
	listening := net.ListenConfig{Control: onlyReservedPort}
	if listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0"); err == nil {
		t.Errorf("a listener got the reserved port: %v", listener.Addr())
		_ = listener.Close()
	} else if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listening: error %v, want %v", err, syscall.EADDRINUSE)
	}

	server, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	dialing := net.Dialer{Control: onlyReservedPort}
	if conn, err := dialing.DialContext(t.Context(), "tcp", server.Addr().String()); err == nil {
		t.Errorf("a connection got the reserved port: %v", conn.LocalAddr())
		_ = conn.Close()
	} else if !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Errorf("connecting: error %v, want %v", err, syscall.EADDRNOTAVAIL)
	}
}

// limitToPort makes the kernel choose the given port, or fail, when the socket requests any free port. It
// needs Linux 6.3.
func limitToPort(conn syscall.RawConn, port uint16) error {
	portRange := int(port)<<16 | int(port) // the upper and the lower end of the port range
	var optionErr error
	err := conn.Control(func(socket uintptr) {
		optionErr = unix.SetsockoptInt(int(socket), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, portRange)
	})
	return errors.Join(err, optionErr)
}
