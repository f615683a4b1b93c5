package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"mothcleat/decide"
)

// What the network code does alone as the list grows: docs/CAPACITY.md works with these figures.

// longList is a whole list of so many members in discovery's form.
func longList(n int) []byte {
	list := memberList{Revision: 7, Complete: true}
	for i := range n {
		list.Members = append(list.Members, member{ID: fmt.Sprintf("s-%08x", i+1), HostPort: fmt.Sprintf("127.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255),
			Locality: "a", Cell: i % 7, Phase: "Ready", Size: 1})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return text
}

func BenchmarkReadListByMembers(b *testing.B) {
	for _, n := range []int{46, 830, 8300, 83000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := longList(n)
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				var list memberList
				if err := list.read(json.NewDecoder(bytes.NewReader(text))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// One member has changed: what the loop does with it, module included.
func BenchmarkChangeByMembers(b *testing.B) {
	for _, n := range []int{46, 830, 8300, 83000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := configure(b, newFakeDiscovery(b), nil)
			l, err := newLoop(cfg, quiet())
			if err != nil {
				b.Fatal(err)
			}
			defer l.clients.listener.Close()
			var list memberList
			if err := json.Unmarshal(longList(n), &list); err != nil {
				b.Fatal(err)
			}
			l.backends.members(l, decide.Whole, list.Members)
			one := list.Members[:1]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				one[0].Phase = [...]string{"Ready", "Terminating"}[i%2]
				l.backends.members(l, decide.Changed, one)
			}
		})
	}
}
