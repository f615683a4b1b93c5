package gateway

import (
	"math"
	"sync"

	"sparspread/policy"
)

// maxInputDelay is the maximum time from the moment at which a connection is drained until the input arrives
// that the client's system has held back.
const maxInputDelay = 10 * millisecond

// Special values of pendingInput.delayedUntil and pendingInput.shutUntil.
const (
	nothingDelayed      = math.MinInt64
	delayedUntilDrained = math.MaxInt64 // until the connection is drained
)

// pendingInput describes the input of a connection that the reader has not read yet. It is in the kernel, or,
// while the receive window is shut, in the client's system. It is safe for concurrent use.
type pendingInput struct {
	mu           sync.Mutex  // guards the fields below
	sentSince    policy.Time // the earliest time at which the client may have sent it
	delayedUntil policy.Time // input that arrives until then may have been sent since sentSince
	shutUntil    policy.Time // until then the client's system may hold back input, and a close behind it
}

// init sets the earliest time at which the client may have sent input.
func (p *pendingInput) init(sentSince policy.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentSince, p.delayedUntil, p.shutUntil = sentSince, nothingDelayed, nothingDelayed
}

// earliest returns the earliest time at which the client may have sent the input.
func (p *pendingInput) earliest() policy.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentSince
}

// earliestAt is like earliest for input of which the last part arrived at a time, after the connection was
// drained.
func (p *pendingInput) earliestAt(arrivedAt policy.Time) policy.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if arrivedAt <= p.delayedUntil {
		return p.sentSince
	}
	return max(p.sentSince, arrivedAt)
}

// mayBeDelayed reports whether input that arrives now may have been held back.
func (p *pendingInput) mayBeDelayed(now policy.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now <= p.delayedUntil
}

// markDrained records that no input was in the kernel at a time.
func (p *pendingInput) markDrained(at policy.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at > p.delayedUntil {
		p.sentSince = at
	}
}

// mayHideClose reports whether the client may have closed the connection at a time without a trace, because
// its system holds the close back.
func (p *pendingInput) mayHideClose(at policy.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return at <= p.shutUntil
}

// markWindowShut records that the receive window may have been shut since a time. If that is long ago, input
// that was sent since then may arrive later.
func (p *pendingInput) markWindowShut(since, now policy.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shutUntil = delayedUntilDrained
	if now-since > arrivalResolution {
		p.sentSince, p.delayedUntil = since, delayedUntilDrained
	}
}

// recordDrain records that the reader has read all input of the kernel, so that the client's system sends
// what it has held back.
func (p *pendingInput) recordDrain(now policy.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shutUntil == delayedUntilDrained {
		p.shutUntil = now + maxInputDelay
	}
	if p.delayedUntil == delayedUntilDrained {
		p.delayedUntil = now + maxInputDelay
	}
	if now > p.delayedUntil {
		p.sentSince = now
	}
}
