package testfill

import (
	"reflect"
	"testing"
)

// leaf is a struct that is nested in tree.
type leaf struct {
	Name  string
	Count uint8
}

// tree has a field of each kind that Numbered fills.
type tree struct {
	Set    bool
	Rate   float64
	Leaves []leaf
	Next   *leaf
	Pair   [2]int
	Serial uint64
}

func TestNumberedGivesEachFieldItsOwnValue(t *testing.T) {
	want := tree{
		Set: true, Rate: 2.5,
		Leaves: []leaf{{Name: "text-da", Count: 4}, {Name: "text-fa", Count: 6}},
		Next:   &leaf{Name: "text-ha", Count: 8}, Pair: [2]int{9, 10}, Serial: 11,
	}
	if got := Numbered[tree](Letters); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestNumberedWrapsUnsignedValues(t *testing.T) {
	many := Numbered[[300]uint8](Letters)
	if many[254] != 255 || many[255] != 0 || many[256] != 1 {
		t.Errorf("after 254: %d, want 255, 0, 1", many[254:257])
	}
	wide := Numbered[[300]uint64](Letters)
	if wide[299] != 300 {
		t.Errorf("got %d, want 300", wide[299])
	}
	limited := Numbered[[300]uint64](Style{Modulus: 251})
	if limited[250] != 0 || limited[251] != 1 {
		t.Errorf("after 250: %d, want 0, 1", limited[250:252])
	}
}
