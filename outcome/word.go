package outcome

// Word tells whether a refused or failed request was executed by an upstream.
type Word string

// The three outcome words.
const (
	// NotRun states that no upstream executed any part of the request.
	NotRun Word = "not run"
	// Run states that an upstream executed the request to its end.
	Run Word = "run"
	// MayHaveRun states that an upstream may have executed the request.
	MayHaveRun Word = "may have run"
)
