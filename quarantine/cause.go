package quarantine

// Kind is what a Suspect stands for.
type Kind uint8

const (
	// WholeRequest stands for requests with the same path and body.
	WholeRequest Kind = iota
	// PromptPart stands for requests whose prompts have one part in common.
	PromptPart
)

// String returns the name of the kind, for logs.
func (kind Kind) String() string {
	if kind == PromptPart {
		return "PromptPart"
	}
	return "WholeRequest"
}

// Cause is something in a request that may crash the replicas that run it.
type Cause struct {
	// Kind is what the fingerprint identifies.
	Kind Kind
	// Fingerprint identifies the content.
	Fingerprint uint64
}

// Causes lists what a request has that may crash replicas.
type Causes struct {
	// Request is the fingerprint of the whole request.
	Request uint64
	// Parts lists the fingerprints of the parts of its prompt that other requests may share. It has no duplicates.
	Parts []uint64
}

// each calls the function for each cause.
func (causes Causes) each(do func(Cause)) {
	do(Cause{WholeRequest, causes.Request})
	for _, part := range causes.Parts {
		do(Cause{PromptPart, part})
	}
}
