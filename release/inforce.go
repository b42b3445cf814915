package release

import "github.com/bronzestall/bronzestall/catalogue"

// InForce is the one state in force. It is immutable.
type InForce struct {
	// Number counts the accepted notes; zero is the empty catalogue before the first note.
	Number uint64
	// Catalogue is the result of all notes up to Number.
	Catalogue catalogue.Catalogue
}
