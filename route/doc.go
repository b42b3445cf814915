// Package route chooses the replica that serves a request.
//
// A choice weighs two candidates picked at random by the load that the engine
// reported plus what this daemon sent since that report, so that many daemons
// with lagging reports do not all choose the same replica. The package does no
// I/O and takes the clock as an argument.
package route
