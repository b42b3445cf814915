package note

import (
	"fmt"
	"strings"

	"github.com/bronzestall/bronzestall/catalogue"
)

// Action tells what happens to an entry.
type Action string

// The actions.
const (
	// Added is a new entry.
	Added Action = "Added"
	// Changed is an entry that replaces one of the same name.
	Changed Action = "Changed"
	// Withdrawn is an entry that ends.
	Withdrawn Action = "Withdrawn"
)

// Line is one entry of a difference for showing.
type Line struct {
	// Action tells what happens.
	Action Action `json:"Action"`
	// Entry names the entry.
	Entry catalogue.EntryName `json:"Entry"`
	// Fields are the fields of an added entry that are set, or those of a changed entry that differ.
	Fields []Field `json:"Fields,omitempty"`
}

// Field is one field of an entry.
type Field struct {
	// Name is the key of the field.
	Name string `json:"Name"`
	// Before is the value in force, or empty.
	Before string `json:"Before,omitempty"`
	// After is the value after the change.
	After string `json:"After"`
}

// String returns one line such as "Changed   Model assistant  Version: 1 -> 2".
func (line Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-9s %s", line.Action, line.Entry)
	for i, field := range line.Fields {
		separator := ", "
		if i == 0 {
			separator = "  "
		}
		text.WriteString(separator + field.String())
	}
	return text.String()
}

// String returns the field with its value before, if there is one, and after.
func (field Field) String() string {
	if field.Before == "" {
		return field.Name + ": " + field.After
	}
	return field.Name + ": " + field.Before + " -> " + field.After
}
