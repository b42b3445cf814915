package release

import (
	"fmt"

	"github.com/bronzestall/bronzestall/note"
)

// ConflictError is the cause of outcome.NoteConflict: another note was accepted since the base of the refused one.
type ConflictError struct {
	// Base is the number that the refused note was written against.
	Base uint64
	// InForce is the number in force, or the least that it can be if the platform was away.
	InForce uint64
	// Since are the newest notes accepted after Base, at most 100, in order.
	Since []Entry
	// Lines is the difference between what was in force at Base and what is now.
	Lines []note.Line
}

// Error names both numbers.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("the note was written against number %d and number %d is in force", conflict.Base, conflict.InForce)
}
