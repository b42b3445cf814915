package callers

// Report is what the callers saw and how it is judged.
type Report struct {
	// Chats and Calls count requests by their ending.
	Chats, Calls map[ending]int
	// Sendings counts by ending the single sendings of chats and calls.
	Sendings map[ending]int
	// Refusals counts the refusals of single sendings by error kind.
	Refusals map[string]int
	// LongestSeconds is the longest time from the first sending to the end of a request.
	LongestSeconds float64
	// Slowest lists the sendings of the request that took longest.
	Slowest []string
	// Judgement compares the calls with what the service counted.
	Judgement Judgement
}

// Judgement compares the calls with what the service counted. Every field must be zero.
type Judgement struct {
	// RanTwice counts keys that were executed more than once.
	RanTwice int
	// AnsweredWithoutRun counts calls that were answered and never executed.
	AnsweredWithoutRun int
	// FalseNotRun counts calls all of whose sendings were refused as not run and that were executed.
	FalseNotRun int
}
