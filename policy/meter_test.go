package policy

import "testing"

func TestMeterSharesTheQuotaByUse(t *testing.T) {
	cases := []struct {
		name    string
		period  Time
		rate    float64
		reading int // 1 more than the percentage of the rate
		want    float64
	}{
		{"a quarter of the use", second, 10, 81, 0.25},
		{"all of it", second, 10, 21, 1},
		{"a meter that is late", second, 10, 1, 1},
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
