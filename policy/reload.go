package policy

import (
	"math"
	"slices"
)

const demandWindowFraction = 0.5 // the demand window, in times in which a plan's burst refills

// Reload puts other settings in force. Classes and plans are matched by name, as their indices may
// change. A class that is gone or has changed stays after the new ones, as it was, while requests of
// it are open; so does a plan that is gone while customers have it. Only a restart can change the
// gateways and how they hear of each other: those settings stay as they are.
func (g *Controller) Reload(now Time, settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	g.advanceClock(now)
	g.retainFixedSettings(&settings)
	classes, plans := g.mapClasses(&settings), g.mapPlans(&settings)
	if err := settings.validate(); err != nil {
		return err // what must be kept does not fit
	}
	g.renumberClasses(&settings, classes)
	g.renumberPlans(&settings, plans)
	g.renumberRequests(classes, plans)
	for _, customer := range g.customerOrder {
		g.refillBuckets(customer) // at the old rate
	}
	g.settings = settings
	g.deriveFromSettings()
	g.selectSubset()
	g.shared.refill(now)
	g.shared.rate, g.shared.level = sum(g.shared.idleOverflow), math.Min(g.shared.level, g.shared.capacity)
	for _, customer := range g.customerOrder {
		g.applyPlan(customer, plans[customer.plan])
	}
	return nil
}

// retainFixedSettings copies what only a restart can change from the settings in force. It also copies
// the lists, which are appended to.
func (g *Controller) retainFixedSettings(settings *Settings) {
	old := &g.settings
	settings.Self, settings.Gateways, settings.Zone = old.Self, old.Gateways, old.Zone
	settings.PollEndpoints, settings.LoadReport = old.PollEndpoints, old.LoadReport
	settings.Gossip, settings.SharedCounter = old.Gossip, old.SharedCounter
	settings.MeterPeriod = old.MeterPeriod
	settings.Classes, settings.Plans = slices.Clone(settings.Classes), slices.Clone(settings.Plans)
}

// applyPlan gives a customer the plan of that index. Its bucket holds no more than before: a larger
// burst fills at the plan's rate.
func (g *Controller) applyPlan(customer *customer, planIndex int) {
	plan := &g.settings.Plans[planIndex]
	customer.plan = planIndex
	customer.bucket.resize(plan.Rate, plan.Burst)
	customer.bucket.level = math.Min(customer.bucket.level, plan.Burst)
	g.limitToCoordinatorShare(customer)
	customer.demandWindow = g.demandWindow(plan, customer.replicas)
}

// indexByName is the index of the item of that name; -1: none.
func indexByName[T any](items []T, nameOf func(*T) string, name string) int {
	return slices.IndexFunc(items, func(item T) bool { return nameOf(&item) == name })
}

func className(class *Class) string { return class.Name }
func planName(plan *Plan) string    { return plan.Name }

// mapClasses returns the new index of each class, -1 where nothing needs it any more. It appends
// the classes that open requests still need to the new settings.
func (g *Controller) mapClasses(settings *Settings) []int {
	configured := len(settings.Classes)
	indices := make([]int, len(g.settings.Classes))
	for i, class := range g.settings.Classes {
		indices[i] = indexByName(settings.Classes[:configured], className, class.Name)
		if indices[i] >= 0 && settings.Classes[indices[i]] == class {
			continue
		}
		indices[i] = -1
		if g.hasRequestOf(i) {
			indices[i] = len(settings.Classes)
			settings.Classes = append(settings.Classes, class)
		}
	}
	return indices
}

// mapPlans is the same for plans, which are needed while customers have them.
func (g *Controller) mapPlans(settings *Settings) []int {
	indices := make([]int, len(g.settings.Plans))
	for i, plan := range g.settings.Plans {
		indices[i] = indexByName(settings.Plans, planName, plan.Name)
		hasPlan := func(customer *customer) bool { return customer.plan == i }
		if indices[i] < 0 && slices.ContainsFunc(g.customerOrder, hasPlan) {
			indices[i] = len(settings.Plans)
			settings.Plans = append(settings.Plans, plan)
		}
	}
	return indices
}

func (g *Controller) hasRequestOf(class int) bool {
	found := false
	g.eachRequest(func(request *request) { found = found || request.Class == class })
	return found
}

// eachRequest calls do for each open request, this process's and the predecessor's.
func (g *Controller) eachRequest(do func(*request)) {
	for _, requests := range []map[uint64]*request{g.requests, g.predecessorRequests} {
		for _, request := range requests {
			do(request)
		}
	}
}

