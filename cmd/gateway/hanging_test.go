package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sparspread/internal/porttest"
)

// hangingListener is a listener that drops all packets. A dial to its address neither succeeds nor fails
// until the listener is closed, because the kernel keeps retransmitting the SYN packet.
type hangingListener struct {
	address netip.AddrPort
	socket  int
}

// listenHanging returns a listener at an IPv4 address of the form "IP:PORT". The caller closes it. The test
// fails if it can't listen at the address.
func listenHanging(tb testing.TB, address string) *hangingListener {
	tb.Helper()
	addressAndPort, err := netip.ParseAddrPort(address)
	if err != nil {
		tb.Fatal(err)
	}
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	ip, port := addressAndPort.Addr().As4(), int(addressAndPort.Port())
	err = errors.Join(
		attachDropFilter(socket), // before the socket listens, so that no dial can succeed
		unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.Bind(socket, &unix.SockaddrInet4{Port: port, Addr: ip}),
		unix.Listen(socket, 0),
	)
	if err != nil {
		tb.Fatalf("%v; sockets at the address, as in /proc/net/tcp: %q", err, socketsAt(addressAndPort))
	}
	return &hangingListener{address: addressAndPort, socket: socket}
}

// socketsAt returns the lines of the kernel's table that contain an IPv4 address.
func socketsAt(address netip.AddrPort) (lines []string) {
	ip := address.Addr().As4()
	entry := fmt.Sprintf(" %02X%02X%02X%02X:%04X ", ip[3], ip[2], ip[1], ip[0], address.Port())
	table, _ := os.ReadFile("/proc/net/tcp") // without it, the message has no lines
	for line := range strings.Lines(string(table)) {
		if strings.Contains(line, entry) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// attachDropFilter makes a socket drop all packets: the filter truncates each of them to 0 bytes.
func attachDropFilter(socket int) error {
	dropAll := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	return unix.SetsockoptSockFprog(socket, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
}

// isDialed reports whether a dial to the listener hangs: the kernel's table then has a connection to its
// address in the state SYN_SENT, which is written as 02.
func (h *hangingListener) isDialed() bool {
	ip := h.address.Addr().As4()
	entry := fmt.Sprintf(" %02X%02X%02X%02X:%04X 02 ", ip[3], ip[2], ip[1], ip[0], h.address.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	return err == nil && bytes.Contains(table, []byte(entry))
}

// close closes the listener. Hanging dials are refused when the kernel retransmits their SYN packets.
func (h *hangingListener) close() {
	stopListening(h.socket)
	_ = unix.Close(h.socket)
}

// The tests of slow start and of discovery rely on this: no dial, not even the first, succeeds or fails
// before the listener is closed.
func TestDialToHangingListenerHangsUntilItIsClosed(t *testing.T) {
	listener := listenHanging(t, porttest.Reserve(t))
	dialed := make(chan error, 1)
	go func() {
		conn, err := dial("tcp", listener.address.String(), waitTimeout)
		if err == nil {
			_ = conn.Close()
		}
		dialed <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for !listener.isDialed() {
		select {
		case err := <-dialed:
			t.Fatalf("dial returned error %v while the listener was open", err)
		case <-ctx.Done():
			t.Fatal("timed out waiting for the dial to hang")
		case <-time.After(time.Millisecond):
		}
	}
	listener.close()
	select {
	case err := <-dialed:
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial after the listener was closed: error %v, want %v", err, syscall.ECONNREFUSED)
		}
	case <-ctx.Done():
		t.Error("timed out waiting for the dial to return")
	}
}
