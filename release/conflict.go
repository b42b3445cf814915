package release

import (
	"fmt"

	"github.com/bronzestall/bronzestall/note"
)

// ConflictError is the cause of outcome.NoteConflict: the base of the refused note is not the number in force.
type ConflictError struct {
	// Base is the number in force that the refused note was written against.
	Base uint64
	// InForce is the number in force, or a lower bound of it if the platform could not be read.
	InForce uint64
	// Since holds the newest notes accepted after Base, at most 100, in order.
	Since []Entry
	// Lines is the difference between the catalogue at Base and the one in force.
	Lines []note.Line
}

// Error returns a message with both numbers.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("the note was written against number %d and number %d is in force", conflict.Base, conflict.InForce)
}
