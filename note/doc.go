// Package note parses, checks and formats release notes.
//
// A note is a YAML file with keys in Pascal case. It states the number in force
// that it was written against, and lists the models, adapters and plain services
// to add, change and withdraw. Sizes have units. The package performs no I/O;
// package release accepts notes into the platform.
package note
