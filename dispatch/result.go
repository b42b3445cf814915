package dispatch

import "github.com/bronzestall/bronzestall/outcome"

// result is the end of one attempt.
type result struct {
	// failure is nil after a complete answer.
	failure *outcome.Error
	// notRun states that the upstream provably did not run the attempt.
	notRun bool
	// crashed states that the upstream ended while the attempt was in flight.
	crashed bool
	// unreachable states that no connection to the upstream could be made, as after a crash.
	unreachable bool
	// busy states that the attempt was not made since another suspect runs on the upstream.
	busy bool
	// moved states that the generation was taken off its upstream and goes on elsewhere.
	moved bool
	// final states that no other attempt can help, as after the caller left.
	final bool
}
