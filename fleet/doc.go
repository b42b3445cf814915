// Package fleet holds the newest state of each upstream that is known to one daemon.
//
// Members come from the settings and the VM list. States come from engines that
// the daemon queries itself and from other daemons. A state replaces one of the
// same boot if its sequence is higher, and one of another boot if it is newer by
// the time at which it was received. Ages are measured on the daemon's own clock.
//
// The cost of an update is linear in the replicas of its upstream and in the
// replicas of their models, and does not grow with the number of upstreams.
package fleet
