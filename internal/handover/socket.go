package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// socketPrefix is the prefix of the handover socket's file name. It is a former name of the program and must
// not change, because a successor and a predecessor of another version must use the same path.
const socketPrefix = "mothcleat-"

// socketNetwork preserves the boundaries of messages: a message arrives complete or not at all, together with
// the sockets that it carries.
const socketNetwork = "unixpacket"

// socketMode prevents other users from requesting the gateway's sockets.
const socketMode = 0o600

// SocketPath returns the path of the Unix socket at which the process that serves clients at listenAddress
// accepts a successor. It returns the empty string if the address has no port, or port 0: then the kernel
// chooses the port, and no other process could know it.
func SocketPath(listenAddress string) string {
	if _, port, err := net.SplitHostPort(listenAddress); err != nil || port == "0" {
		return ""
	}
	name := strings.NewReplacer("/", "_").Replace(listenAddress)
	return filepath.Join(os.TempDir(), socketPrefix+name+".sock")
}

// socketAddress returns the address of the handover socket at a path.
func socketAddress(path string) *net.UnixAddr {
	return &net.UnixAddr{Name: path, Net: socketNetwork}
}

// errWrongSocket reports that a received socket is not of the type expected at its position in the message.
var errWrongSocket = errors.New("handover: received socket has an unexpected type")

// tcpListener returns a received socket as a TCP listener.
func tcpListener(file *os.File) (*net.TCPListener, error) {
	return openSocket[*net.TCPListener](file, func(f *os.File) (any, error) { return net.FileListener(f) })
}

// udpConn returns a received socket as a UDP connection.
func udpConn(file *os.File) (*net.UDPConn, error) {
	return openSocket[*net.UDPConn](file, func(f *os.File) (any, error) { return net.FilePacketConn(f) })
}

// tcpConn returns a received socket as a TCP connection.
func tcpConn(file *os.File) (*net.TCPConn, error) {
	return openSocket[*net.TCPConn](file, func(f *os.File) (any, error) { return net.FileConn(f) })
}

// openSocket calls open, which duplicates the socket of a received file, and returns the duplicate as type T.
// It returns errWrongSocket if the socket is of another type. The file stays open.
func openSocket[T any](file *os.File, open func(*os.File) (any, error)) (T, error) {
	var zero T
	opened, err := open(file)
	if err != nil {
		return zero, fmt.Errorf("handover: open received socket: %w", err)
	}
	socket, ok := opened.(T)
	if !ok {
		return zero, errWrongSocket
	}
	return socket, nil
}

// closeFiles closes the files of received sockets that are not used or that were duplicated.
func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close() // the sender, or a duplicate of the descriptor, keeps the socket open
	}
}
