// Package topology holds the configured routes and services and the registered
// replicas, as immutable values.
//
// A Configuration is one version of routes, services and limits. A Replica is
// one incarnation of an upstream process as of its latest row in the store.
// Nothing here does I/O or decides where a request is sent.
package topology
