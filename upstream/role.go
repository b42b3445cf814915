package upstream

// Role tells which phase of generation an engine serves.
type Role string

// The roles of engines.
const (
	// Mixed serves prefill and decode.
	Mixed Role = "Mixed"
	// Prefill serves prompts and exports the KV cache.
	Prefill Role = "Prefill"
	// Decode imports the KV cache and serves generation.
	Decode Role = "Decode"
)
