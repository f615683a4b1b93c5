package policy

import "testing"

func TestMeterReadingSetsShare(t *testing.T) {
	cases := []struct {
		name    string
		period  Time
		rate    float64
		reading int // percentage of the rate plus 1
		want    float64
	}{
		{"a quarter of the usage", second, 10, 81, 0.25},
		{"all of the usage", second, 10, 21, 1},
		{"reading below own usage", second, 10, 1, 1},
		{"no reading", second, 10, 0, 0.5},
		{"no meter", 0, 10, 81, 0.5},
		{"no quota", second, 0, 81, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			meter := usageMeter{share: 0.5}
			meter.recordDemand(second, c.period, 2)
			meter.applyReading(second, c.period, c.rate, c.reading)
			assertNear(t, "share", meter.share, c.want)
		})
	}
}
