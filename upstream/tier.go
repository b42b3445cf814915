package upstream

// Tier is the storage from which an upstream can load a checkpoint.
type Tier int

// The tiers, from the slowest to the fastest.
const (
	// Remote is the weight store.
	Remote Tier = iota
	// Disk is the local disk of the upstream.
	Disk
	// Memory is the main memory of the upstream.
	Memory
)
