// Package fleet holds what one daemon knows of the upstreams.
//
// Members come from the settings and the VM list, states from engines that
// the daemon asks itself and from other daemons. A state replaces an older one
// of the same boot by its sequence, and one of another boot by the time at
// which it was heard. Ages are counted on the daemon's own clock.
//
// A state costs the replicas of its upstream and the places of their models,
// and nothing that grows with the number of upstreams.
package fleet
