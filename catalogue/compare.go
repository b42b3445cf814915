package catalogue

import "reflect"

// Compare returns the change that turns one catalogue into the other. Models that share their data are skipped without
// comparing their adapters. The cost is proportional to the size of the larger catalogue.
func Compare(from, to Catalogue) Change {
	var change Change
	compareModels(from, to, &change)
	compareAdapters(from, to, &change)
	compareServices(from, to, &change)
	return change
}

func compareModels(from, to Catalogue, change *Change) {
	for name, entry := range to.models.All() {
		old := from.models.Get(name)
		switch {
		case old == nil:
			change.Models.Added = append(change.Models.Added, entry.model)
		case old.model != entry.model:
			change.Models.Changed = append(change.Models.Changed, entry.model)
		}
	}
	for name := range from.models.All() {
		if to.models.Get(name) == nil {
			change.Models.Withdrawn = append(change.Models.Withdrawn, name)
		}
	}
}

func compareAdapters(from, to Catalogue, change *Change) {
	for name, entry := range to.models.All() {
		if from.models.Get(name) == entry {
			continue
		}
		for _, adapter := range entry.adapters.All() {
			compareAdapter(from, adapter.adapter, change)
		}
	}
	for name, entry := range from.models.All() {
		if to.models.Get(name) == entry {
			continue
		}
		for adapter := range entry.adapters.All() {
			if to.adapterEntry(name, adapter) == nil {
				change.Adapters.Withdrawn = append(change.Adapters.Withdrawn, AdapterName{Model: name, Name: adapter})
			}
		}
	}
}

func compareAdapter(from Catalogue, adapter Adapter, change *Change) {
	old, found := from.Adapter(adapter.Model, adapter.Name)
	switch {
	case !found:
		change.Adapters.Added = append(change.Adapters.Added, adapter)
	case old != adapter:
		change.Adapters.Changed = append(change.Adapters.Changed, adapter)
	}
}

func compareServices(from, to Catalogue, change *Change) {
	for name, service := range to.services.All() {
		old := from.services.Get(name)
		switch {
		case old == nil:
			change.Services.Added = append(change.Services.Added, *service)
		case old != service && !reflect.DeepEqual(*old, *service):
			change.Services.Changed = append(change.Services.Changed, *service)
		}
	}
	for name := range from.services.All() {
		if to.services.Get(name) == nil {
			change.Services.Withdrawn = append(change.Services.Withdrawn, name)
		}
	}
}
