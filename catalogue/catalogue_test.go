package catalogue

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bronzestall/bronzestall/outcome"
)

// mapCatalogue is a reference implementation of a catalogue with maps.
type mapCatalogue struct {
	models   map[string]Model
	adapters map[AdapterName]Adapter
}

func (reference mapCatalogue) clone() mapCatalogue {
	next := mapCatalogue{models: map[string]Model{}, adapters: map[AdapterName]Adapter{}}
	for name, entry := range reference.models {
		next.models[name] = entry
	}
	for name, entry := range reference.adapters {
		next.adapters[name] = entry
	}
	return next
}

// apply applies the change and reports whether it fits. If it does not, the maps are left partly changed.
func (reference mapCatalogue) apply(change Change) bool {
	for _, name := range change.Adapters.Withdrawn {
		if _, ok := reference.adapters[name]; !ok {
			return false
		}
		delete(reference.adapters, name)
	}
	for _, name := range change.Models.Withdrawn {
		for adapter := range reference.adapters {
			if adapter.Model == name {
				return false
			}
		}
		if _, ok := reference.models[name]; !ok {
			return false
		}
		delete(reference.models, name)
	}
	for _, added := range change.Models.Added {
		if _, ok := reference.models[added.Name]; ok {
			return false
		}
		reference.models[added.Name] = added
	}
	for _, changed := range change.Models.Changed {
		if _, ok := reference.models[changed.Name]; !ok {
			return false
		}
		reference.models[changed.Name] = changed
	}
	for _, added := range change.Adapters.Added {
		_, known := reference.models[added.Model]
		if _, ok := reference.adapters[added.FullName()]; ok || !known {
			return false
		}
		reference.adapters[added.FullName()] = added
	}
	for _, changed := range change.Adapters.Changed {
		if _, ok := reference.adapters[changed.FullName()]; !ok {
			return false
		}
		reference.adapters[changed.FullName()] = changed
	}
	return true
}

// drawChange returns a random change of one to four entries, which may not fit.
func drawChange(t *rapid.T) Change {
	var change Change
	for range rapid.IntRange(1, 4).Draw(t, "entries") {
		one := drawSingleChange(t)
		change.Models = concat(change.Models, one.Models)
		change.Adapters = concat(change.Adapters, one.Adapters)
	}
	return change
}

// concat returns the changes of both arguments.
func concat[T, N any](a, b Changes[T, N]) Changes[T, N] {
	return Changes[T, N]{
		Added:     append(a.Added, b.Added...),
		Changed:   append(a.Changed, b.Changed...),
		Withdrawn: append(a.Withdrawn, b.Withdrawn...),
	}
}

// drawSingleChange returns a random change of one model or adapter.
func drawSingleChange(t *rapid.T) Change {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "model")
	adapter := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "adapter")
	version := fmt.Sprint(rapid.IntRange(1, 9).Draw(t, "version"))
	model := Model{Name: name, Version: version}
	full := Adapter{Model: name, Name: adapter, Version: version}
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		return Change{Models: Changes[Model, string]{Added: []Model{model}}}
	case 1:
		return Change{Models: Changes[Model, string]{Changed: []Model{model}}}
	case 2:
		return Change{Models: Changes[Model, string]{Withdrawn: []string{name}}}
	case 3:
		return Change{Adapters: Changes[Adapter, AdapterName]{Added: []Adapter{full}}}
	case 4:
		return Change{Adapters: Changes[Adapter, AdapterName]{Changed: []Adapter{full}}}
	default:
		return Change{Adapters: Changes[Adapter, AdapterName]{Withdrawn: []AdapterName{full.FullName()}}}
	}
}

// checkEqual checks that the catalogue has the same content as the reference implementation, in sorted order.
func checkEqual(t *rapid.T, catalogue Catalogue, want mapCatalogue) {
	got := mapCatalogue{models: map[string]Model{}, adapters: map[AdapterName]Adapter{}}
	var names []string
	for model := range catalogue.Models() {
		names = append(names, model.Name)
		got.models[model.Name] = model
		for adapter := range catalogue.Adapters(model.Name) {
			got.adapters[adapter.FullName()] = adapter
		}
	}
	if !reflect.DeepEqual(got, want) || !slices.IsSorted(names) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if size := catalogue.Size(); size.Models != len(want.models) || size.Adapters != len(want.adapters) {
		t.Fatalf("size is %+v", size)
	}
}

// TestApplyAgainstMaps checks Apply, Compare and the JSON encoding against the reference implementation, and that
// Apply does not change its receiver.
func TestApplyAgainstMaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var catalogue Catalogue
		reference := mapCatalogue{models: map[string]Model{}, adapters: map[AdapterName]Adapter{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			change := drawChange(t)
			want := reference.clone()
			fits := want.apply(change)
			next, err := catalogue.Apply(change)
			if (err == nil) != fits {
				t.Fatalf("Apply(%+v) returned %v, want success %t", change, err, fits)
			}
			checkEqual(t, catalogue, reference)
			if !fits {
				want = reference
			}
			checkEqual(t, next, want)
			reapplied, err := catalogue.Apply(Compare(catalogue, next))
			if err != nil {
				t.Fatalf("the change returned by Compare cannot be applied: %v", err)
			}
			checkEqual(t, reapplied, want)
			checkEqual(t, roundTrip(t, next), want)
			catalogue, reference = next, want
		}
	})
}

