package gateway

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

// soReusePort is SO_REUSEPORT on Linux; package syscall lacks it on amd64.
const soReusePort = 0xf

// reusePort binds addresses so that a second process of this gateway can bind them too: the last resort where
// the first process can't hand its sockets over.
var reusePort = net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	controlErr := conn.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, soReusePort, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}}

// listen binds the address for clients.
func (l *Loop) listen() error {
	listener, err := reusePort.Listen(context.Background(), "tcp", l.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	l.clients.listener = listener.(*net.TCPListener)
	return nil
}

// rebindDelay is the pause after a bind that failed: another process may still hold the address.
const rebindDelay = 100 * millisecond

// rebind binds the sockets that a successor had taken, and retries until that succeeds.
func (l *Loop) rebind() {
	err := l.listen()
	if err == nil && l.config.Settings.Gossip {
		if err = l.gossip.Listen(); err != nil {
			_ = l.clients.listener.Close()
		}
	}
	if err != nil {
		l.log.Error("handover: bind again", "error", err)
		l.events.After(rebindDelay, rebindTimer{})
		return
	}
	l.gossip.Resume()
	l.accept()
}

type rebindTimer struct{}

func (rebindTimer) Handle(l *Loop) {
	if !l.shutdown.hasStarted() {
		l.rebind()
	}
}
