package note

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// Note is one release note. It is immutable.
type Note struct {
	// Note is the operator's identifier of the note. Applying two notes with one identifier is applying one.
	Note string `yaml:"Note" json:"Note"`
	// Base is the number in force that the note was written against; zero is the empty catalogue.
	Base uint64 `yaml:"Base" json:"Base"`
	// Summary tells other operators what the note is for.
	Summary string `yaml:"Summary" json:"Summary"`
	// Models lists changes of models.
	Models catalogue.Changes[catalogue.Model, string] `yaml:"Models" json:"Models,omitzero"`
	// Adapters lists changes of adapters.
	Adapters catalogue.Changes[catalogue.Adapter, catalogue.AdapterName] `yaml:"Adapters" json:"Adapters,omitzero"`
	// Services lists changes of plain services.
	Services catalogue.Changes[catalogue.Service, string] `yaml:"Services" json:"Services,omitzero"`

	// lines maps keys to lines of the file; it is empty for a note that was not parsed.
	lines strictyaml.Lines
}

// Problem is one thing that is wrong with a note.
type Problem = strictyaml.Problem

// Change returns what the note does to the catalogue.
func (note Note) Change() catalogue.Change {
	return catalogue.Change{Models: note.Models, Adapters: note.Adapters, Services: note.Services}
}
