package main

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// playSlowReader lets a client send many requests at once, whose values are of 60 KiB, and read the answers slowly.
func playSlowReader(r *rig) (broken string) {
	const (
		customers  = 8
		count      = 150
		valueSize  = 60 << 10
		pause      = 3 * time.Millisecond // between two requests
		bytesPerMS = 3 << 10              // the rate of the slow client: all answers take 3 s
		timeout    = 4 * time.Second
	)
	w := newWorld(r, 16, 100*time.Millisecond, valueSize)
	w.start()
	w.startGateway("only")
	c := w.dialClient()
	if r.trouble {
		c.in = bufio.NewReaderSize(&slowReader{conn: c.conn, bytesPerMS: bytesPerMS}, 4<<10)
	}
	sentAt := make([]time.Time, count)
	go func() {
		for i := range count {
			sentAt[i] = time.Now()
			if _, err := c.conn.Write(command("API.READ", "track", uint64(i%customers), fmt.Sprintf("%016x", 0xa0+i), 0)); err != nil {
				r.record("request %d cannot be written: %v", i, err)
				return
			}
			time.Sleep(pause)
		}
		r.record("client wrote %d requests", count)
	}()
	_ = c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	counts := map[string]int{}
	for i := range count {
		a := c.readAnswer()
		if a.err != nil {
			late := time.Since(sentAt[i])
			r.record("request %d, %v after it was written: %v", i, late, a)
			if late < timeout {
				broken = fmt.Sprintf("request %d and all after it were never answered: %v", i, a.err)
			}
			break
		}
		counts[a.outcome]++
	}
	r.record("answers: %v", counts)
	return broken
}

// slowReader reads from a connection at a constant rate.
type slowReader struct {
	conn       net.Conn
	bytesPerMS int
	started    time.Time
	read       int
}

func (s *slowReader) Read(b []byte) (int, error) {
	if s.started.IsZero() {
		s.started = time.Now()
	}
	time.Sleep(time.Until(s.started.Add(time.Duration(s.read/s.bytesPerMS) * time.Millisecond)))
	n, err := s.conn.Read(b)
	s.read += n
	return n, err
}
