// Package engine simulates a model engine.
//
// Server is an http.Handler that implements the protocol of the client in package
// upstream. Tokens are produced at a fixed rate and are a function of the request
// body, so that a test can verify that a response belongs to a request. The load
// time depends on the tier that holds the checkpoint. A crash ends the boot: all
// requests in flight are aborted, accelerator and main memory are cleared, and
// after Settings.RestartAfter the engine accepts requests under a new boot
// identifier.
package engine
