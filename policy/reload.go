package policy

// Reload replaces the settings. Classes and plans are matched by name, because their indices may
// change. If requests of a removed or changed class are open, the old class is kept after the new
// classes. A removed plan is kept after the new plans if customers have it. The settings of the
// gateways and of how they communicate, which only a restart can change, keep their values. If the
// settings are invalid, Reload returns a SettingsError and keeps the current ones.
func (c *Controller) Reload(now Time, settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	c.advanceClock(now)
	settings.retainRestartOnly(&c.settings)
	change := matchSettings(&c.settings, &settings, c.requests.hasClass, c.customers.hasPlan)
	if err := settings.validate(); err != nil {
		return err // too many classes and plans with those that are kept
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
		customer.setPlan(&c.sharing, change.newPlanIndex[customer.plan])
	}
	return nil
}

// renumber moves all state to the indices that classes and plans have in the new settings. Measurements of a
// class stay with the class of the same name, even if its settings have changed.
func (c *Controller) renumber(settings *Settings, change *settingsChange) {
	classCount, planCount := len(settings.Classes), len(settings.Plans)
	c.latency.renumber(change.oldClassIndex)
	c.clientTimeouts.renumberClasses(change.oldClassIndex)
	c.clientTimeouts = c.clientTimeouts.renumberPlans(planCount, classCount, change.newPlanIndex)
	c.backends.renumberFaults(change.oldClassIndex, change.newPlanIndex, planCount)
	c.requests.renumber(change.newClassIndex, change.newPlanIndex, classCount)
	c.sharedBucket.renumberPlans(c.settings.Plans, settings.Plans, change.newPlanIndex)
	c.gossip.dropFaults() // they refer to classes by their old indices
}

// deriveFromSettings computes the state that depends on the settings alone.
func (c *Controller) deriveFromSettings() {
	c.sharing = newQuotaSharing(&c.settings)
	c.slowStart = c.settings.slowStartParameters()
	c.shortestObjective = c.settings.shortestObjective()
	c.sharedBucket.setCapacity(c.settings.Plans)
}
