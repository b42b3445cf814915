package upstream

// Phase is the state of one replica on an engine.
type Phase string

// The phases of a replica.
const (
	// Loading is the phase of a replica whose weights are being loaded.
	Loading Phase = "Loading"
	// Ready is the phase of a replica that serves requests.
	Ready Phase = "Ready"
	// Unloading is the phase of a replica that completes its requests before it frees its memory.
	Unloading Phase = "Unloading"
	// Failed is the phase of a replica whose load failed; it holds no memory.
	Failed Phase = "Failed"
)
