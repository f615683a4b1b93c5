package policy

import (
	"slices"
	"testing"
)

// values returns the decayed reports by class, followed by those by plan.
func (r *faultReports) values(now Time) []float64 {
	var values []float64
	for _, list := range [][]decayingSum{r.byClass, r.byPlan} {
		for i := range list {
			values = append(values, list[i].value(now, faultDecay))
		}
	}
	return values
}

func TestFaultSubjectsOfClassesAndPlansAreDistinct(t *testing.T) {
	const classes, plans = 3, 2
	subjects := []faultSubject{
		classSubject(0), classSubject(1), classSubject(2), planSubject(0), planSubject(1),
	}
	for i, subject := range subjects {
		reports := newFaultReports(classes, plans)
		reports.add(start, subject)
		want := make([]float64, classes+plans)
		want[i] = 1
		if got := reports.values(start); !slices.Equal(got, want) {
			t.Errorf("subject %d: got reports %v, want %v", subject, got, want)
		}
	}
	if got := planSubject(0); got != 255 {
		t.Errorf("subject of the first plan: got %d, want 255", got)
	}
	reports := newFaultReports(classes, plans)
	reports.add(start, classSubject(classes))
	if got := reports.values(start); !slices.Equal(got, make([]float64, classes+plans)) {
		t.Errorf("unknown class: got reports %v, want none", got)
	}
}

func TestFaultReportsDecayByClassAndPlan(t *testing.T) {
	reports := newFaultReports(2, 2)
	reports.add(start, classSubject(1))
	reports.add(start, planSubject(0))
	assertNear(t, "reports of class and plan", reports.value(start, 1, 0), 2)
	assertNear(t, "reports of the class alone", reports.value(start, 1, 1), 1)
	assertNear(t, "neither", reports.value(start, 0, 1), 0)
	if got := reports.value(start+10*faultDecay, 1, 0); got > 0.001 {
		t.Errorf("got %g after ten time constants, want almost 0", got)
	}
}

func TestFaultReportsFollowRenumberedClassesAndPlans(t *testing.T) {
	reports := newFaultReports(2, 2)
	reports.add(start, classSubject(1))
	reports.add(start, planSubject(0))
	reports.renumber([]int{1, -1, 0}, []int{2, -1}, 3)
	if got, want := reports.values(start), []float64{1, 0, 0, 0, 0, 1}; !slices.Equal(got, want) {
		t.Errorf("after renumbering: got %v, want %v", got, want)
	}
}
