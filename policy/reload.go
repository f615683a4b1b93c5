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
	c.retainFixedSettings(&settings)
	classes, plans := c.mapClasses(&settings), c.mapPlans(&settings)
	if err := settings.validate(); err != nil {
		return err // what must be kept does not fit
	}
	c.renumberClasses(&settings, classes)
	c.renumberPlans(&settings, plans)
	c.renumberRequests(classes, plans)
	c.backends.renumberFaults(c.oldClassIndices(&settings, classes), plans, len(settings.Plans))
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer) // at the old rate
	}
	c.settings = settings
	c.deriveFromSettings()
	c.selectSubset()
	c.shared.updateRate(now)
	c.shared.limitToCapacity()
	for _, customer := range c.customers.inOrder {
		customer.setPlan(&c.sharing, plans[customer.plan])
	}
	return nil
}

// retainFixedSettings copies what only a restart can change from the settings in force. It also copies
// the lists, which are appended to.
func (c *Controller) retainFixedSettings(settings *Settings) {
	old := &c.settings
	settings.Self, settings.Gateways, settings.Zone = old.Self, old.Gateways, old.Zone
	settings.PollEndpoints, settings.LoadReport = old.PollEndpoints, old.LoadReport
	settings.Gossip, settings.SharedCounter = old.Gossip, old.SharedCounter
	settings.MeterPeriod = old.MeterPeriod
	settings.Classes, settings.Plans = slices.Clone(settings.Classes), slices.Clone(settings.Plans)
}

// indexByName is the index of the item of that name; -1: none.
func indexByName[T any](items []T, nameOf func(*T) string, name string) int {
	return slices.IndexFunc(items, func(item T) bool { return nameOf(&item) == name })
}

func className(class *Class) string { return class.Name }
func planName(plan *Plan) string    { return plan.Name }

// mapClasses returns the new index of each class, -1 where nothing needs it any more. It appends
// the classes that open requests still need to the new settings.
func (c *Controller) mapClasses(settings *Settings) []int {
	configured := len(settings.Classes)
	indices := make([]int, len(c.settings.Classes))
	for i, class := range c.settings.Classes {
		indices[i] = indexByName(settings.Classes[:configured], className, class.Name)
		if indices[i] >= 0 && settings.Classes[indices[i]] == class {
			continue
		}
		indices[i] = -1
		if c.hasRequestOf(i) {
			indices[i] = len(settings.Classes)
			settings.Classes = append(settings.Classes, class)
		}
	}
	return indices
}

// mapPlans is the same for plans, which are needed while customers have them.
func (c *Controller) mapPlans(settings *Settings) []int {
	indices := make([]int, len(c.settings.Plans))
	for i, plan := range c.settings.Plans {
		indices[i] = indexByName(settings.Plans, planName, plan.Name)
		if indices[i] < 0 && c.customers.hasPlan(i) {
			indices[i] = len(settings.Plans)
			settings.Plans = append(settings.Plans, plan)
		}
	}
	return indices
}

func (c *Controller) hasRequestOf(class int) bool {
	found := false
	c.eachRequest(func(request *request) { found = found || request.Class == class })
	return found
}

// eachRequest calls do for each open request, this process's and the predecessor's.
func (c *Controller) eachRequest(do func(*request)) {
	for _, requests := range []map[uint64]*request{c.requests.byID, c.requests.ofPredecessor} {
		for _, request := range requests {
			do(request)
		}
	}
}

func (c *Controller) renumberRequests(classes, plans []int) {
	c.eachRequest(func(request *request) {
		request.Class, request.Plan = classes[request.Class], plans[request.Plan]
	})
}

// renumberClasses moves the state of each class to its new index. What was learnt of a class holds
// for the class of its name, whatever else of it has changed.
func (c *Controller) renumberClasses(settings *Settings, classes []int) {
	count := len(settings.Classes)
	withinObjective := make([][]*attempt, count)
	oldIndices := c.oldClassIndices(settings, classes)
	c.latency.renumber(oldIndices)
	for i, attempts := range c.requests.withinObjective {
		if class := classes[i]; class >= 0 {
			withinObjective[class] = append(withinObjective[class], attempts...)
			slices.SortStableFunc(withinObjective[class], bySendTime)
		}
	}
	c.clientTimeouts.renumberClasses(oldIndices)
	c.requests.withinObjective = withinObjective
	c.gossip.dropFaults() // they name classes by their old index
}

// oldClassIndices is the inverse of the indices from mapClasses, completed by name; -1: new.
func (c *Controller) oldClassIndices(settings *Settings, classes []int) []int {
	indices := make([]int, len(settings.Classes))
	for i := range indices {
		if indices[i] = slices.Index(classes, i); indices[i] < 0 {
			indices[i] = indexByName(c.settings.Classes, className, settings.Classes[i].Name)
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
func (c *Controller) renumberPlans(settings *Settings, plans []int) {
	c.clientTimeouts = c.clientTimeouts.renumberPlans(len(settings.Plans), len(settings.Classes), plans)
	c.shared.renumberPlans(c.settings.Plans, settings.Plans, plans)
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
