package policy

import "math"

// tokenBucket holds units that refill at a rate in units a second, up to a capacity. Its level may
// be negative.
type tokenBucket struct {
	level, rate, capacity float64
	updatedAt             Time
}

// refill brings the level up to now and returns the units that did not fit.
func (b *tokenBucket) refill(now Time) (overflow float64) {
	b.level += b.rate * float64(now-b.updatedAt) / float64(second)
	b.updatedAt = now
	overflow = math.Max(0, b.level-b.capacity)
	b.level = math.Min(b.level, b.capacity)
	return overflow
}

// resize sets the rate and the capacity. The level changes with the next refill.
func (b *tokenBucket) resize(rate, capacity float64) { b.rate, b.capacity = rate, capacity }

// deposit adds units as far as they fit.
func (b *tokenBucket) deposit(units float64) { b.level = math.Min(b.capacity, b.level+units) }

// timeUntil is the time until a level that rises at a rate reaches the units.
func timeUntil(level, rate, units float64) Time {
	const minRate = 1e-3 // units a second
	return Time((units - level) / math.Max(rate, minRate) * float64(second))
}
