package policy

import "math"

// bank is a store of units that fills at a rate up to a cap.
type tokenBucket struct {
	level, rate, capacity float64
	updatedAt             Time
}

// refill brings the level up to now and returns what the full bank spilled.
func (b *tokenBucket) refill(now Time) float64 {
	b.level += b.rate * float64(now-b.updatedAt) / float64(second)
	b.updatedAt = now
	spill := math.Max(0, b.level-b.capacity)
	b.level = math.Min(b.level, b.capacity)
	return spill
}

// fading is a sum whose parts fade with age.
type decayingSum struct {
	sum       float64
	updatedAt Time
}

func (f *decayingSum) value(now, window Time) float64 {
	if now > f.updatedAt {
		f.sum *= math.Exp(-float64(now-f.updatedAt) / float64(window))
		f.updatedAt = now
	}
	return f.sum
}

func (f *decayingSum) add(now, window Time, x float64) { f.sum = f.value(now, window) + x }

// mean is a mean that follows its samples: of all at first, then with a least weight.
type movingAverage struct{ value, samples float64 }

func (m *movingAverage) add(x, weight float64) {
	m.samples++
	m.value += math.Max(weight, 1/m.samples) * (x - m.value)
}

// until is the time until a level holds the units.
func timeUntil(level, rate, units float64) Time {
	return Time((units - level) / math.Max(rate, 1e-3) * float64(second))
}

func sum(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum
}

// step is 1 if it is so, else 0.
func indicator(so bool) float64 {
	if so {
		return 1
	}
	return 0
}
