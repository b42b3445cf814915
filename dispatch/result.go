package dispatch

import "github.com/bronzestall/bronzestall/outcome"

// result is the result of one attempt.
type result struct {
	// failure is nil after a complete response.
	failure *outcome.Error
	// notRun states that the upstream provably did not run the attempt.
	notRun bool
	// unreachable states that no connection to the upstream could be made, as after a crash.
	unreachable bool
	// alive states that the boot of the upstream that ran the attempt answered a probe after it.
	alive bool
	// cannotResume states that the engine refused to go on with a stream because it does not know it.
	cannotResume bool
	// busy states that the attempt was not made because another suspect runs on the upstream.
	busy bool
	// migrated states that the generation was exported and continues on another upstream.
	migrated bool
	// final states that no other attempt can help, as after the caller disconnected.
	final bool
}
