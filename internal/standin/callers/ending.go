package callers

// ending tells how one sending, or a request after all its sendings, ended.
type ending string

// The closed list of endings.
const (
	// answered is the whole answer to this request.
	answered ending = "Answered"
	// wrong is an answer that is complete by its form and is not the answer to this request.
	wrong ending = "Wrong"
	// notRun is a refusal with the outcome "not run".
	notRun ending = "NotRun"
	// mayHaveRun is a refusal with the outcome "may have run".
	mayHaveRun ending = "MayHaveRun"
	// lost is no answer, or one that ended early.
	lost ending = "Lost"
)

// sending is the end of one sending.
type sending struct {
	ending ending
	// kind is the error kind of a refusal.
	kind string
	// final states that sending the same again cannot help.
	final bool
}
