package release

import "github.com/bronzestall/bronzestall/catalogue"

// InForce is the state in force after a number of notes. It is immutable.
type InForce struct {
	// Number counts the accepted notes; zero is the empty catalogue before the first note.
	Number uint64
	// Catalogue is the result of applying all notes up to Number.
	Catalogue catalogue.Catalogue
}
