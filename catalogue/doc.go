// Package catalogue holds the models, adapters and plain services in force.
//
// A Catalogue is immutable. Applying the changes of a release note returns a
// new Catalogue that shares what did not change. Readers keep the value they
// started with.
package catalogue
