// Package standin contains simulations of the external systems, for tests and trials.
//
// Each server in a subpackage simulates one external system as an http.Handler.
// It uses the clock that is passed to it, reports its counters at GET /counts and
// accepts fault settings at POST /faults while it runs. The program in cmd/standin
// serves them. It is not part of a release.
package standin
