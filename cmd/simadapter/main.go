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
		h.reply.Reset(batch.Index)
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
	h.reply.SetInstance(e.Instance)
	defer func() {
		if p := recover(); p != nil {
			delete(h.gateways, e.Instance)
			h.reply.InstanceFailed(fmt.Sprint("panic: ", p))
		}
	}()
	switch e.Kind {
	case simproto.InstanceStarted:
		h.provision(e)
		return
	case simproto.InstanceStopped:
		delete(h.gateways, e.Instance)
		return
	}
	g := h.gateways[e.Instance]
	if g == nil {
		return
	}
	switch e.Kind {
	case simproto.EndpointsUpdated:
		g.UpdateEndpoints(now, e.UpdateKind, e.Endpoints)
	case simproto.RequestReceived:
		g.RequestReceived(now, e.Request)
	case simproto.ResponseStarted:
		g.ResponseStarted(now, e.Outcome.RequestID)
	case simproto.AttemptEnded:
		g.AttemptEnded(now, e.Outcome)
	case simproto.RequestCancelled:
		g.RequestCancelled(now, e.Outcome.RequestID)
	case simproto.TimerFired:
		g.TimerFired(now, e.TimerToken)
	case simproto.HealthCheckEnded:
		g.HealthCheckEnded(now, e.Backend, e.Result, e.LoadReport)
	case simproto.GossipReceived:
		g.GossipReceived(now, e.Sender, e.Gossip)
	case simproto.CounterAnswered:
		g.CounterAnswered(now, e.CounterName, e.Result, e.CounterTotal)
	}
}

func (h *host) provision(e *simproto.Event) {
	set, err := settings.ParseText(e.Settings)
	if err == nil {
		var g *policy.Controller
		if g, err = policy.New(set, e.Seed, &h.reply); err == nil {
			h.gateways[e.Instance] = g
			return
		}
	}
	delete(h.gateways, e.Instance)
	h.reply.InstanceFailed(err.Error())
}
