package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// recordedPlay is a fleet of gateways that handle random events of all kinds, drawn from a seed, and
// the transcript of their actions, without log events.
type recordedPlay struct {
	settings   Settings
	random     *rand.Rand
	gateways   gatewayFleet
	timers     map[int][]action // by gateway
	transcript []string
}

func newRecordedPlay(t *testing.T, settings Settings, seed uint64) *recordedPlay {
	t.Helper()
	p := &recordedPlay{settings: settings, random: rand.New(rand.NewPCG(seed, 1)), timers: map[int][]action{}}
	for settings.Self = range settings.Gateways {
		h := newUnstartedHarness(t, settings, 7, start)
		h.UpdateEndpoints(start, UpdateStale, endpoints(4))
		p.gateways = append(p.gateways, h)
	}
	return p
}

// run simulates 500 steps of a hundredth of a second, with a stall of one gateway.
func (p *recordedPlay) run() {
	for step := range 500 {
		at := start + Time(step)*second/100
		gateway := p.random.IntN(len(p.gateways))
		h := p.gateways[gateway]
		h.at = max(h.at, at)
		if step == 200 {
			h.at += second / 2 // a stall
		}
		p.receiveRequest(h)
		p.endAttempts(gateway)
		if step%90 == 50 {
			p.updateEndpoints(at)
		}
		for gateway := range p.gateways {
			p.fireTimers(gateway, at)
		}
		p.performActions()
	}
}

func (p *recordedPlay) receiveRequest(h *harness) {
	customer := p.random.IntN(6)
	h.receiveRequest(Request{
		Class: p.random.IntN(len(p.settings.Classes)), Plan: customer % len(p.settings.Plans),
		Customer: uint64(customer), Cost: float64(1+p.random.IntN(4)) / 2,
		Timeout:      second * Time(1+p.random.IntN(3)),
		FirstReplica: customer, Replicas: 1 + customer*5%p.settings.Gateways,
	})
}

// endAttempts ends the last attempts of most open requests of a gateway, and cancels some requests.
func (p *recordedPlay) endAttempts(gateway int) {
	h := p.gateways[gateway]
	var open []uint64
	for id := range h.requests.byID {
		open = append(open, id)
	}
	slices.Sort(open)
	for _, id := range open {
		request := h.requests.byID[id]
		if request == nil || len(request.attempts) == 0 || p.random.IntN(3) == 0 {
			continue
		}
		if p.random.IntN(15) == 0 {
			h.RequestCancelled(h.at, id)
			continue
		}
		maySend := h.ConfirmSend(h.at, id, len(request.attempts)-1)
		p.transcript = append(p.transcript, fmt.Sprintf("%d holds %d %t", gateway, id, maySend))
		result := Result(max(0, p.random.IntN(20)-12))
		h.endAttemptWith(id, Outcome{
			Result: result, Latency: Time(1+p.random.IntN(60)) * second / 100,
			ClientAnswered: result == ResultOK,
			MeterReading:   p.random.IntN(150), ActualCost: float64(p.random.IntN(5)) / 2,
		})
	}
}

// updateEndpoints sends all gateways an endpoint list with random states and start times.
func (p *recordedPlay) updateEndpoints(at Time) {
	list := endpoints(6)
	for i := range list {
		list[i].Zone = i % 3
		if p.random.IntN(4) == 0 {
			list[i].State = EndpointState(p.random.IntN(3))
		}
		if p.random.IntN(3) == 0 {
			list[i].StartedAt = at - Time(p.random.IntN(3))*second
		}
	}
	for _, h := range p.gateways {
		h.UpdateEndpoints(max(h.at, at), UpdateKind(p.random.IntN(4)), list)
	}
}

// fireTimers fires the timers of a gateway that are due.
func (p *recordedPlay) fireTimers(gateway int, at Time) {
	h := p.gateways[gateway]
	pending := p.timers[gateway]
	p.timers[gateway] = nil
	for _, timer := range pending {
		if timer.at > max(at, h.at) {
			p.timers[gateway] = append(p.timers[gateway], timer)
			continue
		}
		h.at = max(h.at, timer.at, at)
		h.TimerFired(h.at, timer.timerID)
	}
}

// performActions carries out the actions of all gateways until none causes another event.
func (p *recordedPlay) performActions() {
	for busy := true; busy; {
		busy = false
		for gateway, h := range p.gateways {
			for _, a := range h.takeActions() {
				if a.kind == logAction {
					continue
				}
				p.transcript = append(p.transcript, fmt.Sprintf("%d %s", gateway, recordedLine(a)))
				busy = p.performAction(gateway, a) || busy
			}
		}
	}
}

// performAction carries out one action. It reports whether the action caused an event at a gateway.
func (p *recordedPlay) performAction(gateway int, a action) bool {
	h := p.gateways[gateway]
	switch a.kind {
	case gossipAction:
		if p.random.IntN(20) == 0 { // the message is lost
			return false
		}
		to := p.gateways[a.peer]
		to.GossipReceived(max(h.at, to.at), gateway, a.message)
	case counterAction:
		result := Result(p.random.IntN(5) / 4)
		h.CounterAnswered(h.at, a.counter, result, a.units*float64(1+p.random.IntN(3)))
	case healthCheckAction:
		h.HealthCheckEnded(h.at, a.backend, Result(p.random.IntN(5)), nil)
	case timerAction:
		p.timers[gateway] = append(p.timers[gateway], a)
		return false
	default:
		return false
	}
	return true
}

// recordedLine returns an action in the format of the recorded files, whose words are frozen.
func recordedLine(a action) string {
	switch a.kind {
	case sendAction:
		return fmt.Sprintf("send %d to %d", a.request, a.backend)
	case rejectAction:
		return fmt.Sprintf("refuse %d after %d", a.request, a.at)
	case failAction:
		return fmt.Sprintf("fail %d", a.request)
	case timerAction:
		return fmt.Sprintf("timer %d %d", a.at, a.timerID)
	case healthCheckAction:
		return fmt.Sprintf("probe %d", a.backend)
	case gossipAction:
		return fmt.Sprintf("tell %d %x", a.peer, a.message)
	case counterAction:
		return fmt.Sprintf("count %d %g", a.counter, a.units)
	default:
		return "follow"
	}
}

// Compares all decisions with recorded ones, action by action and bit by bit. This guards against changes of
// behavior, including the order in which random numbers are drawn and floating-point sums are added.
func TestDecisionsMatchRecording(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*Settings)
	}{
		{"gossip-small", func(s *Settings) { s.Gateways, s.SettlesCost = 3, true }},
		{"gossip-wide", func(s *Settings) {
			s.Gateways, s.SettlesCost, s.GossipPerSecond = 9, true, 200
			s.HandshakePrice, s.CrossZonePrice, s.OverloadFactor, s.MaxCost = 0.1, 0.2, 2, 2
		}},
		{"counter", func(s *Settings) {
			s.Gateways, s.Gossip, s.SharedCounter = 2, false, true
			s.PollEndpoints, s.MaxWatchGap = true, second
		}},
		{"meter", func(s *Settings) {
			s.Gateways, s.Gossip, s.MeterPeriod = 2, false, second
			s.HealthChecks, s.Hedging, s.UseCapacityHints = false, true, true
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := namedSettings()
			c.set(&settings)
			play := newRecordedPlay(t, settings, 11)
			play.run()
			assertRecorded(t, "decisions-"+c.name+".txt", []byte(strings.Join(play.transcript, "\n")+"\n"))
		})
	}
}
