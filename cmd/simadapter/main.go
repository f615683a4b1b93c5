// Command simadapter hosts decision instances on the simulator's wire: it reads
// batches of events from standard input and writes their actions to standard
// output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sparspread/internal/settings"
	"sparspread/internal/simproto"
	"sparspread/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// host keeps the instances of one process.
type host struct {
	gateways map[uint16]*policy.Controller
	reply    simproto.Reply
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{gateways: map[uint16]*policy.Controller{}}
	var body []byte
	for {
		batch, err := simproto.ReadBatch(r, body)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		body = batch.Body
		h.reply.Start(batch.Index)
		if err := batch.Decode(func(e *simproto.Event) { h.take(batch.Now, e) }); err != nil {
			return err
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing reply %d: %w", batch.Index, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing reply %d: %w", batch.Index, err)
		}
	}
}

// take carries one event to its instance. A panic there is told as broken, and
// the instance is gone.
func (h *host) take(now policy.Time, e *simproto.Event) {
	h.reply.For(e.Instance)
	defer func() {
		if p := recover(); p != nil {
			delete(h.gateways, e.Instance)
			h.reply.Broken(fmt.Sprint("panic: ", p))
		}
	}()
	switch e.Kind {
	case simproto.Provision:
		h.provision(e)
		return
	case simproto.CrashNow:
		delete(h.gateways, e.Instance)
		return
	}
	g := h.gateways[e.Instance]
	if g == nil {
		return
	}
	switch e.Kind {
	case simproto.Backends:
		g.UpdateEndpoints(now, e.News, e.Members)
	case simproto.Ingress:
		g.RequestReceived(now, e.Request)
	case simproto.First:
		g.ResponseStarted(now, e.Outcome.RequestID)
	case simproto.Done:
		g.AttemptEnded(now, e.Outcome)
	case simproto.Dropped:
		g.RequestCancelled(now, e.Outcome.RequestID)
	case simproto.Wake:
		g.TimerFired(now, e.Token)
	case simproto.Sampled:
		g.HealthCheckEnded(now, e.Backend, e.Result, e.Load)
	case simproto.Heard:
		g.GossipReceived(now, e.From, e.Note)
	case simproto.Ledger:
		g.CounterAnswered(now, e.Name, e.Result, e.Total)
	}
}

func (h *host) provision(e *simproto.Event) {
	set, err := settings.ParseText(e.Profile)
	if err == nil {
		var g *policy.Controller
		if g, err = policy.New(set, e.Seed, &h.reply); err == nil {
			h.gateways[e.Instance] = g
			return
		}
	}
	delete(h.gateways, e.Instance)
	h.reply.Broken(err.Error())
}
