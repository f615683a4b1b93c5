package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// socketPrefix begins the name of the handover socket. It is the program's former name: a new version must
// meet an old one at the same path, so it is frozen.
const socketPrefix = "mothcleat-"

// socketNetwork keeps the boundaries of messages: a message arrives complete or not at all, and the sockets
// that it carries arrive with it.
const socketNetwork = "unixpacket"

// socketMode keeps other users from asking for the gateway's sockets.
const socketMode = 0o600

// SocketPath is the path of the Unix socket at which the process that serves clients at listenAddress can be
// asked to hand over. It is empty where the port is chosen by the kernel: no other process could know it.
func SocketPath(listenAddress string) string {
	if _, port, err := net.SplitHostPort(listenAddress); err != nil || port == "0" {
		return ""
	}
	name := strings.NewReplacer("/", "_").Replace(listenAddress)
	return filepath.Join(os.TempDir(), socketPrefix+name+".sock")
}

// socketAddress is the address of the handover socket at a path.
func socketAddress(path string) *net.UnixAddr {
	return &net.UnixAddr{Name: path, Net: socketNetwork}
}

// errWrongSocket is the cause where a received socket is not of the type that its place says.
var errWrongSocket = errors.New("handover: received a socket of another type")

// tcpListener makes a listener of a received socket.
func tcpListener(file *os.File) (*net.TCPListener, error) {
	return openSocket[*net.TCPListener](file, func(f *os.File) (any, error) { return net.FileListener(f) })
}

// udpConn makes a UDP connection of a received socket.
func udpConn(file *os.File) (*net.UDPConn, error) {
	return openSocket[*net.UDPConn](file, func(f *os.File) (any, error) { return net.FilePacketConn(f) })
}

// tcpConn makes a TCP connection of a received socket.
func tcpConn(file *os.File) (*net.TCPConn, error) {
	return openSocket[*net.TCPConn](file, func(f *os.File) (any, error) { return net.FileConn(f) })
}

// openSocket makes a socket of type T of a received file, which stays open.
func openSocket[T any](file *os.File, open func(*os.File) (any, error)) (T, error) {
	var none T
	opened, err := open(file)
	if err != nil {
		return none, fmt.Errorf("handover: open a received socket: %w", err)
	}
	socket, ok := opened.(T)
	if !ok {
		return none, errWrongSocket
	}
	return socket, nil
}

// closeFiles closes received sockets that are not needed, or of which there is a duplicate.
func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close() // a duplicate of a descriptor that is open elsewhere
	}
}
