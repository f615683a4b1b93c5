package gateway

import (
	"io"
	"strings"
	"testing"
)

// BenchmarkPipelinedCommands measures a command that needs no backend, on a connection whose pipeline is
// full: reading it, its event, and its reply.
func BenchmarkPipelinedCommands(b *testing.B) {
	const reply = "+PONG\r\n"
	r := startGateway(b, newConfig(b, newFakeDiscovery(b), nil))
	c := r.client(b)
	commands := strings.Repeat("*1\r\n$4\r\nPING\r\n", maxPipelined)
	replies := make([]byte, maxPipelined*len(reply))
	b.ReportAllocs()
	for b.Loop() {
		c.write(commands)
		if _, err := io.ReadFull(c.in, replies); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*maxPipelined), "ns/command")
}
