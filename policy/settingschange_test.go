package policy

import (
	"slices"
	"testing"
)

func TestMatchSettingsByName(t *testing.T) {
	current, settings := namedSettings(), namedSettings()
	settings.Classes = []Class{{Name: "new"}, settings.Classes[1], {Name: "c"}} // a is removed, c is changed
	settings.Plans = []Plan{settings.Plans[2], {Name: "p", Rate: 99}}           // q is removed, p is changed
	for _, c := range []struct {
		name           string
		needed         bool
		classes, plans []int
		oldClasses     []int
	}{
		{
			name: "needed", needed: true,
			classes: []int{3, 1, 4}, plans: []int{1, 2, 0}, oldClasses: []int{-1, 1, 2, 0, 2},
		},
		{
			name:    "not needed",
			classes: []int{-1, 1, -1}, plans: []int{1, -1, 0}, oldClasses: []int{-1, 1, 2},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := settings
			changed.Classes, changed.Plans = slices.Clone(settings.Classes), slices.Clone(settings.Plans)
			isNeeded := func(int) bool { return c.needed }
			got := matchSettings(&current, &changed, isNeeded, isNeeded)
			if !slices.Equal(got.newClassIndex, c.classes) || !slices.Equal(got.newPlanIndex, c.plans) {
				t.Errorf("got classes %v, plans %v; want %v, %v",
					got.newClassIndex, got.newPlanIndex, c.classes, c.plans)
			}
			if !slices.Equal(got.oldClassIndex, c.oldClasses) || len(changed.Classes) != len(c.oldClasses) {
				t.Errorf("got old classes %v of %d, want %v",
					got.oldClassIndex, len(changed.Classes), c.oldClasses)
			}
		})
	}
}

func TestRetainRestartOnlyKeepsSettingsThatNeedRestart(t *testing.T) {
	current, changed := namedSettings(), namedSettings()
	changed.Gateways, changed.Zone, changed.Gossip, changed.MaxAttempts = 9, 1, false, 7
	changed.retainRestartOnly(&current)
	if changed.Gateways != current.Gateways || changed.Zone != current.Zone || !changed.Gossip {
		t.Errorf("got %d gateways, zone %d, gossip %t; want the current ones",
			changed.Gateways, changed.Zone, changed.Gossip)
	}
	if changed.MaxAttempts != 7 {
		t.Errorf("got %d attempts, want the number in the new settings", changed.MaxAttempts)
	}
	changed.Classes[0].Name = "changed"
	if current.Classes[0].Name != "a" {
		t.Error("a change of the new settings changed the current ones")
	}
}

func TestShortestObjectiveOfAllClasses(t *testing.T) {
	settings := namedSettings()
	settings.Classes[2].LatencyObjective = second / 10
	if got := settings.shortestObjective(); got != second/10 {
		t.Errorf("got %d, want %d", got, second/10)
	}
}
