package note

// Capacity is what a deployment offers to the entries of a note.
type Capacity struct {
	// LargestEngine is the accelerator memory in bytes of the largest engine; zero skips the check.
	LargestEngine int64
	// Services names the upstreams with plain services; nil skips the check.
	Services []string
}
