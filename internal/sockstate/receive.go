// Package sockstate reports what the kernel knows about a TCP connection: which input is unread, and which
// output is not delivered. It reads from connections such that the caller knows whether input may be left
// unread.
package sockstate

import (
	"errors"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ReceiveState is the state of the receiving side of a connection.
type ReceiveState uint8

const (
	// Unknown means that the state cannot be read, for example of a connection that this process has closed.
	Unknown ReceiveState = iota
	// Empty means that no input is unread and the peer has not closed the connection.
	Empty
	// Unread means that input is unread and the receive window is open. The peer has not closed the
	// connection, since its close would have arrived behind the input.
	Unread
	// Full means that the receive window may be shut. The peer's system then holds back further input, and
	// a close behind it.
	Full
	// Closed means that the peer has closed or reset the connection. Input may be unread.
	Closed
)

// String returns the name of the state.
func (s ReceiveState) String() string {
	return [...]string{"unknown", "empty", "unread", "full", "closed"}[s]
}

// openWindowDivisor determines from which amount of unread input the receive window may be shut: the
// buffer's size divided by openWindowDivisor. The window is half of the buffer, and a peer may wait until
// half of the window is free.
const openWindowDivisor = 4

// Receive returns the state of the receiving side of a connection, without reading from it. A nil connection
// is Unknown.
func Receive(conn syscall.RawConn) ReceiveState {
	if conn == nil {
		return Unknown
	}
	state := Unknown
	if err := conn.Control(func(socket uintptr) { state = receiveState(int(socket)) }); err != nil {
		return Unknown
	}
	return state
}

func receiveState(socket int) ReceiveState {
	var b [1]byte
	n, err := peek(socket, b[:])
	switch {
	case errors.Is(err, unix.EAGAIN):
		return Empty
	case err != nil || n == 0:
		return Closed
	case hasPeerClosed(socket):
		return Closed
	case isWindowOpen(socket):
		return Unread
	}
	return Full
}

// peek copies unread input to b without removing it, and does not wait for it.
func peek(socket int, b []byte) (int, error) {
	for {
		n, _, err := unix.Recvfrom(socket, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// hasPeerClosed reports whether the peer has closed or reset the connection, also behind unread input.
func hasPeerClosed(socket int) bool {
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	polled := []unix.PollFd{{Fd: int32(socket), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&closed != 0
}

// socketMemory is the result of the socket option SO_MEMINFO, in bytes, in the order of the kernel's
// SK_MEMINFO constants.
type socketMemory struct {
	receiveAllocated, receiveBuffer uint32
	sendAllocated, sendBuffer       uint32
	forwardAllocated, sendQueued    uint32
	options, backlog, drops         uint32
}

// isWindowOpen reports whether so little of the receive buffer is in use that the window is certainly open.
func isWindowOpen(socket int) bool {
	var memory socketMemory
	size := uint32(unsafe.Sizeof(memory))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(socket), unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&memory)), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0 && memory.receiveAllocated+memory.backlog < memory.receiveBuffer/openWindowDivisor
}

// SinceLastInput returns the time since input last arrived at a connection or, if none has, since the
// connection was established. It returns false if the system does not report it.
func SinceLastInput(conn syscall.RawConn) (since time.Duration, ok bool) {
	if conn == nil {
		return 0, false
	}
	err := conn.Control(func(socket uintptr) { since, ok = sinceLastInput(socket) })
	return since, ok && err == nil
}

// sinceLastInput reads only the first part of the socket option TCP_INFO, since it is called often.
func sinceLastInput(socket uintptr) (since time.Duration, ok bool) {
	var info unix.TCPInfo
	needed := uint32(unsafe.Offsetof(info.Last_data_recv) + unsafe.Sizeof(info.Last_data_recv))
	size := needed
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, socket, unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	return time.Duration(info.Last_data_recv) * time.Millisecond, errno == 0 && size >= needed
}
