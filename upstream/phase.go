package upstream

// Phase is the state of one replica on an engine.
type Phase string

// The phases of a replica.
const (
	// Loading is a replica whose weights are on their way.
	Loading Phase = "Loading"
	// Ready is a replica that serves requests.
	Ready Phase = "Ready"
	// Unloading is a replica that finishes its requests and frees its memory.
	Unloading Phase = "Unloading"
	// Failed is a replica whose load failed; it holds no memory.
	Failed Phase = "Failed"
)
