package upstream

// CacheEvent tells that an engine stored or evicted a prompt prefix. Events
// come late and some never come, so they are hints.
type CacheEvent struct {
	// Sequence rises with every event of one boot; a gap means that events were lost.
	Sequence uint64 `json:"Sequence"`
	// Model is the name of the model.
	Model string `json:"Model"`
	// Prefix is the hash of the first block of the prompt in hexadecimal.
	Prefix string `json:"Prefix"`
	// Evicted states that the prefix left the cache.
	Evicted bool `json:"Evicted,omitempty"`
}
