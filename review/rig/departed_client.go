package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// vanish replaces the address of a backend by one at which a connection never comes up: a listener whose backlog is
// full and that accepts nothing, so that the kernel drops each further attempt to connect.
func (w *world) vanish(b *backend) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	w.rig.require(err, "socket")
	w.rig.require(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), "bind")
	w.rig.require(syscall.Listen(fd, 0), "listen")
	name, err := syscall.Getsockname(fd)
	w.rig.require(err, "address")
	b.address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		conn, err := net.DialTimeout("tcp", b.address, 300*time.Millisecond)
		if err != nil {
			return // the backlog is full
		}
		_ = conn // stays open until the end of the play
	}
	panic(notRun{"the backlog of the vanished backend does not fill"})
}

// departed is a request whose client leaves.
type departed struct {
	id       string
	closedAt time.Time
}

// playDepartedClient lets clients leave right after they have written a request with a large body, while one of four
// backends has vanished.
func playDepartedClient(r *rig) (broken string) {
	w := newWorld(r, 4, 100*time.Millisecond, 16)
	if r.trouble {
		w.vanish(w.backends[0])
		r.record("backend 0 has vanished: connections to it never come up")
	}
	w.start()
	w.startGateway("only")

	const (
		rounds = 3 // within 5 s of the loss of the backend
		size   = 160 << 10
		limit  = 150 * time.Millisecond // 0.1 s, and 50 ms for sockets
	)
	var requests []departed
	for round := range rounds {
		var clients []*client
		for i := range 4 {
			id := fmt.Sprintf("%016x", 0xd0+4*round+i)
			c := w.dialClient()
			clients = append(clients, c)
			c.write(r, command("API.WRITE", "book", uint64(0xb4d65521+i), id, size))
			requests = append(requests, departed{id: id})
		}
		time.Sleep(20 * time.Millisecond)
		for i, c := range clients {
			_ = c.conn.Close()
			requests[4*round+i].closedAt = time.Now()
		}
		r.record("4 clients wrote a booking with a body of 160 KiB each, and closed their connections 20 ms later")
		time.Sleep(time.Second)
	}
	for _, request := range requests {
		for _, run := range w.runsOf(request.id) {
			late := run.firstByteAt.Sub(request.closedAt)
			r.record("%s ran; its first byte reached a backend %d ms after its client had closed", request.id, late.Milliseconds())
			if late > limit {
				broken += fmt.Sprintf("an attempt of %s began %d ms after its client had closed; ", request.id, late.Milliseconds())
			}
		}
	}
	return broken
}
