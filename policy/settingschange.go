package policy

import "slices"

// settingsChange maps the indices of classes and plans before a reload to those after it. Every class and
// plan that is still needed has a new index.
type settingsChange struct {
	newClassIndex, newPlanIndex []int // the new index of each old class and plan; -1 if no longer needed
	oldClassIndex               []int // the old index of each new class; -1 if there was none of that name
}

// matchSettings matches the classes and plans of new settings with the current ones, by name. It appends to
// the new settings the removed or changed classes that open requests need, and the removed plans that
// customers need.
func matchSettings(current, settings *Settings, needsClass, needsPlan func(index int) bool) settingsChange {
	classes := matchClasses(current, settings, needsClass)
	return settingsChange{
		newClassIndex: classes,
		newPlanIndex:  matchPlans(current, settings, needsPlan),
		oldClassIndex: oldClassIndices(current.Classes, settings.Classes, classes),
	}
}

// matchClasses returns the new index of each current class. A class of the same name that differs in any
// other field is no match.
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

// matchPlans returns the new index of each current plan. A plan of the same name replaces the current one.
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

// oldClassIndices returns the old index of each new class: by the indices from matchClasses, or else by
// name.
func oldClassIndices(old, classes []Class, newIndices []int) []int {
	indices := make([]int, len(classes))
	for i := range indices {
		if indices[i] = slices.Index(newIndices, i); indices[i] < 0 {
			indices[i] = indexByName(old, className, classes[i].Name)
		}
	}
	return indices
}

// copyByOldIndex copies items of from into to: oldIndices has the index in from of each item of to. Items of
// to whose old index is -1 stay as they are.
func copyByOldIndex[T any](to, from []T, oldIndices []int) {
	for i, old := range oldIndices {
		if old >= 0 {
			to[i] = from[old]
		}
	}
}

// indexByName returns the index of the item with the given name, or -1 if there is none.
func indexByName[T any](items []T, nameOf func(*T) string, name string) int {
	return slices.IndexFunc(items, func(item T) bool { return nameOf(&item) == name })
}

func className(class *Class) string { return class.Name }
func planName(plan *Plan) string    { return plan.Name }

// retainRestartOnly copies the settings that only a restart can change from the current settings. It also
// clones the lists of classes and plans, because matchSettings appends to them.
func (s *Settings) retainRestartOnly(current *Settings) {
	s.Self, s.Gateways, s.Zone = current.Self, current.Gateways, current.Zone
	s.PollEndpoints, s.LoadReport = current.PollEndpoints, current.LoadReport
	s.Gossip, s.SharedCounter = current.Gossip, current.SharedCounter
	s.MeterPeriod = current.MeterPeriod
	s.Classes, s.Plans = slices.Clone(s.Classes), slices.Clone(s.Plans)
}

// shortestObjective returns the shortest latency objective of all classes.
func (s *Settings) shortestObjective() Time {
	shortest := s.Classes[0].LatencyObjective
	for i := range s.Classes {
		shortest = min(shortest, s.Classes[i].LatencyObjective)
	}
	return shortest
}
