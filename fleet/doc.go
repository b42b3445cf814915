// Package fleet holds what one daemon knows of the upstreams.
//
// Members come from the settings and the VM list, states from engines that
// the daemon asks itself and from other daemons. A state replaces an older one
// of the same boot by its sequence, and one of another boot by the time at
// which it was heard. Ages are counted on the daemon's own clock.
//
// Readers take an immutable View. A view is built when it is asked for after a
// change, at a cost linear in the number of replicas.
package fleet
