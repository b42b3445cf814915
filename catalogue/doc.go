// Package catalogue holds the models, adapters and plain services in force.
//
// A Catalogue is an immutable value. Applying the changes of a release note
// returns a new Catalogue that shares the unchanged data with the old one, so
// that readers can continue to use the old one.
package catalogue
