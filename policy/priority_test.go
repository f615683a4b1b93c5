package policy

import "testing"

func TestRecordPriorityOpensCapacityByPriority(t *testing.T) {
	var average priorityAverage
	for range 1000 {
		average.recordPriority(20, 10)
	}
	cases := []struct {
		name           string
		priority, want float64
	}{
		{"none", 0, baseCapacityShare},
		{"half of the average", 1, 0.75},
		{"the average", 2, 1},
		{"above the maximum", 40, baseCapacityShare + (1-baseCapacityShare)*maxRelativePriority},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			copied := average
			got := copied.recordPriority(10*c.priority, 10)
			if difference := got - c.want; difference < -0.02 || difference > 0.02 {
				t.Errorf("open share %g, want about %g", got, c.want)
			}
		})
	}
}

func TestFirstPrioritySetsAverage(t *testing.T) {
	var average priorityAverage
	assertNear(t, "open share", average.recordPriority(3, 1), 1)
	assertNear(t, "open share with unknown latency", average.recordPriority(1, 0), 1)
	assertNear(t, "open share, no priority", new(priorityAverage).recordPriority(0, 1), baseCapacityShare)
}
