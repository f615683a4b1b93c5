package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
)

// client is a connection of a client to the gateway.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (w *world) dialClient() *client {
	conn, err := net.Dial("tcp", w.listen)
	w.rig.require(err, "client connection")
	return &client{conn: conn, in: bufio.NewReaderSize(conn, 4<<10)}
}

// write writes bytes of commands.
func (c *client) write(r *rig, b []byte) {
	_, err := c.conn.Write(b)
	r.require(err, "write of the client")
}

// command encodes a request in the form of the protocol page. A body of size 0 is left out.
func command(name, class string, customer uint64, id string, bodySize int) []byte {
	fields := fmt.Sprintf("c=%s,t=%s,d=4000,units=1,spread=1,first=0", class, planOf(customer))
	args := []string{name, fmt.Sprintf("%016x", customer), id, fields}
	if bodySize > 0 {
		args = append(args, strings.Repeat("b", bodySize))
	}
	return encode(args...)
}

// encode encodes an array of bulk strings.
func encode(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}

// answer is what a client reads for one command.
type answer struct {
	outcome string // served, refused or failed
	id      string // the request's ID in a value
	err     error  // the connection ended before or within the answer
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	if a.outcome == "served" {
		return "served with the value of " + a.id
	}
	return a.outcome
}

// readAnswer reads the next answer.
func (c *client) readAnswer() answer {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return answer{err: err}
	}
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return answer{outcome: "refused"}
	case line[0] != '$' || line[1] == '-':
		return answer{outcome: "failed"}
	}
	var size int
	if _, err := fmt.Sscanf(line, "$%d", &size); err != nil {
		return answer{err: err}
	}
	value := make([]byte, size+2)
	if _, err := io.ReadFull(c.in, value); err != nil {
		return answer{err: err}
	}
	return answer{outcome: "served", id: string(value[:16])}
}

// planOf returns the plan of a customer: customers below 0x1000 are on business, the others on enterprise.
func planOf(customer uint64) string {
	if customer < 0x1000 {
		return "business"
	}
	return "enterprise"
}
