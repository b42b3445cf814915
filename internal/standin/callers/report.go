package callers

// Report holds the results of the requests and the violations found.
type Report struct {
	// Chats and Calls count requests by their final result.
	Chats, Calls map[result]int
	// Sendings counts the attempts of chats and calls by result.
	Sendings map[result]int
	// Refusals counts the refused attempts by error kind.
	Refusals map[string]int
	// LongestSeconds is the longest time from the first attempt to the end of a request.
	LongestSeconds float64
	// Slowest lists the attempts of the request that took longest.
	Slowest []string
	// Judgement counts the violations.
	Judgement Judgement
}

// Judgement counts the calls whose results contradict the executions that the services counted. Every field
// must be zero.
type Judgement struct {
	// RanTwice counts keys that were executed more than once.
	RanTwice int
	// AnsweredWithoutRun counts calls with a successful response that were never executed.
	AnsweredWithoutRun int
	// FalseNotRun counts calls that were executed although every attempt was refused as not run.
	FalseNotRun int
}
