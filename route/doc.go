// Package route chooses the replica that serves a request.
//
// It uses the power of two choices: of two candidates picked at random it takes
// the one with the lower load, which is the load that the engine reported plus
// the requests that this daemon has sent since that report. So many daemons with
// outdated reports do not all choose the same replica. The package does no I/O and
// takes the clock as an argument.
package route
