// Package enginefake provides an in-memory model engine for tests, which
// executes orders and accounts for its accelerator memory.
//
// It never rejects a load for lack of memory: an order that does not fit is
// executed and counted in Overcommits, so that a test detects every order that
// should not have been sent. Faults apply to the next orders. Load and unload
// times are measured on the clock that is passed to New.
package enginefake