func (g *Controller) renumberRequests(classes, plans []int) {
	g.eachRequest(func(request *request) {
		request.Class, request.Plan = classes[request.Class], plans[request.Plan]
	})
}

// renumberClasses moves the state of each class to its new index. What was learnt of a class holds
// for the class of its name, whatever else of it has changed.
func (g *Controller) renumberClasses(settings *Settings, classes []int) {
	count := len(settings.Classes)
	latency, withinObjective := make([]movingAverage, count), make([][]*attempt, count)
	oldIndices := g.oldClassIndices(settings, classes)
	pickFrom(latency, g.latency.byClass, oldIndices)
	for i, attempts := range g.withinObjective {
		if class := classes[i]; class >= 0 {
			withinObjective[class] = append(withinObjective[class], attempts...)
			slices.SortStableFunc(withinObjective[class], bySendTime)
		}
	}
	for i, row := range g.clientTimeouts {
		g.clientTimeouts[i] = make([]movingAverage, count)
		pickFrom(g.clientTimeouts[i], row, oldIndices)
	}
	for _, backend := range g.backends {
		faults := make([]decayingSum, count+len(g.settings.Plans))
		pickFrom(faults[:count], backend.faults, oldIndices)
		copy(faults[count:], backend.faults[len(g.settings.Classes):])
		backend.faults = faults
	}
	g.latency.byClass, g.withinObjective = latency, withinObjective
	g.gossip.faults = nil // they name classes by their old index
}

// oldClassIndices is the inverse of the indices from mapClasses, completed by name; -1: new.
func (g *Controller) oldClassIndices(settings *Settings, classes []int) []int {
	indices := make([]int, len(settings.Classes))
	for i := range indices {
		if indices[i] = slices.Index(classes, i); indices[i] < 0 {
			indices[i] = indexByName(g.settings.Classes, className, settings.Classes[i].Name)
		}
	}
	return indices
}

// pickFrom sets each item of to from the one at its old index in from, if that is not -1.
func pickFrom[T any](to, from []T, oldIndices []int) {
	for i, old := range oldIndices {
		if old >= 0 {
			to[i] = from[old]
		}
	}
}

// renumberPlans moves the state of each plan to its new index, once the classes have theirs.
func (g *Controller) renumberPlans(settings *Settings, plans []int) {
	timeouts, overflow := make([][]movingAverage, len(settings.Plans)), make([]float64, len(settings.Plans))
	for plan := range timeouts {
		timeouts[plan] = make([]movingAverage, len(settings.Classes))
		if old := slices.Index(plans, plan); old >= 0 {
			copy(timeouts[plan], g.clientTimeouts[old])
		}
	}
	for old, plan := range plans {
		if oldRate := g.settings.Plans[old].Rate; plan >= 0 && oldRate > 0 {
			overflow[plan] += g.shared.idleOverflow[old] * settings.Plans[plan].Rate / oldRate
		}
	}
	for _, backend := range g.backends {
		faults := make([]decayingSum, len(settings.Classes)+len(settings.Plans))
		copy(faults, backend.faults[:len(settings.Classes)])
		for old, plan := range plans {
			if plan >= 0 {
				faults[len(settings.Classes)+plan] = backend.faults[len(settings.Classes)+old]
			}
		}
		backend.faults = faults
	}
	g.clientTimeouts, g.shared.idleOverflow = timeouts, overflow
}

// deriveFromSettings computes what follows from the settings alone.
func (g *Controller) deriveFromSettings() {
	g.gossip.period = minGossipPeriod
	if g.settings.GossipPerSecond > 0 {
		g.gossip.period = max(g.gossip.period, g.receiveTime(min(g.settings.Gateways-1, maxFullMeshPeers)))
	}
	g.shortestObjective = g.settings.Classes[0].LatencyObjective
	for _, class := range g.settings.Classes {
		g.shortestObjective = min(g.shortestObjective, class.LatencyObjective)
	}
	g.shared.capacity = 0
	for _, plan := range g.settings.Plans {
		if plan.overagePays() {
			g.shared.capacity = math.Max(g.shared.capacity, plan.Burst)
		}
	}
}

// demandWindow is the time constant in which the demand of a plan's customers is measured.
func (g *Controller) demandWindow(plan *Plan, replicas int) Time {
	if plan.Rate <= 0 {
		return second
	}
	return max(Time(demandWindowFraction*plan.Burst/plan.Rate*float64(second)), g.receiveTime(replicas))
}
