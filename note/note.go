package note

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/openjson"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// Note is one release note. It must not be modified.
type Note struct {
	// Note is the operator's identifier of the note. Applying a note again with the same identifier has no effect.
	Note string `yaml:"Note" json:"Note"`
	// Base is the number in force that the note was written against; zero is the empty catalogue.
	Base uint64 `yaml:"Base" json:"Base"`
	// Summary describes the purpose of the note to other operators.
	Summary string `yaml:"Summary" json:"Summary"`
	// Models lists changes of models.
	Models catalogue.Changes[catalogue.Model, string] `yaml:"Models" json:"Models,omitzero"`
	// Adapters lists changes of adapters.
	Adapters catalogue.Changes[catalogue.Adapter, catalogue.AdapterName] `yaml:"Adapters" json:"Adapters,omitzero"`
	// Services lists changes of plain services.
	Services catalogue.Changes[catalogue.Service, string] `yaml:"Services" json:"Services,omitzero"`
	// Unknown holds the members that only a later build knows. They do not change a catalogue.
	Unknown openjson.Rest `yaml:"-" json:"-"`

	// lines maps keys to lines of the file. It is empty for a note that was not parsed.
	lines strictyaml.Lines
}

// Problem is one problem of a note, with the line of the file.
type Problem = strictyaml.Problem

// Change returns the changes of the note to the catalogue.
func (note Note) Change() catalogue.Change {
	return catalogue.Change{Models: note.Models, Adapters: note.Adapters, Services: note.Services}
}

// UnmarshalJSON decodes the note and keeps the members that it does not know.
func (note *Note) UnmarshalJSON(content []byte) (err error) {
	type plain Note
	note.Unknown, err = openjson.Decode(content, (*plain)(note))
	return err
}

// MarshalJSON encodes the note with the members that were unknown when it was decoded.
func (note Note) MarshalJSON() ([]byte, error) {
	type plain Note
	return openjson.Encode(plain(note), note.Unknown)
}
