package policy

import "math"

const (
	fleetSampleWeight = 0.02 // weight of a sample in averages over all backends
	sampleWeight      = 0.1  // weight of a sample in all other averages
)

// decayingSum is a sum whose terms decay exponentially with age. Each call passes the time constant, which
// must be the same in all calls.
type decayingSum struct {
	sum       float64
	updatedAt Time
}

// value returns the sum, and stores it as decayed until now. A time before the last update changes nothing.
func (d *decayingSum) value(now, timeConstant Time) float64 {
	if now > d.updatedAt {
		d.sum *= math.Exp(-float64(now-d.updatedAt) / float64(timeConstant))
		d.updatedAt = now
	}
	return d.sum
}

func (d *decayingSum) add(now, timeConstant Time, x float64) {
	d.sum = d.value(now, timeConstant) + x
}

// movingAverage is the plain average of its first samples. It becomes an exponentially weighted average
// (EWMA) once the given weight of a sample exceeds its weight in the plain average.
type movingAverage struct{ value, samples float64 }

func (m *movingAverage) add(x, weight float64) {
	m.samples++
	m.value += math.Max(weight, 1/m.samples) * (x - m.value)
}
