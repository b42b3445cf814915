// Package topology holds what the operator configured and which replicas exist, as immutable values.
//
// A Configuration is one version of routes, services and limits. A Replica is
// one incarnation of an upstream process as it last described itself. Nothing
// here does I/O or decides where a request goes.
package topology
