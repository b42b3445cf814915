// Package observer asks engines for their states and puts them into the fleet.
//
// One goroutine asks one upstream. It asks at the pace of Settings.Every, and
// at the pace of Settings.Busy while a replica of the upstream is loading or
// unloading, so that a waiting request learns soon that its replica is ready.
// An engine that does not answer keeps its last state, whose age grows.
package observer
