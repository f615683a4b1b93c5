package policy

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
	change := matchSettings(&c.settings, &settings, c.requests.hasClass, c.customers.hasPlan)
	if err := settings.validate(); err != nil {
		return err // what must be kept does not fit
	}
	c.renumber(&settings, &change)
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer) // at the old rate
	}
	c.settings = settings
	c.deriveFromSettings()
	c.backends.selectSubset(c.settings.Self, c.settings.Gateways, c.settings.HandshakePrice)
	c.sharedBucket.updateRate(now)
	c.sharedBucket.limitToCapacity()
	for _, customer := range c.customers.inOrder {
		customer.setPlan(&c.sharing, change.plans[customer.plan])
	}
	return nil
}

// renumber moves all state to the indices that classes and plans have in the new settings. What was learnt of
// a class holds for the class of its name, whatever else of it has changed.
func (c *Controller) renumber(settings *Settings, change *settingsChange) {
	classCount, planCount := len(settings.Classes), len(settings.Plans)
	c.latency.renumber(change.oldClasses)
	c.clientTimeouts.renumberClasses(change.oldClasses)
	c.clientTimeouts = c.clientTimeouts.renumberPlans(planCount, classCount, change.plans)
	c.backends.renumberFaults(change.oldClasses, change.plans, planCount)
	c.requests.renumber(change.classes, change.plans, classCount)
	c.sharedBucket.renumberPlans(c.settings.Plans, settings.Plans, change.plans)
	c.gossip.dropFaults() // they name classes by their old index
}

// deriveFromSettings computes what follows from the settings alone.
func (c *Controller) deriveFromSettings() {
	c.sharing = newQuotaSharing(&c.settings)
	c.slowStart = c.settings.slowStartParameters()
	c.shortestObjective = c.settings.shortestObjective()
	c.sharedBucket.setCapacity(c.settings.Plans)
}
