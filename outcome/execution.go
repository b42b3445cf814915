package outcome

// Execution states whether an upstream executed a refused or failed request.
type Execution string

// The possible values of Execution.
const (
	// NotRun states that no upstream executed any part of the request.
	NotRun Execution = "not run"
	// Run states that an upstream executed the request to its end.
	Run Execution = "run"
	// MayHaveRun states that an upstream may have executed the request.
	MayHaveRun Execution = "may have run"
)
