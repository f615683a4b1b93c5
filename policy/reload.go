package policy

import "slices"

// Reload puts other settings in force. Classes and plans are matched by name, as their indices may
// change. A class that is gone or has changed stays after the new ones, as it was, while requests of
// it are open; so does a plan that is gone while customers have it. Only a restart can change the
// gateways and how they hear of each other: those settings stay as they are.
func (c *Controller) Reload(now Time, settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	c.advanceClock(now)
	settings.retainFixed(&c.settings)
	classes := mapClasses(c.settings.Classes, &settings, c.requests.hasClass)
	plans := mapPlans(c.settings.Plans, &settings, c.customers.hasPlan)
	if err := settings.validate(); err != nil {
		return err // what must be kept does not fit
	}
	c.renumber(&settings, classes, plans)
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer) // at the old rate
	}
	c.settings = settings
	c.deriveFromSettings()
	c.backends.selectSubset(c.settings.Self, c.settings.Gateways, c.settings.HandshakePrice)
	c.shared.updateRate(now)
	c.shared.limitToCapacity()
	for _, customer := range c.customers.inOrder {
		customer.setPlan(&c.sharing, plans[customer.plan])
	}
	return nil
}

// renumber moves all state to the indices that classes and plans have in the new settings, given by their
// index until now. What was learnt of a class holds for the class of its name, whatever else of it has
// changed.
func (c *Controller) renumber(settings *Settings, classes, plans []int) {
	oldClasses := oldClassIndices(c.settings.Classes, settings.Classes, classes)
	c.latency.renumber(oldClasses)
	c.clientTimeouts.renumberClasses(oldClasses)
	c.clientTimeouts = c.clientTimeouts.renumberPlans(len(settings.Plans), len(settings.Classes), plans)
	c.backends.renumberFaults(oldClasses, plans, len(settings.Plans))
	c.requests.renumber(classes, plans, len(settings.Classes))
	c.shared.renumberPlans(c.settings.Plans, settings.Plans, plans)
	c.gossip.dropFaults() // they name classes by their old index
}

// retainFixed copies what only a restart can change from the settings in force. It also copies the lists,
// which are appended to.
func (s *Settings) retainFixed(inForce *Settings) {
	s.Self, s.Gateways, s.Zone = inForce.Self, inForce.Gateways, inForce.Zone
	s.PollEndpoints, s.LoadReport = inForce.PollEndpoints, inForce.LoadReport
	s.Gossip, s.SharedCounter = inForce.Gossip, inForce.SharedCounter
	s.MeterPeriod = inForce.MeterPeriod
	s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
}

// indexByName is the index of the item of that name; -1: none.
func indexByName[T any](items []T, nameOf func(*T) string, name string) int {
	return slices.IndexFunc(items, func(item T) bool { return nameOf(&item) == name })
}

func className(class *Class) string { return class.Name }
func planName(plan *Plan) string    { return plan.Name }

// mapClasses returns the new index of each old class, -1 where nothing needs it any more. It appends
// those that are still needed, by open requests, to the new settings.
func mapClasses(old []Class, settings *Settings, isNeeded func(class int) bool) []int {
	configured := len(settings.Classes)
	indices := make([]int, len(old))
	for i, class := range old {
		indices[i] = indexByName(settings.Classes[:configured], className, class.Name)
		if indices[i] >= 0 && settings.Classes[indices[i]] == class {
			continue
		}
		indices[i] = -1
		if isNeeded(i) {
			indices[i] = len(settings.Classes)
			settings.Classes = append(settings.Classes, class)
		}
	}
	return indices
}

// mapPlans is the same for plans, which are needed while customers have them.
func mapPlans(old []Plan, settings *Settings, isNeeded func(plan int) bool) []int {
	indices := make([]int, len(old))
	for i, plan := range old {
		indices[i] = indexByName(settings.Plans, planName, plan.Name)
		if indices[i] < 0 && isNeeded(i) {
			indices[i] = len(settings.Plans)
			settings.Plans = append(settings.Plans, plan)
		}
	}
	return indices
}

// oldClassIndices is the inverse of the indices from mapClasses, completed by name; -1: new.
func oldClassIndices(old, classes []Class, newIndices []int) []int {
	indices := make([]int, len(classes))
	for i := range indices {
		if indices[i] = slices.Index(newIndices, i); indices[i] < 0 {
			indices[i] = indexByName(old, className, classes[i].Name)
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

// deriveFromSettings computes what follows from the settings alone.
func (c *Controller) deriveFromSettings() {
	c.sharing = newQuotaSharing(&c.settings)
	c.shortestObjective = c.settings.Classes[0].LatencyObjective
	c.slowStart = c.settings.slowStartParameters()
	for _, class := range c.settings.Classes {
		c.shortestObjective = min(c.shortestObjective, class.LatencyObjective)
	}
	c.shared.fitTo(c.settings.Plans)
}
