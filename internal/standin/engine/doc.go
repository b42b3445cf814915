// Package engine stands in for a model engine.
//
// Server is an http.Handler that speaks the protocol of the client in package
// upstream. Tokens come at a fixed pace and are a function of the request, so
// that a test can tell whether an answer belongs to it. Loads take the time
// of the tier that has the checkpoint. A crash ends the boot: everything in
// flight is cut, accelerator and main memory are empty, and after a while the
// engine is back under another boot identifier.
package engine
