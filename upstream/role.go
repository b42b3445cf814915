package upstream

// Role is the set of generation phases that an engine serves.
type Role string

// The roles of engines.
const (
	// Mixed is the role of an engine that serves prefill and decode.
	Mixed Role = "Mixed"
	// Prefill is the role of an engine that processes prompts and exports the KV cache.
	Prefill Role = "Prefill"
	// Decode is the role of an engine that imports the KV cache and generates tokens.
	Decode Role = "Decode"
)
