package outcome

// Execution tells whether a refused or failed request was executed by an upstream.
type Execution string

// The three outcome words.
const (
	// NotRun states that no upstream executed any part of the request.
	NotRun Execution = "not run"
	// Run states that an upstream executed the request to its end.
	Run Execution = "run"
	// MayHaveRun states that an upstream may have executed the request.
	MayHaveRun Execution = "may have run"
)
