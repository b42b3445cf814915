package note

// Capacity is the part of a deployment that the entries of a note are checked against.
type Capacity struct {
	// LargestEngine is the accelerator memory of the largest engine in bytes; zero skips the check.
	LargestEngine int64
	// Services are the names of the upstreams that are plain services; nil skips the check.
	Services []string
}
