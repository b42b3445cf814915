package catalogue

import (
	"encoding/json"
	"fmt"
	"testing"
)

// largeCatalogue returns a catalogue with the numbers of models and adapters. The benchmarks use the size expected in
// two years.
func largeCatalogue(b *testing.B, models, adapters int) Catalogue {
	b.Helper()
	var change Change
	for i := range models {
		model := Model{Name: fmt.Sprintf("model-%04d", i), Version: "1", Weights: 26 << 30, AdapterSlots: 8, AdapterBytes: 256 << 20}
		change.Models.Added = append(change.Models.Added, model)
	}
	for i := range adapters {
		adapter := Adapter{Model: fmt.Sprintf("model-%04d", i%models), Name: fmt.Sprintf("adapter-%04d", i), Version: "1"}
		change.Adapters.Added = append(change.Adapters.Added, adapter)
	}
	catalogue, err := Catalogue{}.Apply(change)
	if err != nil {
		b.Fatal(err)
	}
	return catalogue
}

func BenchmarkApplyOneAdapter(b *testing.B) {
	for _, models := range []int{100, 1_900, 10_000} {
		b.Run(fmt.Sprint(models), func(b *testing.B) {
			catalogue := largeCatalogue(b, models, 8_000)
			changed := Adapter{Model: "model-0050", Name: "adapter-0050", Version: "2"}
			change := Change{Adapters: Changes[Adapter, AdapterName]{Changed: []Adapter{changed}}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := catalogue.Apply(change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkResolve(b *testing.B) {
	catalogue := largeCatalogue(b, 1_900, 8_000)
	target := Target{Model: "model-0050", Adapter: "adapter-0050"}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, failure := catalogue.Resolve(target); failure != nil {
			b.Fatal(failure)
		}
	}
}

func BenchmarkApplyWhole(b *testing.B) {
	change := Compare(Catalogue{}, largeCatalogue(b, 1_900, 8_000))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (Catalogue{}).Apply(change); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	catalogue := largeCatalogue(b, 1_900, 8_000)
	content, err := json.Marshal(catalogue)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("Write", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := json.Marshal(catalogue); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(content)), "bytes")
	})
	b.Run("Read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var decoded Catalogue
			if err := json.Unmarshal(content, &decoded); err != nil {
				b.Fatal(err)
			}
		}
	})
}
