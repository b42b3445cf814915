package note

import "github.com/bronzestall/bronzestall/catalogue"

// Diff returns the changes of the note to the catalogue in force, for display.
func (note Note) Diff(inForce catalogue.Catalogue) []Line {
	return Lines(inForce, note.Change())
}

// Lines returns the changes to a catalogue, for display. Entries that do not fit the catalogue are included as the
// change lists them.
func Lines(inForce catalogue.Catalogue, change catalogue.Change) []Line {
	lines := make([]Line, 0, change.Len())
	for _, model := range change.Models.Added {
		lines = append(lines, Line{Added, modelEntry(model.Name), diffFields(catalogue.Model{}, model)})
	}
	for _, model := range change.Models.Changed {
		old, _ := inForce.Model(model.Name)
		lines = append(lines, Line{Changed, modelEntry(model.Name), diffFields(old, model)})
	}
	for _, name := range change.Models.Withdrawn {
		lines = append(lines, Line{Withdrawn, modelEntry(name), nil})
	}
	lines = append(lines, adapterLines(inForce, change)...)
	return append(lines, serviceLines(inForce, change)...)
}

func adapterLines(inForce catalogue.Catalogue, change catalogue.Change) []Line {
	var lines []Line
	for _, adapter := range change.Adapters.Added {
		lines = append(lines, Line{Added, adapterEntry(adapter.FullName()), diffFields(catalogue.Adapter{}, adapter)})
	}
	for _, adapter := range change.Adapters.Changed {
		old, _ := inForce.Adapter(adapter.Model, adapter.Name)
		lines = append(lines, Line{Changed, adapterEntry(adapter.FullName()), diffFields(old, adapter)})
	}
	for _, name := range change.Adapters.Withdrawn {
		lines = append(lines, Line{Withdrawn, adapterEntry(name), nil})
	}
	return lines
}

func serviceLines(inForce catalogue.Catalogue, change catalogue.Change) []Line {
	var lines []Line
	for _, service := range change.Services.Added {
		lines = append(lines, Line{Added, serviceEntry(service.Name), diffFields(catalogue.Service{}, service)})
	}
	for _, service := range change.Services.Changed {
		old, _ := inForce.Service(service.Name)
		lines = append(lines, Line{Changed, serviceEntry(service.Name), diffFields(old, service)})
	}
	for _, name := range change.Services.Withdrawn {
		lines = append(lines, Line{Withdrawn, serviceEntry(name), nil})
	}
	return lines
}
