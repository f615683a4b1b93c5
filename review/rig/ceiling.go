package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// The plan of the customer whose ceiling is checked: quota and burst are inside the ranges of BRIEF, and the ceiling is
// 1.7 times both.
const (
	quotaRate    = 60.0
	quotaBurst   = quotaRate * 2.6
	ceilingRate  = 1.7 * quotaRate
	ceilingBurst = 1.7 * quotaBurst
	ceilingSlack = ceilingBurst / 10
)

// tier is three gateways that share quotas by gossip.
type tier struct {
	world   *world
	listens []string

	mu    sync.Mutex // guards the fields below
	lastN int
	units map[string]float64 // of the requests of the customer under test, by ID
}

// playCeiling lets a customer, which has sent a little through one gateway, send a batch through all three gateways of
// its set. It checks the ceiling's store, as the protocol describes it, against what reached the backends.
func playCeiling(r *rig) (broken string) {
	const customer = 0xb4d65521
	w := newWorld(r, 24, 100*time.Millisecond, 17)
	w.start()
	t := newTier(w)
	stop := make(chan struct{})
	go t.sendBackground(stop)
	for range 60 {
		t.send(0, customer, "enterprise", 1)
		time.Sleep(100 * time.Millisecond)
	}
	if r.trouble {
		r.record("the customer sends a batch: 20 bookings of 8 units through each gateway")
		for range 20 {
			for gateway := range t.listens {
				t.send(gateway, customer, "enterprise", 8)
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	lowest, allowed := t.lowestLevel(), -(ceilingSlack + 0.15*ceilingRate)
	r.record("the store of the ceiling holds %.1f units at most; it fell to %.1f, allowed are %.1f", ceilingBurst, lowest, allowed)
	if lowest < allowed {
		broken = fmt.Sprintf("%.1f units more than the ceiling allows were sent on", allowed-lowest)
	}
	return broken
}

func newTier(w *world) *tier {
	const gateways = 3
	t := &tier{world: w, units: map[string]float64{}}
	var peers []string
	for range gateways {
		conn, err := net.ListenPacket("udp", w.rig.host+":0")
		w.rig.require(err, "free port")
		peers = append(peers, conn.LocalAddr().String())
		_ = conn.Close()
		t.listens = append(t.listens, w.rig.freeAddress())
	}
	for i, listen := range t.listens {
		config := w.configuration()
		config["listen"], config["peers"], config["peer_listen"] = listen, peers, peers[i]
		config["seed"] = fmt.Sprintf("%016x", rand.Uint64())
		settings, _ := config["settings"].(map[string]any)
		settings["balancers"], settings["self-index"] = gateways, i
		settings["ceilings"].(map[string]any)["peers"] = true
		plan, _ := settings["tariffs"].([]any)[2].(map[string]any)
		plan["rate"], plan["burst"] = quotaRate, quotaBurst
		plan["never-over-rate"], plan["ceiling-burst"], plan["hard-slack"] = ceilingRate, ceilingBurst, ceilingSlack
		path := filepath.Join(w.rig.folder, fmt.Sprintf("config%d.json", i))
		w.writeConfig(path, config)
		w.rig.awaitReady(w.rig.startGateway(fmt.Sprint(i), path, w.rig.freeAddress()), len(w.backends))
	}
	return t
}

// send sends a booking through a gateway, on a new connection, and reads its answer.
func (t *tier) send(gateway int, customer uint64, plan string, units int) {
	t.mu.Lock()
	t.lastN++
	id := fmt.Sprintf("%016x", t.lastN)
	if plan == "enterprise" {
		t.units[id] = float64(units)
	}
	t.mu.Unlock()
	fields := fmt.Sprintf("c=book,t=%s,d=4000,units=%d,spread=%d,first=0", plan, units, len(t.listens))
	go func() {
		conn, err := net.Dial("tcp", t.listens[gateway])
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		c := &client{conn: conn, in: bufio.NewReader(conn)}
		_, _ = conn.Write(encode("API.WRITE", fmt.Sprintf("%016x", customer), id, fields))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		a := c.readAnswer()
		if units > 1 {
			t.world.rig.record("gateway %d, %s: %s", gateway, id, a.outcome)
		}
	}()
}

// sendBackground sends 50 requests a second of other customers of the same set, so that the gateways hear each other.
func (t *tier) sendBackground(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			t.send(rand.IntN(len(t.listens)), uint64(100+rand.IntN(20)), "business", 1)
		}
	}
}

// lowestLevel returns the lowest level of the ceiling's store. It starts full and is charged when a request arrives at
// a backend.
func (t *tier) lowestLevel() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	type charge struct {
		at    time.Time
		units float64
	}
	var charges []charge
	for id, units := range t.units {
		if runs := t.world.runsOf(id); len(runs) > 0 {
			charges = append(charges, charge{runs[0].lastByteAt, units})
		}
	}
	slices.SortFunc(charges, func(a, b charge) int { return a.at.Compare(b.at) })
	level, lowest, last := ceilingBurst, ceilingBurst, t.world.rig.startedAt
	for _, c := range charges {
		level = min(ceilingBurst, level+ceilingRate*c.at.Sub(last).Seconds()) - c.units
		lowest, last = min(lowest, level), c.at
	}
	return lowest
}
