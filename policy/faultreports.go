package policy

import "math"

const faultDecay = 8 * second // fault reports decay with this time constant

// faultSubject is the class or the plan for which a backend has a fault, as encoded in gossip messages.
// Classes count up from 0 and plans count down from the largest byte, because the number of classes may
// differ between gateways during a reload.
type faultSubject byte

func classSubject(class int) faultSubject { return faultSubject(class) }
func planSubject(plan int) faultSubject   { return faultSubject(math.MaxUint8 - plan) }

// faultReports counts the faults of one backend by class and plan, as reported by all gateways. Each report
// decays with the time constant faultDecay.
type faultReports struct {
	byClass, byPlan []decayingSum
}

func newFaultReports(classes, plans int) faultReports {
	return faultReports{byClass: make([]decayingSum, classes), byPlan: make([]decayingSum, plans)}
}

// add counts a report. A report for a class or plan that is unknown to this gateway is ignored.
func (r *faultReports) add(now Time, subject faultSubject) {
	if plan := math.MaxUint8 - int(subject); plan < len(r.byPlan) {
		r.byPlan[plan].add(now, faultDecay, 1)
	} else if class := int(subject); class < len(r.byClass) {
		r.byClass[class].add(now, faultDecay, 1)
	}
}

// value returns the decayed number of reports for the class and the plan.
func (r *faultReports) value(now Time, class, plan int) float64 {
	return r.byClass[class].value(now, faultDecay) + r.byPlan[plan].value(now, faultDecay)
}

// renumber moves the reports to new indices of classes and plans. oldClassIndex has the old index of each new
// class, or -1 if there was no class of that name. newPlanIndex has the new index of each old plan, or -1 if
// the plan was removed.
func (r *faultReports) renumber(oldClassIndex, newPlanIndex []int, planCount int) {
	renumbered := newFaultReports(len(oldClassIndex), planCount)
	copyByOldIndex(renumbered.byClass, r.byClass, oldClassIndex)
	for old, plan := range newPlanIndex {
		if plan >= 0 {
			renumbered.byPlan[plan] = r.byPlan[old]
		}
	}
	*r = renumbered
}
