package note

import (
	"testing"

	"github.com/bronzestall/bronzestall/catalogue"
)

// FuzzCheckThenApply checks that a note without problems can be applied to the catalogue that it was checked against.
func FuzzCheckThenApply(f *testing.F) {
	f.Add([]byte(""))
	f.Add([]byte("Note: n\nBase: 2\nSummary: s\nModels: {Added: [{Name: x, Version: v, Weights: 1GiB}], Withdrawn: [a]}"))
	f.Add([]byte("Note: n\nSummary: |\n  s\nAdapters: {Added: [{Model: a, Name: c, Version: v}], Changed: [{Model: a, Name: b, Version: w}]}"))
	f.Add([]byte("Note: n\nSummary: s\nAdapters: {Withdrawn: [{Model: a, Name: b}]}\nModels: {Withdrawn: [a]}"))
	f.Add([]byte("Services: {Added: [{Name: s, Upstreams: [u], Calls: [{Method: GET, Path: /}]}], Withdrawn: [t]}"))
	inForce, err := catalogue.Catalogue{}.Apply(catalogue.Change{
		Models:   catalogue.Changes[catalogue.Model, string]{Added: []catalogue.Model{{Name: "a", Version: "v", Weights: 1, AdapterSlots: 1, AdapterBytes: 1}}},
		Adapters: catalogue.Changes[catalogue.Adapter, catalogue.AdapterName]{Added: []catalogue.Adapter{{Model: "a", Name: "b", Version: "v"}}},
		Services: catalogue.Changes[catalogue.Service, string]{Added: []catalogue.Service{{Name: "t"}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse("note.yaml", content)
		if err != nil || len(parsed.Check(inForce, Capacity{LargestEngine: 1 << 40})) > 0 {
			return
		}
		if _, err := inForce.Apply(parsed.Change()); err != nil {
			t.Errorf("the note passes its checks but cannot be applied: %v", err)
		}
	})
}
