package upstream

// CacheEvent reports that an engine stored or evicted a prompt prefix. Events
// may be delayed or lost, so they are hints only.
type CacheEvent struct {
	// Sequence increases with every event of one boot; a gap means that events were lost.
	Sequence uint64 `json:"Sequence"`
	// Model is the name of the model.
	Model string `json:"Model"`
	// Prefix is the hash of the first block of the prompt in hexadecimal.
	Prefix string `json:"Prefix"`
	// Evicted states that the prefix was removed from the cache.
	Evicted bool `json:"Evicted,omitempty"`
}
