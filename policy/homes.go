package policy

import "math"

// A wide set is too large for each gateway to tell all others what it takes. Where each sees a
// customer now and then, no slice of the quota that it could save up is of use either: it asks a
// home, which has the whole quota or an even part of it, before each request.

// wide tells whether a customer's set is too large for each to tell all others.
func (g *Controller) wide(c *customer) bool { return g.set.Gossip && c.spread > fewPeers }

// home is a gateway that a wide set asks, or tells its use: the first, or another of several.
func (g *Controller) home(c *customer, i int) int {
	const mix = 0x9E3779B97F4A7C15 // spreads ids evenly over the set
	return (c.first + (int((c.id*mix)>>33)+i*c.spread/g.homes(c))%c.spread) % g.set.Gateways
}

// member tells whether this gateway knows of a customer's use only by its home.
func (g *Controller) member(c *customer) bool {
	if !g.wide(c) {
		return false
	}
	for i := range g.homes(c) {
		if g.home(c, i) == g.set.Self {
			return false
		}
	}
	return true
}

// consults tells whether a wide set asks a home before it decides: its quota is so small that no
// slice holds a request, and the homes can take in the asks.
func (g *Controller) consults(c *customer) bool {
	p := &g.set.Plans[c.plan]
	return g.wide(c) && p.Rate/float64(g.homes(c))*float64(g.mailTime(1)) < askRate*float64(second)
}

// homes is over how many gateways the quota of a wide set is cut, which it asks in turn: so many
// that each can take in its asks, as long as each still holds two of the largest requests.
func (g *Controller) homes(c *customer) int {
	p := &g.set.Plans[c.plan]
	most := 1.0
	if g.set.MaxCost > 0 {
		most = math.Max(1, math.Floor(p.Burst/(2*g.set.MaxCost)))
	}
	asks := math.Ceil(p.Rate * float64(g.mailTime(1)) / (homeRate * float64(second)))
	return int(math.Max(1, math.Min(math.Min(asks, most), float64(c.spread))))
}

// keeps tells whether this gateway is a home that its set asks.
func (g *Controller) keeps(c *customer) bool { return g.consults(c) && !g.member(c) }

// consult asks a home for a request's units and keeps the request till it answers.
func (g *Controller) consult(r *request) {
	c := r.c
	c.asks++
	r.ask, r.by = max(1, c.asks), g.now+min(Time(askWait*float64(g.shortAim)), r.Timeout/2)
	r.asked++
	g.counts.asks++
	peer, told := g.home(c, r.home), c.with(r.home)
	if r.asked == 1 {
		told.asked += r.Cost
	}
	e := g.entry(c)
	e.taken, e.asked, e.fresh = counted(told.taken), counted(told.asked), counted(told.asked-told.askedTold)
	e.want, e.ask = byte(min(math.MaxUint8, math.Ceil(2*r.Cost))), r.ask
	told.askedTold = told.asked
	g.do.SendGossip(peer, e.put(g.noteHead()))
	g.do.SetTimer(r.by, askToken)
	g.requests[r.ID] = r
	g.waiting = append(g.waiting, r)
}

// homeToAsk draws the home that a request asks: another one than before, and none that was
// silent of late if there is another. A home draws too: its own part is everyone's.
func (g *Controller) homeToAsk(r *request) int {
	if !g.consults(r.c) {
		return 0
	}
	n := g.homes(r.c)
	at := g.rand.IntN(n)
	if r.asked > 0 && n > 1 {
		at = (r.home + 1 + g.rand.IntN(n-1)) % n
	}
	for i := range n {
		if home := (at + i) % n; g.now-g.deafAt[g.home(r.c, home)] > second && (r.asked == 0 || home != r.home) {
			return home
		}
	}
	return at
}

// answered decides on what waits for a home's answer: this one, or all overdue ones. Those ask
// another home once, if there is one; the slice under the last grant decides on the others.
func (g *Controller) answered(c *customer, a grant) {
	waiting := g.waiting
	g.waiting = nil
	var again []*request
	for _, r := range waiting {
		switch due := r.c == c && r.ask == a.ask; {
		case g.requests[r.ID] != r: // the client has left
		case due || g.now >= r.by:
			if !due {
				g.counts.silent++
				g.deafAt[g.home(r.c, r.home)] = g.now
				if r.asked == 1 && g.consults(r.c) && g.homes(r.c) > 1 {
					again = append(again, r)
					continue
				}
			}
			delete(g.requests, r.ID)
			if !due {
				r.c.slice = math.Min(r.c.slice+r.c.grant*r.Cost, sliceMost*r.Cost)
			} else if a.yes {
				r.c.slice += r.Cost // to be taken at once
			}
			g.admit(r, due && a.yes || !due && g.inside(r.c, r.Cost), due && a.yes)
		default:
			g.waiting = append(g.waiting, r)
		}
	}
	for _, r := range again {
		if r.home = g.homeToAsk(r); g.home(r.c, r.home) != g.set.Self {
			g.consult(r)
			continue
		}
		delete(g.requests, r.ID)
		g.admit(r, g.inside(r.c, r.Cost), false)
	}
}
