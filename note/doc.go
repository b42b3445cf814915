// Package note holds the release note: reading, checking and showing it.
//
// A note is a YAML file with keys in Pascal case. It names the number in force
// it was written against, and lists the models, adapters and plain services
// that are added, changed and withdrawn. Sizes carry units. The package is pure:
// package release accepts notes into the platform.
package note
