package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

// The plays in this file try entries of the open issues.

// playStoppedSuccessor stops a new process for 4.5 s while connections of clients are handed over to it (issue 8). The
// old process is not told to end meanwhile.
func playStoppedSuccessor(r *rig) (broken string) {
	const (
		clients  = 380 // more messages than the handover's socket holds
		requests = 40
	)
	w := newWorld(r, 120, 1500*time.Millisecond, 17)
	w.start()
	old := w.startGateway("old")
	answers := make(chan answer, clients)
	for i := range clients {
		c := w.dialClient()
		c.write(r, command("API.READ", "track", uint64(i), fmt.Sprintf("%016x", 0x1000+i), 0))
		go func() { answers <- c.readAnswer() }()
	}
	time.Sleep(300 * time.Millisecond)
	successor := w.startGateway("new")
	if r.trouble {
		r.signal(successor, syscall.SIGSTOP)
		time.Sleep(4500 * time.Millisecond)
		r.signal(successor, syscall.SIGCONT)
	}
	for range clients {
		if a := <-answers; a.err != nil {
			broken = "a request was never answered"
		}
	}
	time.Sleep(time.Second)
	before := servedBy(old) + servedBy(successor)
	oldBefore := servedBy(old)
	for i := range requests {
		c := w.dialClient()
		c.write(r, command("API.READ", "track", uint64(1000+i), fmt.Sprintf("%016x", 0x9000+i), 0))
	}
	time.Sleep(2500 * time.Millisecond)
	byOld, all := servedBy(old)-oldBefore, servedBy(old)+servedBy(successor)-before
	ready := [2]bool{opsCall(old.ops, "/ops/readiness") != "", opsCall(successor.ops, "/ops/readiness") != ""}
	r.record("ready: old %v, new %v; of %d later requests the old process served %d, the new one %d", ready[0], ready[1], requests, byOld, all-byOld)
	if ready[0] && ready[1] && byOld > 0 && all > byOld {
		broken += "both processes take new requests"
	}
	return broken
}

// servedBy returns how many requests of class track a gateway has served.
func servedBy(g *gateway) (n int) {
	for line := range strings.Lines(opsCall(g.ops, "/ops/stats")) {
		if _, err := fmt.Sscanf(line, "edge_relay.fulfilled.track=%d", &n); err == nil {
			return n
		}
	}
	return n
}

// playSlowValue lets a client read a value of 4 MiB steadily, but slower than 4 KiB in 5 s once the buffers of the
// system are full (issue 8).
func playSlowValue(r *rig) (broken string) {
	const size = 4 << 20
	w := newWorld(r, 4, 100*time.Millisecond, size)
	w.start()
	w.startGateway("only")
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	conn, err := dialer.Dial("tcp", w.listen)
	r.require(err, "client connection")
	c := &client{conn: conn}
	c.write(r, command("API.READ", "track", 1, "00000000000000a1", 0))
	buffer, read, started := make([]byte, 2<<10), 0, time.Now()
	slow := 60 * time.Second // the client reads 2 KiB every 3 s in this time, then all it gets
	for {
		if r.trouble && time.Since(started) < slow {
			time.Sleep(3 * time.Second)
		}
		_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
		n, err := conn.Read(buffer)
		read += n
		if err != nil {
			r.record("read %d bytes of a value of %d in %v, then: %v", read, size, time.Since(started), err)
			broken = "the value was cut off"
			return broken
		}
		if read > size {
			r.record("read the whole value in %v", time.Since(started))
			return ""
		}
	}
}
