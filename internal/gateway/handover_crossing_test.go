package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"sparspread/internal/resp"
)

// crossingSeed decides what the clients of the crossing test write, and in which pieces.
const crossingSeed = 35

// Sizes of the crossing test.
const (
	crossingClients  = 8
	crossingCommands = 60 // per client
	crossingUpgrades = 4

	maxCrossingPause = 8 * time.Millisecond // maximum pause of a client between two pieces
	maxCrossingBody  = 200 << 10            // maximum size of a large body, in bytes
)

// sentCommand is a command of a client and its expected reply.
type sentCommand struct {
	text  string
	id    string // the ID of a request; empty if the command is none
	reply string // the only reply to a command that is no request
}

// randomCommands returns the commands of one client, in their order.
func randomCommands(random *rand.Rand, client int) []sentCommand {
	commands := make([]sentCommand, crossingCommands)
	for i := range commands {
		id := client<<16 | i
		switch kind := random.IntN(10); {
		case kind == 0:
			commands[i] = sentCommand{text: "*1\r\n$4\r\nPING\r\n", reply: "+PONG"}
		case kind == 1 && i%2 == 0: // never two in a row
			commands[i] = sentCommand{text: "*1\r\n$4\r\nNONE\r\n", reply: `-ERR unknown command "NONE"`}
		case kind <= 3:
			size := resp.MaxValue + 1 + random.IntN(maxCrossingBody-resp.MaxValue)
			text := bodyHead(id, "team", size) + strings.Repeat("b", size) + "\r\n"
			commands[i] = sentCommand{text: text, id: fmt.Sprintf("%016x", id)}
		default:
			commands[i] = sentCommand{text: onceCommand(id), id: fmt.Sprintf("%016x", id)}
		}
	}
	return commands
}

// writeInPieces writes the commands in pieces that do not respect their limits.
func writeInPieces(c *testClient, random *rand.Rand, commands []sentCommand) error {
	var text strings.Builder
	for _, command := range commands {
		text.WriteString(command.text)
	}
	for rest := text.String(); rest != ""; {
		n := min(len(rest), 1+random.IntN(2*len(onceCommand(0))))
		if random.IntN(8) == 0 {
			n = min(len(rest), 1+random.IntN(maxCrossingBody))
		}
		if _, err := c.conn.Write([]byte(rest[:n])); err != nil {
			return err
		}
		rest = rest[n:]
		if random.IntN(4) == 0 {
			time.Sleep(time.Duration(random.Int64N(int64(maxCrossingPause))))
		}
	}
	return nil
}

// answerAllCalls makes a backend answer each request with its ID. It counts the calls of each request.
func answerAllCalls(tb testing.TB, b *fakeBackend) *sync.Map {
	tb.Helper()
	calls := &sync.Map{}
	go func() {
		for range b.bodySizes {
			continue // so that the backend reads the body
		}
	}()
	go func() {
		for call := range b.calls {
			id := string(call.args[2])
			count, _ := calls.LoadOrStore(id, 0)
			if n, ok := count.(int); ok {
				calls.Store(id, n+1)
			}
			// The connection may be closed, because its process has exited.
			_, _ = fmt.Fprintf(call.conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(id), id)
		}
	}()
	return calls
}

// errWrongReply reports a reply that does not belong to its command.
var errWrongReply = errors.New("reply does not belong to the command")

// checkReply reads a reply and checks that it answers the command. A rejected request must never have run.
func checkReply(in *bufio.Reader, command sentCommand, calls *sync.Map) error {
	line, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if command.id == "" {
		if line != command.reply {
			return fmt.Errorf("%w: got %q, want %q", errWrongReply, line, command.reply)
		}
		return nil
	}
	if rejection.MatchString(line) {
		if n, sent := calls.Load(command.id); sent {
			return fmt.Errorf("%w: request %s was rejected but sent %v times", errWrongReply, command.id, n)
		}
		return nil
	}
	value, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	if value = strings.TrimSuffix(value, "\r\n"); line[0] != '$' || value != command.id {
		return fmt.Errorf("%w: request %s got %q, %q", errWrongReply, command.id, line, value)
	}
	if n, _ := calls.Load(command.id); n != 1 {
		return fmt.Errorf("%w: request %s was sent %v times", errWrongReply, command.id, n)
	}
	return nil
}

// Clients pipeline commands of all kinds, in pieces, while one process after another takes over. Each command
// gets its own reply, in the order of the commands, and no request runs that was rejected.
func TestRepliesKeepTheirOrderDuringHandovers(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	calls := answerAllCalls(t, b)
	serving := startGateway(t, cfg)
	serving.runClock()
	results := make(chan error, 2*crossingClients)
	for client := range crossingClients {
		c := serving.client(t)
		random := rand.New(rand.NewPCG(crossingSeed, uint64(client)))
		commands := randomCommands(random, client)
		go func() { results <- writeInPieces(c, random, commands) }()
		go func() {
			for i, command := range commands {
				if err := checkReply(c.in, command, calls); err != nil {
					results <- fmt.Errorf("client %d, command %d: %w", client, i, err)
					return
				}
			}
			results <- nil
		}()
	}
	for range crossingUpgrades {
		next := startGateway(t, cfg)
		next.runClock()
		waitForReadiness(t, next, 200)
		serving.shutDown()
		wait(t, serving.ended, "the predecessor to exit")
		serving = next
	}
	for range cap(results) {
		if err := wait(t, results, "a client to end"); err != nil {
			t.Errorf("seed %d: %v", crossingSeed, err)
		}
	}
}
