package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// readyWithin is the term for a restarted gateway.
const readyWithin = 10 * time.Second

// A dozen gateways are started at once, each with a long list, while discovery refuses, is silent or can't
// even be dialed: all are ready within the term.
func TestAllThatStartAtOnceAreReady(t *testing.T) {
	b := newMember(t)
	var entries []string
	for i := range 3000 {
		entries = append(entries, b.entry(fmt.Sprintf("s-%08x", i+1), "Ready"))
	}
	const gateways = 12
	hosts := make([]string, gateways)
	for i := range hosts {
		hosts[i] = ownHost()
		switch i % 3 {
		case 1:
			newAgent(t, hosts[i]).silent()
		case 2:
			newHang(t, hosts[i], 8500)
		}
	}
	begun := time.Now()
	answered := make(chan error, gateways)
	for _, host := range hosts {
		p := launch(t, host, 256, limited(256, known(entries...)))
		go func() { answered <- p.firstPing(begun.Add(readyWithin)) }()
	}
	var last time.Duration
	for range gateways {
		if err := <-answered; err != nil {
			t.Error("not ready in time: ", err)
		}
		last = time.Since(begun)
	}
	t.Logf("the last of %d was ready after %v", gateways, last)
}

// firstPing waits for the first answer after a start.
func (p *process) firstPing(until time.Time) error {
	for {
		conn, err := net.DialTimeout("tcp", p.host+":6379", time.Until(until))
		if err != nil {
			if time.Now().After(until) {
				return err
			}
			time.Sleep(time.Millisecond) // it does not listen yet
			continue
		}
		defer conn.Close()
		_ = conn.SetDeadline(until)
		if _, err = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
			return err
		}
		if line, err := bufio.NewReader(conn).ReadString('\n'); line != "+PONG\r\n" {
			return fmt.Errorf("answer %q: %w", line, err)
		}
		return nil
	}
}
