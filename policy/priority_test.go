package policy

import "testing"

func TestMoreOfTheCapacityIsOpenToHigherPriorities(t *testing.T) {
	var average priorityAverage
	for range 1000 {
		average.openCapacity(20, 10)
	}
	cases := []struct {
		name           string
		priority, want float64
	}{
		{"none", 0, baseCapacityShare},
		{"half of the average", 1, 0.75},
		{"the average", 2, 1},
		{"the most that counts", 40, baseCapacityShare + (1-baseCapacityShare)*maxRelativePriority},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			copied := average
			got := copied.openCapacity(10*c.priority, 10)
			if difference := got - c.want; difference < -0.02 || difference > 0.02 {
				t.Errorf("open part %g, want about %g", got, c.want)
			}
		})
	}
}

func TestFirstPriorityIsTheAverage(t *testing.T) {
	var average priorityAverage
	assertNear(t, "open part", average.openCapacity(3, 1), 1)
	assertNear(t, "open part without a known latency", average.openCapacity(1, 0), 1)
	assertNear(t, "open part without a priority", new(priorityAverage).openCapacity(0, 1), baseCapacityShare)
}
