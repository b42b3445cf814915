// Package enginefake is a model engine in memory that takes orders and keeps
// its own account of memory.
//
// It never refuses a load for lack of memory: an order that does not fit is
// done and counted in Overcommits, so that a test sees every order that should
// not have been sent. Faults apply to the next orders. Loads take time on the
// clock that is passed in.
package enginefake
