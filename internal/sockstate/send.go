package sockstate

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// SendState is the state of the sending side of a connection.
type SendState struct {
	// Undelivered is the number of bytes that were written and not acknowledged by the peer's system. The
	// end of the sending side counts as one byte. If the connection were closed, input that arrives later
	// would reset it, and these bytes would be lost.
	Undelivered int
	// Acknowledged is the number of bytes that the peer's system has acknowledged since the connection was
	// opened.
	Acknowledged uint64
}

// Send returns the state of the sending side of a connection. It returns false if the system does not
// report it, for example of a connection that this process has closed, or if the connection is nil.
func Send(conn syscall.RawConn) (state SendState, ok bool) {
	if conn == nil {
		return SendState{}, false
	}
	err := conn.Control(func(socket uintptr) { state, ok = sendState(int(socket)) })
	return state, ok && err == nil
}

func sendState(socket int) (SendState, bool) {
	undelivered, err := unix.IoctlGetInt(socket, unix.SIOCOUTQ)
	if err != nil {
		return SendState{}, false
	}
	var info unix.TCPInfo
	needed := uint32(unsafe.Offsetof(info.Bytes_acked) + unsafe.Sizeof(info.Bytes_acked))
	size := needed
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(socket), unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	return SendState{undelivered, info.Bytes_acked}, errno == 0 && size >= needed
}
