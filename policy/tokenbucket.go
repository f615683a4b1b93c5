package policy

import "math"

// tokenBucket holds units that refill at a rate, in units per second, up to a capacity. Its level may
// be negative.
type tokenBucket struct {
	level, rate, capacity float64
	updatedAt             Time
}

// refill adds the units for the time since the last refill, and returns those that did not fit.
func (b *tokenBucket) refill(now Time) (overflow float64) {
	b.level += b.rate * float64(now-b.updatedAt) / float64(second)
	b.updatedAt = now
	overflow = math.Max(0, b.level-b.capacity)
	b.level = math.Min(b.level, b.capacity)
	return overflow
}

// resize sets the rate and the capacity. The next refill caps the level at the capacity; the new rate applies
// to the whole time since the last refill.
func (b *tokenBucket) resize(rate, capacity float64) { b.rate, b.capacity = rate, capacity }

// deposit adds units up to the capacity.
func (b *tokenBucket) deposit(units float64) { b.level = math.Min(b.capacity, b.level+units) }

// timeUntil returns the time until a level that rises at a rate reaches the units.
func timeUntil(level, rate, units float64) Time {
	const minRate = 1e-3 // units per second
	return Time((units - level) / math.Max(rate, minRate) * float64(second))
}
