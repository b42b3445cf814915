package note

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/settings"
)

// readExample parses a note of the examples folder.
func readExample(t *testing.T, name string) Note {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse(name, content)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestExamplesPassCheck(t *testing.T) {
	for _, user := range []string{"yamabuki", "calabaza"} {
		daemon, err := settings.Load(filepath.Join("..", "examples", user+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		first := readExample(t, user+"-note-1.yaml")
		if problems := first.Check(catalogue.Catalogue{}, CapacityOf(daemon, nil)); len(problems) != 0 {
			t.Errorf("%s: %v", user, problems)
		}
		inForce, err := catalogue.Catalogue{}.Apply(first.Change())
		if err != nil {
			t.Fatal(err)
		}
		if problems := first.Check(inForce, CapacityOf(daemon, nil)); len(problems) == 0 {
			t.Errorf("%s: the note passes its checks a second time", user)
		}
	}
}

// TestNoteInDocumentationParses checks that the example in docs/NOTES.md is a valid note.
func TestNoteInDocumentationParses(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("..", "docs", "NOTES.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, after, found := strings.Cut(string(content), "\n    Note: ")
	body, _, ended := strings.Cut("    Note: "+after, "\n\n")
	if !found || !ended {
		t.Fatal("docs/NOTES.md contains no note")
	}
	if _, err := Parse("docs/NOTES.md", []byte(strings.ReplaceAll(body, "\n    ", "\n")[4:])); err != nil {
		t.Error(err)
	}
}

func TestCapacityOf(t *testing.T) {
	daemon := settings.Settings{Upstreams: []settings.Upstream{
		{Name: "e1", Kind: settings.EngineKind, Memory: 40 << 30},
		{Name: "e2", Kind: settings.EngineKind, Memory: 80 << 30},
		{Name: "s1", Kind: settings.ServiceKind},
	}}
	for _, test := range []struct {
		name    string
		vms     []datastore.VM
		largest int64
		service string
	}{
		{"settings only", nil, 80 << 30, "s1"},
		{"VMs of the settings", []datastore.VM{{Name: "e1", Role: datastore.Engine}, {Name: "s1", Role: datastore.Service}}, 80 << 30, "s1"},
		{"engine that is not in the settings", []datastore.VM{{Name: "e3", Role: datastore.Engine}}, 0, "s1"},
		{"service that is not in the settings", []datastore.VM{{Name: "s2", Role: datastore.Service}, {Name: "d", Role: datastore.Entry}}, 80 << 30, "s1 s2"},
	} {
		got := CapacityOf(daemon, test.vms)
		if got.LargestEngine != test.largest || strings.Join(got.Services, " ") != test.service {
			t.Errorf("%s: %+v", test.name, got)
		}
	}
}

// exampleCatalogue returns the catalogue after the example note yamabuki-note-1.yaml, without its model soaking-times.
func exampleCatalogue(t *testing.T) catalogue.Catalogue {
	t.Helper()
	one, err := catalogue.Catalogue{}.Apply(readExample(t, "yamabuki-note-1.yaml").Change())
	if err != nil {
		t.Fatal(err)
	}
	two, err := one.Apply(catalogue.Change{Models: catalogue.Changes[catalogue.Model, string]{Withdrawn: []string{"soaking-times"}}})
	if err != nil {
		t.Fatal(err)
	}
	return two
}

func TestCheckReportsProblems(t *testing.T) {
	catalogue := exampleCatalogue(t)
	capacity := Capacity{LargestEngine: 80 << 30, Services: []string{"order-desk-1"}}
	const head = "Note: n\nBase: 2\nSummary: s\n"
	for _, test := range []struct{ name, body, want string }{
		{"empty note", "", "line 1: the note changes nothing"},
		{"model in force", "Models:\n  Added:\n    - {Name: round-assistant, Version: \"2\", Weights: 1GiB}", "line 6: Models.Added[0].Name: Model round-assistant is in force already"},
		{"change of an unknown model", "Models:\n  Changed:\n    - Name: x\n      Version: v2\n      Weights: 1GiB", "line 6: Models.Changed[0].Name: Model x is not in force"},
		{"change without a difference", "Models:\n  Changed:\n    - {Name: new-year-orders, Version: \"1\", Weights: 14GiB, Reserve: 4GiB}", "line 6: Models.Changed[0].Name: Model new-year-orders is identical to the one in force"},
		{"withdrawal of an unknown model", "Models:\n  Withdrawn:\n    - x", "line 6: Models.Withdrawn[0]: Model x is not in force"},
		{"second withdrawal", "Models:\n  Withdrawn: [soaking-times]", "line 5: Models.Withdrawn[0]: Model soaking-times was withdrawn before"},
		{"withdrawn model with adapters", "Models:\n  Withdrawn: [standing-orders]\nAdapters:\n  Withdrawn: [{Model: standing-orders, Name: cafes}]", "line 5: Models.Withdrawn[0]: Model standing-orders still has the adapter schools"},
		{"too large", "Models:\n  Added: [{Name: x, Version: v, Weights: 79GiB, Reserve: 2GiB}]", "line 5: Models.Added[0].Weights: Model x needs 81GiB with reserve and adapter slots; the largest engine has 80GiB"},
		{"too large with its adapter slots", "Models:\n  Added: [{Name: x, Version: v, Weights: 79GiB, AdapterSlots: 5, AdapterBytes: 256MiB}]", "needs 80.25GiB"},
		{"size that overflows", "Models:\n  Added: [{Name: x, Version: v, Weights: 1GiB, AdapterSlots: 2, AdapterBytes: 4194304TiB}]", "Models.Added[0].AdapterBytes: 4194304TiB is out of range"},
		{"no weights", "Models:\n  Added: [{Name: x, Version: v}]", "Models.Added[0].Weights: must be above 0B"},
		{"name with a colon", "Models:\n  Added: [{Name: \"x:y\", Version: v, Weights: 1GiB}]", "Models.Added[0].Name: \"x:y\" is not a name"},
		{"no version", "Models:\n  Added: [{Name: x, Weights: 1GiB}]", "Models.Added[0].Version: \"\" is not a name"},
		{"MinReplicas above MaxReplicas", "Models:\n  Added: [{Name: x, Version: v, Weights: 1GiB, MinReplicas: 2}]", "MinReplicas: 2 is above MaxReplicas, which is 1"},
		{"negative slots", "Models:\n  Added: [{Name: x, Version: v, Weights: 1GiB, AdapterSlots: -1}]", "AdapterSlots: -1 is out of range"},
		{"slots without size", "Models:\n  Added: [{Name: x, Version: v, Weights: 1GiB, AdapterSlots: 1}]", "AdapterSlots and AdapterBytes go together"},
		{"duplicate", "Models:\n  Added: [{Name: x, Version: v, Weights: 1GiB}]\n  Withdrawn:\n    - new-year-orders\n    - new-year-orders", "line 8: Models.Withdrawn[1]: Model new-year-orders is already listed on line 7"},
		{"adapter of an unknown model", "Adapters:\n  Added:\n    - {Model: x, Name: a, Version: v}", "line 6: Adapters.Added[0].Model: Model x is not in force after this note"},
		{"adapter of a withdrawn model", "Models:\n  Withdrawn: [new-year-orders]\nAdapters:\n  Added:\n    - {Model: new-year-orders, Name: a, Version: v}", "line 8: Adapters.Added[0].Model: Model new-year-orders is not in force after"},
		{"adapter of a model without slots", "Adapters:\n  Added:\n    - {Model: new-year-orders, Name: a, Version: v}", "Model new-year-orders has no AdapterSlots"},
		{"changed model without slots for its adapter", "Models:\n  Changed:\n    - {Name: standing-orders, Version: v, Weights: 1GiB}", "Models.Changed[0].AdapterSlots: Model standing-orders has the adapter cafes and needs slots"},
		{"change of an unknown adapter", "Adapters:\n  Changed:\n    - {Model: standing-orders, Name: a, Version: v}", "Adapter standing-orders:a is not in force"},
		{"unknown upstream", "Services:\n  Added:\n    - Name: s\n      Upstreams: [order-desk-9]\n      Calls: [{Method: GET, Path: /}]", "line 7: Services.Added[0].Upstreams[0]: upstream \"order-desk-9\" is not a known plain service"},
		{"unknown method", "Services:\n  Added:\n    - {Name: s, Upstreams: [order-desk-1], Calls: [{Method: get, Path: /}]}", "\"get\" is not a method"},
		{"call twice", "Services:\n  Added:\n    - {Name: s, Upstreams: [order-desk-1], Calls: [{Method: GET, Path: /}, {Method: GET, Path: /, Idempotent: true}]}", "Calls[1].Path: GET / is listed twice"},
		{"service in force", "Services:\n  Added:\n    - {Name: order-desk, Upstreams: [order-desk-1], Calls: [{Method: GET, Path: /}]}", "Service order-desk is in force already"},
	} {
		t.Run(test.name, func(t *testing.T) {
			parsed, err := Parse("note.yaml", []byte(head+test.body))
			if err != nil {
				t.Fatal(err)
			}
			var all []string
			for _, problem := range parsed.Check(catalogue, capacity) {
				all = append(all, problem.String())
			}
			if got := strings.Join(all, "\n"); !strings.Contains(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestCheckAcceptsValidNote(t *testing.T) {
	parsed, err := Parse("note.yaml", []byte(`Note: n
Base: 2
Summary: s
Models:
  Added:
    - {Name: soaking-times, Version: "2", Weights: 8GiB}
  Withdrawn: [standing-orders]
Adapters:
  Changed:
    - {Model: round-assistant, Name: fukuoka-rounds, Version: "2"}
  Withdrawn:
    - {Model: standing-orders, Name: cafes}
    - {Model: standing-orders, Name: schools}
`))
	if err != nil {
		t.Fatal(err)
	}
	current := exampleCatalogue(t)
	if problems := parsed.Check(current, Capacity{}); len(problems) != 0 {
		t.Fatal(problems)
	}
	next, err := current.Apply(parsed.Change())
	if err != nil {
		t.Fatal(err)
	}
	if got := next.Size(); got != (catalogue.Size{Models: 3, Adapters: 3, Services: 1}) {
		t.Errorf("size is %+v", got)
	}
}
