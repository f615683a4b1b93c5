package policy

import "slices"

// settingsChange says where classes and plans stand before and after a reload. Every class and plan that
// something still needs has a new index.
type settingsChange struct {
	classes, plans []int // the new index by the old one; -1: nothing needs it any more
	oldClasses     []int // the old index of a class by the new one; -1: it is new
}

// matchSettings matches the classes and plans of new settings with those in force, by name. It appends those
// to the new settings that are gone from them, or have changed, and that requests or customers still need.
func matchSettings(current, settings *Settings, needsClass, needsPlan func(index int) bool) settingsChange {
	classes := matchClasses(current, settings, needsClass)
	return settingsChange{
		classes:    classes,
		plans:      matchPlans(current, settings, needsPlan),
		oldClasses: oldClassIndices(current.Classes, settings.Classes, classes),
	}
}

// matchClasses returns the new index of each class. A class with the same name that is not the same otherwise
// is another one.
func matchClasses(current, settings *Settings, isNeeded func(index int) bool) []int {
	configured := len(settings.Classes)
	indices := make([]int, len(current.Classes))
	for i, class := range current.Classes {
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

// matchPlans returns the new index of each plan. A plan of the same name takes the place of the old one.
func matchPlans(current, settings *Settings, isNeeded func(index int) bool) []int {
	indices := make([]int, len(current.Plans))
	for i, plan := range current.Plans {
		indices[i] = indexByName(settings.Plans, planName, plan.Name)
		if indices[i] < 0 && isNeeded(i) {
			indices[i] = len(settings.Plans)
			settings.Plans = append(settings.Plans, plan)
		}
	}
	return indices
}

// oldClassIndices is the inverse of the indices from matchClasses, completed by name.
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
func copyByOldIndex[T any](to, from []T, oldIndices []int) {
	for i, old := range oldIndices {
		if old >= 0 {
			to[i] = from[old]
		}
	}
}

// indexByName is the index of the item of that name; -1: none.
func indexByName[T any](items []T, nameOf func(*T) string, name string) int {
	return slices.IndexFunc(items, func(item T) bool { return nameOf(&item) == name })
}

func className(class *Class) string { return class.Name }
func planName(plan *Plan) string    { return plan.Name }

// retainFixed copies what only a restart can change from the settings in force. It also copies the lists,
// which are appended to.
func (s *Settings) retainFixed(current *Settings) {
	s.Self, s.Gateways, s.Zone = current.Self, current.Gateways, current.Zone
	s.PollEndpoints, s.LoadReport = current.PollEndpoints, current.LoadReport
	s.Gossip, s.SharedCounter = current.Gossip, current.SharedCounter
	s.MeterPeriod = current.MeterPeriod
	s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
}

// shortestObjective is the tightest latency objective of all classes.
func (s *Settings) shortestObjective() Time {
	shortest := s.Classes[0].LatencyObjective
	for i := range s.Classes {
		shortest = min(shortest, s.Classes[i].LatencyObjective)
	}
	return shortest
}
