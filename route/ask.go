package route

// Ask tells what a request needs of its replica.
type Ask struct {
	// Affinity is the hash by which equal prompts prefer the same replica; zero means none.
	Affinity uint64
	// Adapter is the adapter that the replica must hold or load; empty means none.
	Adapter string
	// Exclude is an upstream that must not be chosen; empty means none.
	Exclude string
	// Only is the one upstream that may be chosen; empty means any.
	Only string
	// Suspect states that the request may crash its upstream: it runs alone among suspects
	// and on the first upstream of its affinity only, whatever the load.
	Suspect bool
	// Reserve states that the request may use the slots kept for tenants below their share.
	Reserve bool
}
