// Command standins simulates the environment of a gateway, to try the gateway on one machine. "serve" runs
// the discovery service and two backends; "send" runs a client. Both read the addresses from the gateway's
// configuration.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"sparspread/internal/config"
)

var commands struct {
	Serve serveCommand `cmd:"" help:"Be the discovery service and two backends, until killed."`
	Send  sendCommand  `cmd:"" help:"Send requests of one customer and print the replies."`
}

func main() {
	call := kong.Parse(&commands, kong.Name("standins"), kong.UsageOnError())
	call.FatalIfErrorf(call.Run())
}

// readConfig reads the configuration of a gateway.
func readConfig(path string) (config.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return config.Config{}, fmt.Errorf("configuration: %w", err)
	}
	return config.Parse(raw)
}
