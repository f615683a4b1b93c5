package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The soak draws faults and clients from a seed. soakSeedsVariable is the number of seeds, from the one in
// soakFirstSeedVariable on.
const (
	soakSeedsVariable     = "SPARSPREAD_SOAK_SEEDS"
	soakFirstSeedVariable = "SPARSPREAD_SOAK_FIRST_SEED"
	defaultSoakSeeds      = 3 // the third one has a crowd
	defaultSoakFirstSeed  = 1

	soakClients = 24
	// Clients start connections for soakTraffic before the last signal.
	soakTraffic = 5 * time.Second
	// The time from SIGTERM to SIGKILL is that of the longest deadline, and 0.7 s.
	soakKillDelay = 3700 * time.Millisecond
	// Requests that are sent later than soakKillExcused after SIGTERM may be lost to SIGKILL.
	soakKillExcused = 700 * time.Millisecond
)

// environmentNumber returns a number from the environment, or a default.
func environmentNumber(t *testing.T, name string, byDefault int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return byDefault
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(name, ": ", err)
	}
	return n
}

// Random clients send requests while backends fail at random, the gateway is upgraded and finally shut down.
// Every promise to clients is kept.
func TestSoakKeepsPromises(t *testing.T) {
	first := environmentNumber(t, soakFirstSeedVariable, defaultSoakFirstSeed)
	for i := range environmentNumber(t, soakSeedsVariable, defaultSoakSeeds) {
		seed := uint64(first + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soak is one run.
type soak struct {
	*soakWorld
	t      *testing.T
	random *rand.Rand // used only by the goroutine of the test

	mu        sync.Mutex // guards the fields below
	clients   []*soakClient
	signalled time.Time // time of the last SIGTERM; zero before
	killed    time.Time // time of the last SIGKILL
	ending    bool      // clients open no further connections
}

func runSoak(t *testing.T, seed uint64) {
	t.Helper()
	s := &soak{soakWorld: newSoakWorld(t), t: t, random: rand.New(rand.NewPCG(seed, 0))}
	p := s.startGateway(t)
	var running sync.WaitGroup
	for i := range soakClients {
		random := rand.New(rand.NewPCG(seed, uint64(i+1)))
		running.Go(func() { s.runClient(random) })
	}
	if hasCrowd := s.random.IntN(3) == 0; hasCrowd {
		t.Log("with a crowd")
		leave := s.startCrowds(t, p, []crowd{
			{"half bodies", 25, 0, 0, halfBody},
			{"short values", 25, 0, 0, shortValue},
			{"many fields", 10, 0, 0, manyFields},
			{"many commands", 10, 0, 0, manyCommands},
			{"single bytes", 25, 1, 3 * time.Millisecond, shortValue},
		})
		defer leave()
	}
	stopFaults := s.runBackendFaults(seed)
	p = s.runSignals(p)
	time.Sleep(soakKillExcused)
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	running.Wait()
	stopFaults()
	<-p.exited
	s.check()
}

// runBackendFaults changes the modes of random backends until stop is called.
func (s *soak) runBackendFaults(seed uint64) (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	random := rand.New(rand.NewPCG(seed, 1<<32))
	modes := []soakBackendMode{
		soakUnreachable, soakStalls, soakRejects, soakFails, soakResets, soakReadsSlowly,
	}
	go func() {
		defer close(ended)
		for {
			mode, count := modes[random.IntN(len(modes))], 1+random.IntN(4)
			start := random.IntN(len(s.backends))
			for i := range count {
				s.backends[(start+i)%len(s.backends)].setMode(mode)
			}
			select {
			case <-stopped:
				s.setModes(len(s.backends), soakServes)
				return
			case <-time.After(time.Duration(100+random.IntN(900)) * time.Millisecond):
			}
			s.setModes(len(s.backends), soakServes)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

// runSignals upgrades the gateway and sends it signals in series for soakTraffic. Then it shuts it down, with
// SIGKILL at the earliest time. It returns the last process.
func (s *soak) runSignals(p *gatewayProcess) *gatewayProcess {
	for end := time.Now().Add(soakTraffic); time.Now().Before(end); {
		time.Sleep(time.Duration(300+s.random.IntN(1500)) * time.Millisecond)
		switch s.random.IntN(3) {
		case 0:
			second := startSuccessor(s.t, p, s.configure) // sends SIGTERM to the first one
			s.killAfterDelay(p)
			p = second // the first one may still run when another one takes over
		case 1:
			for range 1 + s.random.IntN(3) {
				p.reload(s.t)
				time.Sleep(time.Duration(s.random.IntN(50)) * time.Millisecond)
			}
		}
	}
	s.mu.Lock()
	s.signalled = time.Now()
	s.mu.Unlock()
	for range 1 + s.random.IntN(2) {
		_ = p.command.Process.Signal(syscall.SIGTERM)
		_ = p.command.Process.Signal(syscall.SIGHUP)
	}
	s.killAfterDelay(p)
	return p
}

// killAfterDelay sends SIGKILL to a process that was told to end, at the earliest time.
func (s *soak) killAfterDelay(p *gatewayProcess) {
	time.AfterFunc(soakKillDelay, func() {
		s.mu.Lock()
		s.killed = time.Now()
		s.mu.Unlock()
		_ = p.command.Process.Kill() // fails if the process has exited
	})
}

// connect returns a new connection, or nil if the soak is ending or the gateway accepts none.
func (s *soak) connect() *soakClient {
	s.mu.Lock()
	ending := s.ending || !s.signalled.IsZero()
	s.mu.Unlock()
	if ending {
		return nil
	}
	c, err := dialSoakClient(s.host + clientPort)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	s.clients = append(s.clients, c)
	s.mu.Unlock()
	go c.readAnswers()
	return c
}

// hasEnded reports whether clients stop to send.
func (s *soak) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// runClient opens connections, one after another.
func (s *soak) runClient(random *rand.Rand) {
	for !s.hasEnded() {
		c := s.connect()
		if c == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if random.IntN(3) == 0 {
			s.runDepartingClient(random, c)
		} else {
			s.runStayingClient(random, c)
		}
	}
}

// drawRequests returns random requests.
func (s *soak) drawRequests(random *rand.Rand) []*soakRequest {
	bodySizes := []int{0, 40, 4000, 60_000, 100_000, 300_000}
	timeouts := []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second}
	requests := s.newRequests(1+random.IntN(5), soakClassSafe, 0)
	for _, r := range requests {
		r.timeout = timeouts[random.IntN(len(timeouts))]
		if random.IntN(2) == 0 {
			r.class, r.bodySize = soakClassUnsafe, bodySizes[random.IntN(len(bodySizes))]
		} else if random.IntN(4) == 0 {
			r.id = withLargeValue(r.id)
		}
	}
	return requests
}

// withLargeValue returns an ID that is served with a large value. For half of the IDs it is written slowly.
func withLargeValue(id string) string {
	prefix := largeValuePrefix
	if lastDigit := id[len(id)-1]; lastDigit%2 == 1 {
		prefix = slowValuePrefix
	}
	return prefix + id[len(prefix):]
}

// runStayingClient sends requests on a connection until it ends, and waits for their answers.
func (s *soak) runStayingClient(random *rand.Rand, c *soakClient) {
	for !s.hasEnded() && !c.hasEnded() {
		requests := s.drawRequests(random)
		if random.IntN(8) == 0 {
			c.pauseReading(time.Duration(random.Int64N(int64(maxReadPause))))
		}
		c.append(requests)
		text := encodeAll(requests)
		if random.IntN(3) == 0 {
			pieces := 2 + random.IntN(6)
			pause := time.Duration(random.IntN(600)/pieces) * time.Millisecond
			_ = c.writePieces(text, requests, len(text)/pieces+1, pause) // checked by the answers
		} else {
			_ = c.writePieces(text, requests, len(text), 0)
		}
		if random.IntN(2) == 0 {
			c.awaitAnswers()
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	c.awaitAnswers()
	c.leaveAnswered()
}

// runDepartingClient sends requests and much other input, and leaves soon. Sometimes it sends them again on a
// new connection.
func (s *soak) runDepartingClient(random *rand.Rand, c *soakClient) {
	requests := s.drawRequests(random)
	behind := []string{"", strings.Repeat(pingCommand, 20_000), halfBody(random.IntN(1 << 20))}
	c.append(requests)
	text := encodeAll(requests) + behind[random.IntN(len(behind))]
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = c.writePieces(text, requests, len(text), 0) // fails when the client leaves
	}()
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	c.leave(departure(random.IntN(int(departNumber))))
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	_ = c.conn.Close()
	<-written
	if again := s.connect(); random.IntN(2) == 0 && again != nil {
		repeated := make([]*soakRequest, 0, len(requests))
		for _, r := range requests {
			repeated = append(repeated, &soakRequest{
				id: r.id, class: r.class, bodySize: r.bodySize, timeout: r.timeout, repeated: true,
			})
		}
		again.append(repeated)
		text := encodeAll(repeated)
		_ = again.writePieces(text, repeated, len(text), 0) // checked by the answers
		again.awaitAnswers()
		again.leaveAnswered()
	}
}

// A seed in which the timeout that was passed on exceeded what the client had left, in an upgrade.
func TestSoakTimeoutsInUpgrade(t *testing.T) {
	const seed = 242
	runSoak(t, seed)
}
