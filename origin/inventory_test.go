package origin

import (
	"maps"
	"slices"
	"testing"
)

// TestUnlistedReleaseIsRecorded guards against review/1: the streams of the only release were recorded nowhere, and nothing named it to
// daemons that started after all others had ended.
func TestUnlistedReleaseIsRecorded(t *testing.T) {
	listed := Inventory{Releases: Releases{"s": {"v1"}}}
	cases := []struct {
		name   string
		change func(registry *Registry)
		want   bool
	}{
		{"listed", func(registry *Registry) { registry.SetInventory(listed, at(1)) }, false},
		{"not listed", func(*Registry) {}, true},
		{"of another service", func(registry *Registry) { registry.SetInventory(Inventory{Releases: Releases{"r": {"v1"}}}, at(1)) }, true},
		{"the store lost the inventory", func(registry *Registry) {
			registry.SetInventory(listed, at(1))
			registry.LoseInventory()
		}, true},
		{"it left and came back, and the inventory may have dropped it", func(registry *Registry) {
			registry.SetInventory(listed, at(1))
			registry.SetServing(Releases{}, at(1))
			registry.SetServing(Releases{}, at(1).Add(Retention))
			registry.SetServing(Releases{"s": {"v1"}}, at(2).Add(Retention))
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := New()
			registry.SetServing(Releases{"s": {"v1"}}, at(0))
			c.change(registry)
			late := at(3).Add(Retention)
			if waits := registry.Begin(stream("a", "v1"), late) != nil; waits != c.want || registry.LacksListing(late) != c.want {
				t.Errorf("the stream waits to be recorded: %v, the inventory lacks a release: %v, want %v", waits, registry.LacksListing(late), c.want)
			}
		})
	}
}

// TestNextInventory covers releases that come, are told by others, left lately and left long ago.
func TestNextInventory(t *testing.T) {
	cases := []struct {
		name    string
		listed  []string
		serving []string
		seconds float64
		want    []string
	}{
		{"first", nil, []string{"v1"}, 1, []string{"v1"}},
		{"nothing new", []string{"v1"}, []string{"v1"}, 1, nil},
		{"a newer one", []string{"v1"}, []string{"v1", "v2"}, 1, []string{"v1", "v2"}},
		{"replaced", []string{"v1"}, []string{"v2"}, 1, []string{"v1", "v2"}},
		{"replaced longer ago than any daemon counts it", []string{"v1", "v2"}, []string{"v2"}, 1 + 2*Retention.Seconds(), []string{"v2"}},
		{"replaced a while ago", []string{"v1", "v2"}, []string{"v2"}, 1 + Retention.Seconds(), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := New()
			read := Inventory{Releases: Releases{"s": c.listed}}
			registry.SetInventory(read, at(0))
			registry.SetServing(Releases{"s": c.serving}, at(0))
			registry.SetServing(Releases{"s": c.serving}, at(c.seconds))
			next, changed := registry.NextInventory(read, 0, at(c.seconds))
			if changed != (c.want != nil) || changed && !maps.EqualFunc(next.Releases, Releases{"s": c.want}, slices.Equal[[]string]) {
				t.Errorf("the next inventory is %v, changed %v, want %v", next.Releases, changed, c.want)
			}
		})
	}
}