// roundTrip encodes and decodes the catalogue, and checks that the result has the same encoding.
func roundTrip(t *rapid.T, catalogue Catalogue) Catalogue {
	content, err := json.Marshal(catalogue)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Catalogue
	if err := json.Unmarshal(content, &decoded); err != nil {
		t.Fatal(err)
	}
	encodedAgain, err := json.Marshal(decoded)
	if err != nil || string(encodedAgain) != string(content) {
		t.Fatalf("the encoding changed in a round trip: %s, %s, %v", content, encodedAgain, err)
	}
	return decoded
}

// apply returns the catalogue after the change and fails the test if it does not fit.
func apply(t *testing.T, catalogue Catalogue, change Change) Catalogue {
	t.Helper()
	next, err := catalogue.Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestPreviousVersionsAndWithdrawals(t *testing.T) {
	first := apply(t, Catalogue{}, Change{
		Models:   Changes[Model, string]{Added: []Model{{Name: "m", Version: "1"}, {Name: "n", Version: "1"}}},
		Adapters: Changes[Adapter, AdapterName]{Added: []Adapter{{Model: "m", Name: "a", Version: "1"}}},
		Services: Changes[Service, string]{Added: []Service{{Name: "s", Calls: []Call{{Method: "GET", Path: "/p"}}}}},
	})
	second := apply(t, first, Change{
		Models:   Changes[Model, string]{Changed: []Model{{Name: "m", Version: "2"}}, Withdrawn: []string{"n"}},
		Adapters: Changes[Adapter, AdapterName]{Withdrawn: []AdapterName{{Model: "m", Name: "a"}}},
	})
	if previous, ok := second.PreviousModel("m"); !ok || previous.Version != "1" {
		t.Errorf("previous is %+v, %t", previous, ok)
	}
	if _, ok := first.PreviousModel("m"); ok {
		t.Error("a model that was never changed has a previous version")
	}
	for target, want := range map[string]outcome.Kind{
		"n": outcome.Withdrawn, "m:a": outcome.Withdrawn, "m:b": outcome.UnknownModel, "x": outcome.UnknownModel, "n:a": outcome.Withdrawn,
	} {
		if _, _, failure := second.Resolve(ParseTarget(target)); failure == nil || failure.Kind != want {
			t.Errorf("%s resolves to %v, want %s", target, failure, want)
		}
	}
	third := apply(t, second, Change{Models: Changes[Model, string]{Added: []Model{{Name: "n", Version: "2"}}}})
	if _, _, failure := third.Resolve(Target{Model: "n"}); failure != nil {
		t.Errorf("a model that was added again does not resolve: %v", failure)
	}
	for _, call := range []struct {
		service, method, path string
		want                  outcome.Kind
	}{
		{"t", "GET", "/p", outcome.UnknownService}, {"s", "GET", "/q", outcome.UnknownService}, {"s", "PUT", "/p", outcome.MethodNotAllowed},
	} {
		if _, _, failure := third.ResolveCall(call.service, call.method, call.path); failure == nil || failure.Kind != call.want {
			t.Errorf("%+v resolves to %v", call, failure)
		}
	}
}

func TestWithdrawalsAreBounded(t *testing.T) {
	var catalogue Catalogue
	for i := range WithdrawnLimit + 1 {
		name := fmt.Sprint(i)
		catalogue = apply(t, catalogue, Change{Models: Changes[Model, string]{Added: []Model{{Name: name}}}})
		catalogue = apply(t, catalogue, Change{Models: Changes[Model, string]{Withdrawn: []string{name}}})
	}
	if catalogue.Withdrawn(EntryName{Kind: ModelKind, Name: "0"}) || !catalogue.Withdrawn(EntryName{Kind: ModelKind, Name: "1"}) {
		t.Error("the oldest withdrawal was not the one removed")
	}
}

func TestDecodingRejectsUnorderedSnapshots(t *testing.T) {
	for _, content := range []string{
		`{"Models":[{"InForce":{"Name":"b"}},{"InForce":{"Name":"a"}}]}`,
		`{"Models":[{"InForce":{"Name":"a"}},{"InForce":{"Name":"a"}}]}`,
		`{"Adapters":[{"InForce":{"Model":"a","Name":"x"}}]}`,
		`{"Models":[{"InForce":{"Name":"a"}}],"Adapters":[{"InForce":{"Model":"a","Name":"x"}},{"InForce":{"Model":"a","Name":"x"}}]}`,
		`{"Services":[{"Name":"b"},{"Name":"a"}]}`,
	} {
		var decoded Catalogue
		if err := json.Unmarshal([]byte(content), &decoded); err == nil {
			t.Errorf("%s was decoded without an error", content)
		}
	}
}

func TestApplyReturnsChangeError(t *testing.T) {
	_, err := Catalogue{}.Apply(Change{Models: Changes[Model, string]{Withdrawn: []string{"m"}}})
	var failure *ChangeError
	if !errors.As(err, &failure) || failure.Fault != Absent || failure.Entry.Name != "m" {
		t.Errorf("got %v", err)
	}
}
