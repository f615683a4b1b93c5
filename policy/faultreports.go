package policy

import "math"

const faultDecay = 8 * second // the time constant in which a fault report is forgotten

// faultSubject is the class or the plan that a backend has a fault with, as gossip messages number them:
// classes up from 0, plans down from the largest byte, as gateways may differ in the number of classes during
// a reload.
type faultSubject byte

func classSubject(class int) faultSubject { return faultSubject(class) }
func planSubject(plan int) faultSubject   { return faultSubject(math.MaxUint8 - plan) }

// faultReports are the faults of one backend with each class and plan, as all gateways report them. Each
// report decays over faultDecay.
type faultReports struct {
	byClass, byPlan []decayingSum
}

func newFaultReports(classes, plans int) faultReports {
	return faultReports{byClass: make([]decayingSum, classes), byPlan: make([]decayingSum, plans)}
}

// add counts a report. One on a class or plan that is unknown here is ignored.
func (r *faultReports) add(now Time, subject faultSubject) {
	if plan := math.MaxUint8 - int(subject); plan < len(r.byPlan) {
		r.byPlan[plan].add(now, faultDecay, 1)
	} else if class := int(subject); class < len(r.byClass) {
		r.byClass[class].add(now, faultDecay, 1)
	}
}

// value is how many reports of late tell against a request of the class and plan.
func (r *faultReports) value(now Time, class, plan int) float64 {
	return r.byClass[class].value(now, faultDecay) + r.byPlan[plan].value(now, faultDecay)
}

// renumber moves the reports to other numbers of classes and plans: to those of each new class from its old
// index, -1 if there is none, and from each old plan to its new one, -1 if it is gone.
func (r *faultReports) renumber(oldClasses, newPlans []int, planCount int) {
	renumbered := newFaultReports(len(oldClasses), planCount)
	copyByOldIndex(renumbered.byClass, r.byClass, oldClasses)
	for old, plan := range newPlans {
		if plan >= 0 {
			renumbered.byPlan[plan] = r.byPlan[old]
		}
	}
	*r = renumbered
}
