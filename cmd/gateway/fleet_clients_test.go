package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sparspread/internal/resp"
)

// fleetGatewayDigits is the number of leading digits of a request ID that name the gateway to which the
// request was sent.
const fleetGatewayDigits = 4

// fleetAnswers counts the requests of the clients by outcome.
type fleetAnswers struct{ served, rejected, failed, lost atomic.Int64 }

// startLoad starts clients that send requests, evenly distributed over the gateways, until stopLoad is called
// or the test ends. Their rate is given as a multiple of the total capacity of all backends.
func (f *fleet) startLoad(capacities float64) {
	rate := capacities * fleetCapacity * float64(len(f.backends)) / float64(len(f.hosts))
	for i := range f.hosts {
		f.clients.Go(func() { f.runClients(i, rate) })
	}
	f.tb.Cleanup(f.stopLoad)
}

// stopLoad stops the clients and waits until they have ended. It may be called more than once.
func (f *fleet) stopLoad() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.clients.Wait()
}

// runClients sends requests to a gateway at random times with the given rate per second, independent of
// whether earlier requests have ended.
func (f *fleet) runClients(gateway int, rate float64) {
	pool := make(chan net.Conn, 1024)
	var running sync.WaitGroup
	for sequence := 0; ; sequence++ {
		pause := time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-f.stop:
			running.Wait()
			for len(pool) > 0 {
				_ = (<-pool).Close()
			}
			return
		case <-time.After(pause):
		}
		running.Go(func() { f.request(gateway, sequence, pool) })
	}
}

// clientTimeout is the deadline of the requests of a fleet's clients.
const clientTimeout = 2 * time.Second

// request sends one request on a pooled connection, or on a new one, and counts its outcome. If the pooled
// connection turns out to be closed, the request is sent again on a new one.
func (f *fleet) request(gateway, sequence int, pool chan net.Conn) {
	var conn net.Conn
	var line string
	err := net.ErrClosed
	select {
	case conn = <-pool:
		line, err = roundTrip(conn, f.command(gateway, sequence))
	default:
	}
	if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		if conn, err = dial("tcp", f.hosts[gateway]+clientPort, clientTimeout); err == nil {
			line, err = roundTrip(conn, f.command(gateway, sequence))
		}
	}
	if err != nil {
		f.answers.lost.Add(1)
		return
	}
	pool <- conn
	switch line[0] {
	case '$':
		f.answers.served.Add(1)
	case '-':
		f.answers.countError(line)
	}
}

// countError counts a request that was answered with an error.
func (a *fleetAnswers) countError(line string) {
	if strings.HasPrefix(line, "-BUSY") {
		a.rejected.Add(1)
	} else {
		a.failed.Add(1)
	}
}

// command returns the command of a request. Its request ID names the gateway.
func (f *fleet) command(gateway, sequence int) []byte {
	name := "API.READ"
	if f.settings.notIdempotent {
		name = "API.WRITE"
	}
	id := fmt.Sprintf("%0*x%012x", fleetGatewayDigits, gateway, sequence)
	timeout := clientTimeout.Milliseconds()
	fields := fmt.Sprintf("c=lookup,t=team,d=%d,units=1,spread=1,first=%d", timeout, gateway)
	command := resp.AppendArray(nil, minBackendArgs)
	for _, arg := range []string{name, fmt.Sprintf("%016x", gateway), id, fields} {
		command = resp.AppendBulk(command, []byte(arg))
	}
	return command
}

// roundTrip sends a command, reads the whole reply and returns its first line. It closes the connection if
// that fails.
func roundTrip(conn net.Conn, command []byte) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(clientTimeout + time.Second))
	if _, err := conn.Write(command); err != nil {
		return "", err
	}
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err == nil && line[0] == '$' {
		_, err = in.ReadString('\n')
	}
	if err != nil {
		_ = conn.Close()
	}
	return line, err
}
