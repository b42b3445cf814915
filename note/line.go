package note

import (
	"fmt"
	"strings"

	"github.com/bronzestall/bronzestall/catalogue"
)

// Action is the kind of change to an entry.
type Action string

// The actions.
const (
	// Added marks a new entry.
	Added Action = "Added"
	// Changed marks an entry that replaces one of the same name.
	Changed Action = "Changed"
	// Withdrawn marks an entry that is removed.
	Withdrawn Action = "Withdrawn"
)

// Line is the change of one entry, for display.
type Line struct {
	// Action is the kind of change.
	Action Action `json:"Action"`
	// Entry is the kind and name of the entry.
	Entry catalogue.EntryName `json:"Entry"`
	// Fields are the non-zero fields of an added entry, or the fields of a changed entry that differ.
	Fields []Field `json:"Fields,omitempty"`
}

// Field is one changed field of an entry.
type Field struct {
	// Name is the name of the field.
	Name string `json:"Name"`
	// Before is the value in force; it is empty for an added entry.
	Before string `json:"Before,omitempty"`
	// After is the new value.
	After string `json:"After"`
}

// String formats the line, such as "Changed   Model assistant  Version: 1 -> 2".
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

// String formats the field with its new value, and with its old one if there is one.
func (field Field) String() string {
	if field.Before == "" {
		return field.Name + ": " + field.After
	}
	return field.Name + ": " + field.Before + " -> " + field.After
}
